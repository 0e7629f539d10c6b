//! Control hosts take heartbeats for the leader, which hears in full only what has changed.

mod common;

use std::time::Duration;

use cornelhitch_node::intake::{Forwarded, Forwards, Intake};
use cornelhitch_types::id::Time;
use cornelhitch_types::target::{AnnouncedHeartbeat, CacheEvent};

/// The hosts that take heartbeats.
const A: u64 = 1;
const B: u64 = 2;
/// The leader's term.
const TERM: u64 = 7;
/// Time between two heartbeats of a target.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Returns a heartbeat of a worker that states its software.
fn presence(target: &str, incarnation: u64, sequence: u64) -> AnnouncedHeartbeat {
    AnnouncedHeartbeat {
        software: Some("v1".into()),
        ..common::presence(target, incarnation, sequence)
    }
}

/// A host that takes heartbeats, and the leader that gets them.
struct Pair {
    now: Time,
    intake: Intake,
    forwards: Forwards,
}

impl Default for Pair {
    fn default() -> Self {
        Self {
            now: Time::ZERO,
            intake: Intake::new(Time::ZERO),
            forwards: Forwards::default(),
        }
    }
}

impl Pair {
    /// Takes a heartbeat and passes the batch on; returns what the leader hears, and how many of the
    /// batch were in full.
    fn beat(&mut self, presence: AnnouncedHeartbeat) -> (Vec<AnnouncedHeartbeat>, usize) {
        self.now += HEARTBEAT;
        self.intake.take(presence, self.now);
        self.pass_on(A)
    }

    /// Passes the next batch on.
    fn pass_on(&mut self, host: u64) -> (Vec<AnnouncedHeartbeat>, usize) {
        self.now += Duration::from_millis(300);
        let batch = self.intake.batch(TERM, self.now).expect("a batch");
        let is_full = |it: &&Forwarded| matches!(it, Forwarded::Full(..));
        let full = batch.iter().filter(is_full).count();
        let unpacked = self.forwards.unpack(host, batch, self.now);
        self.intake.on_answer(TERM, &unpacked.missing, self.now);
        (unpacked.heartbeats, full)
    }
}

#[test]
fn leader_hears_each_heartbeat_but_in_full_only_changes() {
    let mut pair = Pair::default();
    let mut changed = presence("w1", 1, 3);
    changed.announcement.slots = Some(9);
    let mut events = presence("w1", 1, 5);
    events.announcement.slots = Some(9);
    events.heartbeat.cache.push(CacheEvent {
        sequence: 1,
        model: "m".into(),
        prefix: 1,
        held: true,
    });
    let mut software = presence("w1", 1, 6);
    software.software = Some("v2".into());
    // A heartbeat, and whether it is told in full.
    let rows = [
        (presence("w1", 1, 1), 1),
        (presence("w1", 1, 2), 0),
        (changed.clone(), 1),
        (
            {
                let mut same = changed;
                same.heartbeat.sequence = 4;
                same
            },
            0,
        ),
        (events, 1),
        (software, 1),
        (presence("w1", 2, 1), 1),
        (presence("w1", 2, 2), 0),
    ];
    for (row, (heartbeat, full)) in rows.into_iter().enumerate() {
        let heard = pair.beat(heartbeat.clone());
        assert_eq!(heard, (vec![heartbeat], full), "row {row}");
    }
}

#[test]
fn older_heartbeat_is_dropped() {
    let mut pair = Pair::default();
    pair.beat(presence("w1", 2, 5));
    for (incarnation, sequence) in [(2, 4), (2, 5), (1, 9)] {
        let (heard, _) = pair.beat(presence("w1", incarnation, sequence));
        assert!(heard.is_empty(), "{incarnation}, {sequence}");
    }
}

#[test]
fn lost_batch_is_made_up_for_with_the_next_heartbeat() {
    let mut pair = Pair::default();
    pair.now += HEARTBEAT;
    pair.intake.take(presence("w1", 1, 1), pair.now);
    let lost = pair.intake.batch(TERM, pair.now);
    assert_eq!(lost.map(|batch| batch.len()), Some(1));
    let (heard, full) = pair.beat(presence("w1", 1, 2));
    assert_eq!((heard.len(), full), (0, 0), "the leader does not know it");
    let (heard, full) = pair.pass_on(A);
    assert_eq!((heard, full), (vec![presence("w1", 1, 2)], 1));
}

