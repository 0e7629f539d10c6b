//! Random fault schedules in virtual time and the invariants that must hold in all of them.

#![allow(dead_code, reason = "each test and example uses a part")]

pub mod checker;
pub mod failover;
pub mod node;
pub mod simulation;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use cornelhitch_quorum::config::Fault;

/// The member that an operation applies to: a member by number, or the current leader.
pub type Target = u8;

/// This and larger targets denote the leader.
pub const LEADER: Target = 128;

/// An operation or fault.
#[derive(Clone, Debug)]
pub enum Operation {
    /// A client submits a proposal.
    Propose(Target),
    /// Several clients submit proposals at once.
    Burst(Target, u8),
    /// A client issues a linearizable read.
    Barrier(Target),
    /// The process crashes; the given number of unsynced records survives.
    Crash(Target, u8),
    /// The process restarts.
    Restart(Target),
    /// The process is paused for a time in milliseconds.
    Pause(Target, u16),
    /// The process crashes and its disk is wiped, unless that would destroy a quorum.
    Wipe(Target),
    /// Messages from the first member to the second are lost.
    Cut(Target, Target),
    /// Messages to or from a member, or both, are lost.
    Isolate(Target, Direction),
    /// Ends all message loss between specific members.
    Heal,
    /// The disk becomes full, or has space again.
    Full(Target, bool),
    /// Sets the duration of a sync in milliseconds.
    Slow(Target, u16),
    /// A membership change is requested from the leader.
    Change(ChangeKind, Target, Target),
    /// The owner passes in an unsolicited snapshot.
    Snapshot(Target),
}

/// The direction in which a member is isolated.
#[derive(Clone, Copy, Debug)]
pub enum Direction {
    /// Messages to the member are lost.
    In,
    /// Messages from the member are lost.
    Out,
    /// Messages in both directions are lost.
    Both,
}

/// The kind of a membership change.
#[derive(Clone, Copy, Debug)]
pub enum ChangeKind {
    Add,
    Promote,
    Remove,
    Demote,
    Readmit,
    Replace,
}

/// One step of a schedule.
#[derive(Clone, Debug)]
pub struct Step {
    /// Time since the previous step, in milliseconds.
    pub after: u16,
    /// The operation to execute.
    pub operation: Operation,
}

/// A deterministic schedule: together with the seed, it determines the whole run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Seed for delays, losses and clock rates.
    pub seed: u64,
    /// Initial number of voters; with 0, one member bootstraps the group and admits the others.
    pub voters: u8,
    /// Number of further members, which start with empty disks.
    pub joiners: u8,
    /// Probability of message loss, in thousandths.
    pub loss: u16,
    /// Probability of message duplication, in thousandths.
    pub duplicated: u16,
    /// Maximum message delay in milliseconds.
    pub delay: u16,
    /// The steps in order.
    pub steps: Vec<Step>,
    /// The fault injected into the core, if any.
    pub fault: Option<Fault>,
}

fn target() -> impl Strategy<Value = Target> {
    prop_oneof![3 => 0..5_u8, 2 => Just(LEADER)]
}

