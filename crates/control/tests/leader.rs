//! What the leader publishes, takes over, drains and ends.

mod common;

use common::{Bench, MODELS, entry_host, heartbeat, holding, report, worker};
use cornelhitch_control::claims::Outcome;
use cornelhitch_control::prelude::*;
use cornelhitch_control::strikes::Strike;
use cornelhitch_control::{catalogue, claims};
use cornelhitch_types::order::Action;
use cornelhitch_types::target::{Heartbeat, Holding, Load, Stage};
use cornelhitch_types::view::{Change, View};

/// A leader with one worker that has been heard.
fn bench() -> Bench {
    let mut bench = Bench::new();
    bench.apply_settings(MODELS);
    bench.give(Input::Announcement(worker("w1", 1, 100, false)));
    beat(&mut bench, 1, 2, &[], 0);
    bench.changes();
    bench
}

/// Lets seconds pass, each with a heartbeat that shows copies and running requests.
fn beat(bench: &mut Bench, first: u64, seconds: u64, held: &[Holding], running: u32) {
    for sequence in first..first + seconds {
        let load = Load {
            running,
            ..Load::default()
        };
        let shown = heartbeat("w1", 1, sequence, held.to_vec());
        bench.give(Input::Heartbeat(Heartbeat { load, ..shown }));
        bench.give(Input::Report(report(
            1,
            sequence,
            &[("report", 0, running)],
        )));
        bench.give(Input::Renewal(entry_host(1, 1)));
        bench.pass(1);
    }
}

/// The answer to a host that has the view of a term up to a sequence number.
fn resync(bench: &mut Bench, term: u64, sequence: u64) -> View {
    bench.outputs.clear();
    let host = 1;
    bench.give(Input::Subscribe {
        host,
        term,
        sequence,
    });
    let view = bench.outputs.drain(..).find_map(|output| match output {
        Output::Publish {
            to: Audience::Host(1),
            view,
        } => Some(view),
        _ => None,
    });
    view.expect("an answer")
}

#[test]
fn a_gap_is_answered_with_what_was_missed_or_the_whole() {
    let mut bench = bench();
    let newest = resync(&mut bench, 1, 0).to;
    // The term and the sequence number of the host, and where the answer starts.
    for (term, sequence, from) in [
        (1, 0, 0),
        (1, newest - 1, newest - 1),
        (1, newest, newest),
        (1, newest + 1, 0),
        (0, newest, 0),
    ] {
        let view = resync(&mut bench, term, sequence);
        assert_eq!(
            (view.from, view.to),
            (from, newest),
            "term {term}, sequence {sequence}"
        );
        assert_eq!(view.changes.is_empty(), from == newest);
    }
}

#[test]
fn an_unmanaged_copy_is_published_and_then_taken_over_without_an_order() {
    let mut bench = bench();
    let held = [holding("script", None, Stage::Ready, 10)];
    beat(&mut bench, 3, 5, &held, 0);
    let shown = |it: &Change| matches!(it, Change::Replica(it) if &*it.model == "script");
    assert!(bench.changes().iter().any(shown));
    assert_eq!(bench.state.replicas().iter().count(), 0);
    let reply = bench.commit(&Command::Apply(Apply {
        operator: "ann".into(),
        request: "second".into(),
        base: 1,
        text: MODELS.replace("managed: false", "managed: true").into(),
    }));
    assert_eq!(
        reply,
        Reply::Settings(catalogue::Answer::Accepted { version: 2 })
    );
    beat(&mut bench, 8, 1, &held, 1);
    bench.give(Input::Report(report(2, 1, &[("script", 0, 1)])));
    beat(&mut bench, 9, 4, &held, 1);
    let replica = bench
        .state
        .replicas()
        .of("script")
        .next()
        .expect("a replica");
    assert!(replica.adopted && replica.ready.is_some(), "{replica:?}");
    assert_eq!(bench.orders(), []);
}