#[test]
fn change_in_a_lost_batch_is_made_up_for_too() {
    let mut pair = Pair::default();
    pair.beat(presence("w1", 1, 1));
    let changed = |sequence| {
        let mut changed = presence("w1", 1, sequence);
        changed.announcement.slots = Some(9);
        changed
    };
    pair.now += HEARTBEAT;
    pair.intake.take(changed(2), pair.now);
    pair.intake
        .batch(TERM, pair.now)
        .expect("a batch that is lost");
    let (heard, _) = pair.beat(changed(3));
    assert!(heard.is_empty(), "the leader has another: {heard:?}");
    let (heard, full) = pair.pass_on(A);
    assert_eq!((heard, full), (vec![changed(3)], 1));
}

/// Targets that are turned away while nobody leads try all control hosts in turn.
#[test]
fn heartbeats_are_taken_while_an_election_is_due_or_the_leader_answers() {
    let at = Duration::from_millis;
    let mut intake = Intake::new(at(5_000));
    assert!(intake.is_open(at(6_999)), "the process has just started");
    assert!(!intake.is_open(at(7_000)), "nobody leads");
    assert!(
        intake
            .batch(TERM, at(8_000))
            .is_some_and(|it| it.is_empty())
    );
    assert!(intake.is_open(at(8_999)), "a leader has just been elected");
    assert!(!intake.is_open(at(9_000)), "it does not answer");
    intake.on_answer(TERM, &[], at(9_500));
    assert!(intake.is_open(at(10_499)));
    assert!(!intake.is_open(at(10_500)), "it has fallen silent");
    intake.batch(TERM + 1, at(12_000));
    intake.on_answer(TERM, &[], at(12_900));
    assert!(
        !intake.is_open(at(13_000)),
        "a late answer of the one before"
    );
}

#[test]
fn new_leader_is_told_all_in_full() {
    let mut pair = Pair::default();
    pair.beat(presence("w1", 1, 1));
    pair.beat(presence("w1", 1, 2));
    pair.now += HEARTBEAT;
    pair.intake.take(presence("w1", 1, 3), pair.now);
    let batch = pair.intake.batch(TERM + 1, pair.now).expect("a batch");
    assert!(matches!(batch[..], [Forwarded::Full(..)]), "{batch:?}");
}

#[test]
fn batches_are_bounded_and_nothing_is_left_out() {
    let mut pair = Pair::default();
    for target in 0..1_000 {
        pair.intake
            .take(presence(&format!("w{target}"), 1, 1), pair.now);
    }
    let mut heard = 0;
    for _ in 0..5 {
        let (heartbeats, full) = pair.pass_on(A);
        assert!(full <= 200, "{full} in full");
        heard += heartbeats.len();
    }
    assert_eq!(heard, 1_000);
}

#[test]
fn targets_of_a_host_that_falls_silent_are_named_once() {
    let mut forwards = Forwards::default();
    let at = Duration::from_millis;
    let full = |target: &str| {
        let mut intake = Intake::new(Time::ZERO);
        intake.take(presence(target, 1, 1), at(0));
        intake.batch(TERM, at(0)).expect("a batch")
    };
    forwards.unpack(A, full("w1"), at(0));
    forwards.unpack(A, full("w2"), at(0));
    forwards.unpack(B, full("w3"), at(0));
    forwards.unpack(B, Vec::new(), at(500));
    assert!(forwards.newly_silent(at(599)).is_empty());
    let silent = forwards.newly_silent(at(600));
    assert_eq!(silent, ["w1".into(), "w2".into()]);
    assert!(forwards.newly_silent(at(700)).is_empty());
    // One of its targets has found the other host.
    forwards.unpack(B, full("w1"), at(800));
    let silent = forwards.newly_silent(at(1_400));
    assert_eq!(silent, ["w1".into(), "w3".into()]);
}

#[test]
fn host_that_is_elected_uses_what_it_took() {
    let mut intake = Intake::new(Time::ZERO);
    let at = Duration::from_secs;
    intake.take(presence("w1", 1, 1), at(1));
    intake.take(presence("w2", 1, 1), at(3));
    let newest = intake.drain(Duration::from_secs(2), at(4));
    assert_eq!(newest, [presence("w2", 1, 1)]);
    assert!(intake.drain(Duration::from_secs(2), at(4)).is_empty());
}