fn operation() -> impl Strategy<Value = Operation> {
    let direction = prop_oneof![
        Just(Direction::In),
        Just(Direction::Out),
        Just(Direction::Both)
    ];
    let kind = prop_oneof![
        2 => Just(ChangeKind::Add),
        2 => Just(ChangeKind::Promote),
        1 => Just(ChangeKind::Remove),
        1 => Just(ChangeKind::Demote),
        2 => Just(ChangeKind::Readmit),
        2 => Just(ChangeKind::Replace),
    ];
    prop_oneof![
        8 => target().prop_map(Operation::Propose),
        4 => (target(), 2..9_u8).prop_map(|(t, n)| Operation::Burst(t, n)),
        4 => target().prop_map(Operation::Barrier),
        3 => (target(), 0..4_u8).prop_map(|(t, kept)| Operation::Crash(t, kept)),
        4 => target().prop_map(Operation::Restart),
        2 => (target(), 100..4000_u16).prop_map(|(t, ms)| Operation::Pause(t, ms)),
        2 => target().prop_map(Operation::Wipe),
        2 => (target(), target()).prop_map(|(a, b)| Operation::Cut(a, b)),
        3 => (target(), direction).prop_map(|(t, direction)| Operation::Isolate(t, direction)),
        3 => Just(Operation::Heal),
        2 => (target(), any::<bool>()).prop_map(|(t, full)| Operation::Full(t, full)),
        1 => (target(), 1..3000_u16).prop_map(|(t, ms)| Operation::Slow(t, ms)),
        4 => (kind, target(), target()).prop_map(|(kind, a, b)| Operation::Change(kind, a, b)),
        2 => target().prop_map(Operation::Snapshot),
    ]
}

/// Generates random schedules.
pub fn schedules() -> impl Strategy<Value = Schedule> {
    let after = prop_oneof![2 => 0..30_u16, 3 => 30..1500_u16];
    let step = (after, operation()).prop_map(|(after, operation)| Step { after, operation });
    let voters = prop_oneof![1 => Just(0_u8), 1 => 1..3_u8, 6 => Just(3_u8), 1 => 4..6_u8];
    let net = (0..150_u16, 0..100_u16, prop_oneof![0..40_u16, 0..400_u16]);
    (any::<u64>(), voters, 0..3_u8, net, vec(step, 5..60)).prop_map(
        |(seed, voters, joiners, (loss, duplicated, delay), steps)| Schedule {
            seed,
            voters,
            joiners: if voters == 0 { 3 } else { joiners },
            loss,
            duplicated,
            delay,
            steps,
            fault: None,
        },
    )
}

/// A schedule that begins with the first start of a cluster whose settings name its founders.
#[derive(Clone, Debug)]
pub struct FirstStart {
    /// Number of members that are founders.
    pub founders: u8,
    /// The schedule, without initial voters.
    pub schedule: Schedule,
}

/// Generates schedules with trouble from the first millisecond on.
pub fn first_starts() -> impl Strategy<Value = FirstStart> {
    let after = prop_oneof![3 => 0..60_u16, 3 => 60..400_u16, 1 => 400..1500_u16];
    let trouble = prop_oneof![
        3 => operation(),
        1 => (0..5_u8).prop_map(Operation::Wipe),
        1 => (0..5_u8, 0..4_u8).prop_map(|(t, kept)| Operation::Crash(t, kept)),
        1 => (0..5_u8).prop_map(Operation::Restart),
    ];
    let step = (after, trouble).prop_map(|(after, operation)| Step { after, operation });
    let founders = prop_oneof![1 => 1..3_u8, 5 => Just(3_u8), 1 => 4..6_u8];
    let net = (0..150_u16, 0..100_u16, prop_oneof![0..40_u16, 0..400_u16]);
    (any::<u64>(), founders, 0..3_u8, net, vec(step, 5..40)).prop_map(
        |(seed, founders, joiners, (loss, duplicated, delay), steps)| FirstStart {
            founders,
            schedule: Schedule {
                seed,
                voters: 0,
                joiners: founders + joiners,
                loss,
                duplicated,
                delay,
                steps,
                fault: None,
            },
        },
    )
}

/// Returns the first start with the given number.
pub fn first_start(number: u64) -> FirstStart {
    generate(number, &first_starts())
}

/// Returns the schedule with the given number.
pub fn schedule(number: u64) -> Schedule {
    generate(number, &schedules())
}

fn generate<T: std::fmt::Debug>(number: u64, strategy: &impl Strategy<Value = T>) -> T {
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&number.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::default(), rng);
    strategy
        .new_tree(&mut runner)
        .expect("the strategy rejects nothing")
        .current()
}
