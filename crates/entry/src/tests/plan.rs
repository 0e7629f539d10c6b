//! What a run is made of, as values that proptest can shrink.

use proptest::collection::vec;
use proptest::prelude::*;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model, answered as a stream.
    Stream,
    /// A model, answered at once.
    Whole,
    /// A service call with a key; the number tells equal keys.
    Keyed(u8),
    /// A service call that may not be repeated, without a key.
    Bare,
    /// A service call that may be repeated.
    Lookup,
    /// A request that takes down each target that runs it.
    Poison,
}

/// A request of a run.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// When it arrives, in milliseconds.
    pub at: u64,
    /// Which core it comes to.
    pub core: usize,
    /// What it asks for.
    pub kind: Kind,
    /// Its deadline in milliseconds.
    pub deadline: u64,
    /// Whether its class outweighs the other one.
    pub urgent: bool,
    /// Whose it is.
    pub caller: u8,
    /// When its caller leaves, in milliseconds from its arrival, if it does.
    pub leaves: Option<u64>,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// A target dies and comes back.
    Death(usize),
    /// A target leaves and comes back.
    Leave(usize),
    /// A replica retires and another one becomes ready.
    Retire(usize),
    /// A core loses its lease for a while.
    Isolated(usize),
    /// A core drains.
    Drain(usize),
    /// The next view is lost on its way to a core.
    LostView(usize),
}

/// A run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Where the fakes' random choices start.
    pub seed: u64,
    /// Cores.
    pub cores: usize,
    /// Targets.
    pub targets: usize,
    /// In 100 attempts, how many end badly by themselves.
    pub sick: u8,
    /// Requests.
    pub asks: Vec<Ask>,
    /// What goes wrong, and when, in milliseconds.
    pub troubles: Vec<(u64, Trouble)>,
}

/// Time over which requests arrive, in milliseconds.
const SPAN: u64 = 8_000;

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        3 => Just(Kind::Stream),
        3 => Just(Kind::Whole),
        4 => (0_u8..6).prop_map(Kind::Keyed),
        2 => Just(Kind::Bare),
        2 => Just(Kind::Lookup),
        1 => Just(Kind::Poison),
    ]
}

fn ask() -> impl Strategy<Value = Ask> {
    let leaves = prop_oneof![5 => Just(None), 1 => (0_u64..2_000).prop_map(Some)];
    let who = (0_usize..4, any::<bool>(), 0_u8..5, leaves);
    (0..SPAN, kind(), 50_u64..6_000, who).prop_map(|(at, kind, deadline, who)| {
        let (core, urgent, caller, leaves) = who;
        Ask {
            at,
            core,
            kind,
            deadline,
            urgent,
            caller,
            leaves,
        }
    })
}

fn trouble() -> impl Strategy<Value = (u64, Trouble)> {
    let which = prop_oneof![
        (0_usize..4).prop_map(Trouble::Death),
        (0_usize..4).prop_map(Trouble::Leave),
        (0_usize..4).prop_map(Trouble::Retire),
        (0_usize..4).prop_map(Trouble::Isolated),
        (0_usize..4).prop_map(Trouble::Drain),
        (0_usize..4).prop_map(Trouble::LostView),
    ];
    (0..SPAN, which)
}

/// Any run.
pub fn plan() -> impl Strategy<Value = Plan> {
    let sizes = (any::<u64>(), 1_usize..4, 1_usize..5, 0_u8..40);
    (sizes, vec(ask(), 1..90), vec(trouble(), 0..10)).prop_map(|(sizes, asks, troubles)| {
        let (seed, cores, targets, sick) = sizes;
        Plan {
            seed,
            cores,
            targets,
            sick,
            asks,
            troubles,
        }
    })
}