#[test]
fn an_unload_waits_for_running_requests() {
    let mut bench = bench();
    bench.give(Input::Report(report(2, 1, &[("report", 1, 0)])));
    bench.pass(1);
    let load = bench.orders().pop().expect("a load");
    let held = [holding("report", Some(load.replica), Stage::Ready, 40)];
    beat(&mut bench, 4, 3, &held, 2);
    bench.commit(&Command::Retire {
        replica: load.replica,
    });
    beat(&mut bench, 7, 60, &held, 2);
    assert_eq!(bench.orders(), [], "requests are in progress");
    beat(&mut bench, 67, 3, &held, 0);
    let unload = bench.orders().pop().expect("an unload");
    assert!(matches!(unload.action, Action::Unload { .. }), "{unload:?}");
    beat(&mut bench, 70, 2, &[], 0);
    assert_eq!(bench.state.replicas().reserved("w1"), 0);
}

#[test]
fn wrong_hints_close_a_target_once() {
    let mut bench = bench();
    let mut closed = 0;
    for sequence in 3..20 {
        let (target, incarnation) = ("w1".into(), 1);
        bench.give(Input::Lost {
            target,
            incarnation,
        });
        beat(&mut bench, sequence, 1, &[], 0);
        let gone = |it: &&Change| matches!(it, Change::Target(target) if !target.open);
        closed += bench.changes().iter().filter(gone).count();
    }
    assert_eq!(closed, 1);
}

#[test]
fn settings_are_in_force_within_five_seconds() {
    // Hosts that are out of touch from the moment of the change on.
    for isolated in [0, 1, 9] {
        let mut bench = bench();
        let mut acts_on = 1;
        for second in 0..15 {
            let left = if second < 10 { 0 } else { isolated };
            for host in 1..=9 - left {
                bench.give(Input::Renewal(entry_host(host, acts_on)));
            }
            if second == 10 {
                bench.outputs.clear();
                bench.commit(&Command::Apply(Apply {
                    operator: "ann".into(),
                    request: "second".into(),
                    base: 1,
                    text: "{}".into(),
                }));
            }
            bench.pass(1);
            acts_on = bench.state.catalogue().version();
        }
        let told = bench.outputs.contains(&Output::InForce { version: 2 });
        assert!(told, "{isolated} hosts out of touch");
    }
}

#[test]
fn strikes_are_published_and_forgotten() {
    let mut bench = bench();
    bench.commit(&Command::Strike(Strike {
        fingerprints: vec![7],
        target: "w1".into(),
        incarnation: 1,
    }));
    assert!(bench.changes().contains(&Change::Strike(7, 1)));
    bench.elect();
    bench.pass(3_000);
    assert!(bench.changes().contains(&Change::Strike(7, 1)));
    bench.pass(700);
    assert!(bench.changes().contains(&Change::Strike(7, 0)));
}

#[test]
fn claims_of_an_ended_host_are_unknown() {
    // The life that renews its lease after the claim, if any, and what a resend is told in the end.
    let unknown = claims::Answer::Recorded(Outcome::Unknown);
    for (life, expected) in [
        (None, unknown.clone()),
        (Some(2), unknown),
        (Some(1), claims::Answer::InProgress),
    ] {
        let mut bench = bench();
        bench.commit(&Command::Claim(common::claim("bid-1", 7, 5)));
        for _ in 0..40 {
            if let Some(incarnation) = life {
                let host = cornelhitch_types::entry::Host {
                    incarnation,
                    ..entry_host(5, 1)
                };
                bench.give(Input::Renewal(host));
            }
            bench.pass(1);
        }
        let resend = Command::Claim(common::claim("bid-1", 7, 6));
        assert_eq!(bench.commit(&resend), Reply::Claim(expected), "{life:?}");
    }
}

/// A heartbeat from before the farewell may come to a later leader.
#[test]
fn a_worker_that_left_is_not_loaded_under_a_later_leader() {
    for left in [false, true] {
        let mut bench = bench();
        if left {
            bench.commit(&Command::Leave {
                target: "w1".into(),
                incarnation: 1,
            });
        }
        bench.restart();
        bench.give(Input::Heartbeat(heartbeat("w1", 1, 100, Vec::new())));
        bench.give(Input::Report(report(1, 100, &[("report", 5, 0)])));
        bench.pass(3);
        let orders = bench.orders();
        let loads = orders
            .iter()
            .filter(|order| matches!(order.action, Action::Load { .. }));
        assert_eq!(loads.count() > 0, !left, "{orders:?}");
    }
}
