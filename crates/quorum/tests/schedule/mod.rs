//! Random schedules of faults in virtual time, and the rules that must hold in all of them.

#![allow(dead_code, reason = "each test and example uses a part")]

pub mod failover;
pub mod ledger;
pub mod node;
pub mod world;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use cornelhitch_quorum::config::Fault;

/// Which member something happens to: one by number, or whoever leads.
pub type Target = u8;

/// Targets from here on mean the leader.
pub const LEADER: Target = 128;

/// What happens at one step.
#[derive(Clone, Debug)]
pub enum Act {
    /// A client proposes.
    Propose(Target),
    /// Several clients propose at once.
    Burst(Target, u8),
    /// A client reads.
    Barrier(Target),
    /// The process ends; so many records that are not synced last all the same.
    Crash(Target, u8),
    /// The process starts again.
    Restart(Target),
    /// The process stands still for a time in milliseconds.
    Pause(Target, u16),
    /// The process ends and its disk is emptied, where a majority stays whole.
    Wipe(Target),
    /// Messages from one member to another are lost.
    Cut(Target, Target),
    /// All messages from and to a member are lost, or those of one way.
    Isolate(Target, Way),
    /// All messages pass again.
    Heal,
    /// The disk is full, or has room again.
    Full(Target, bool),
    /// Syncs take this long, in milliseconds.
    Slow(Target, u16),
    /// A change of the members is asked of the leader.
    Change(Asked, Target, Target),
    /// The owner hands over a snapshot unasked.
    Snapshot(Target),
}

/// Which way a member is cut off.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    /// Nothing reaches it.
    In,
    /// Nothing leaves it.
    Out,
    /// Neither.
    Both,
}

/// The kind of a change of members.
#[derive(Clone, Copy, Debug)]
pub enum Asked {
    Add,
    Promote,
    Remove,
    Replace,
}

/// One step of a schedule.
#[derive(Clone, Debug)]
pub struct Step {
    /// Time since the step before, in milliseconds.
    pub after: u16,
    /// What happens.
    pub act: Act,
}

/// A schedule: it and its seed decide all that happens.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Decides delays, losses and clock rates.
    pub seed: u64,
    /// Voters at the start; 0 has a founder and admits the others.
    pub voters: u8,
    /// Members besides that start with empty disks.
    pub others: u8,
    /// Lost messages in a thousand.
    pub loss: u16,
    /// Doubled messages in a thousand.
    pub doubled: u16,
    /// Longest delay of a message in milliseconds.
    pub delay: u16,
    /// What happens, in order.
    pub steps: Vec<Step>,
    /// A fault in the core, put in on purpose.
    pub fault: Option<Fault>,
}

fn target() -> impl Strategy<Value = Target> {
    prop_oneof![3 => 0..5_u8, 2 => Just(LEADER)]
}

fn act() -> impl Strategy<Value = Act> {
    let way = prop_oneof![Just(Way::In), Just(Way::Out), Just(Way::Both)];
    let asked = prop_oneof![
        2 => Just(Asked::Add),
        2 => Just(Asked::Promote),
        1 => Just(Asked::Remove),
        2 => Just(Asked::Replace),
    ];
    prop_oneof![
        8 => target().prop_map(Act::Propose),
        4 => (target(), 2..9_u8).prop_map(|(t, n)| Act::Burst(t, n)),
        4 => target().prop_map(Act::Barrier),
        3 => (target(), 0..4_u8).prop_map(|(t, kept)| Act::Crash(t, kept)),
        4 => target().prop_map(Act::Restart),
        2 => (target(), 100..4000_u16).prop_map(|(t, ms)| Act::Pause(t, ms)),
        2 => target().prop_map(Act::Wipe),
        2 => (target(), target()).prop_map(|(a, b)| Act::Cut(a, b)),
        3 => (target(), way).prop_map(|(t, way)| Act::Isolate(t, way)),
        3 => Just(Act::Heal),
        2 => (target(), any::<bool>()).prop_map(|(t, full)| Act::Full(t, full)),
        1 => (target(), 1..3000_u16).prop_map(|(t, ms)| Act::Slow(t, ms)),
        4 => (asked, target(), target()).prop_map(|(k, a, b)| Act::Change(k, a, b)),
        2 => target().prop_map(Act::Snapshot),
    ]
}

/// All schedules.
pub fn schedules() -> impl Strategy<Value = Schedule> {
    let after = prop_oneof![2 => 0..30_u16, 3 => 30..1500_u16];
    let step = (after, act()).prop_map(|(after, act)| Step { after, act });
    let voters = prop_oneof![1 => Just(0_u8), 1 => 1..3_u8, 6 => Just(3_u8), 1 => 4..6_u8];
    let net = (0..150_u16, 0..100_u16, prop_oneof![0..40_u16, 0..400_u16]);
    (any::<u64>(), voters, 0..3_u8, net, vec(step, 5..60)).prop_map(
        |(seed, voters, others, (loss, doubled, delay), steps)| Schedule {
            seed,
            voters,
            others: if voters == 0 { 3 } else { others },
            loss,
            doubled,
            delay,
            steps,
            fault: None,
        },
    )
}

/// The schedule of a number.
pub fn schedule(number: u64) -> Schedule {
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&number.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::default(), rng);
    schedules()
        .new_tree(&mut runner)
        .expect("the strategy rejects nothing")
        .current()
}
