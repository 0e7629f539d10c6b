//! Tests of the leader: publishing, adoption, draining and the end of incarnations.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use common::{Bench, MODELS, entry_host, heartbeat, model_copy, report, worker};
use cornelhitch_control::claims::Outcome;
use cornelhitch_control::current_table::SubmittedTable;
use cornelhitch_control::prelude::*;
use cornelhitch_control::strikes::Strike;
use cornelhitch_control::{claims, current_settings};
use cornelhitch_types::entry::Host;
use cornelhitch_types::order::Action;
use cornelhitch_types::route::RouteTable;
use cornelhitch_types::target::{Heartbeat, Holding, Load, Stage};
use cornelhitch_types::view::{Change, View};

/// A leader with one worker that has sent heartbeats.
fn bench() -> Bench {
    let mut bench = Bench::new();
    bench.apply_settings(MODELS);
    bench.handle(Input::Announcement(worker("w1", 1, 100, false)));
    run_seconds(&mut bench, 1, 2, &[], 0);
    bench.changes();
    bench
}

/// Advances the time by seconds, each with a heartbeat that reports copies and running requests.
fn run_seconds(bench: &mut Bench, first: u64, seconds: u64, held: &[Holding], running: u32) {
    for sequence in first..first + seconds {
        let load = Load {
            running,
            ..Load::default()
        };
        let shown = heartbeat("w1", 1, sequence, held.to_vec());
        bench.handle(Input::Heartbeat(Heartbeat { load, ..shown }));
        bench.handle(Input::Report(report(
            1,
            sequence,
            &[("report", 0, running)],
        )));
        bench.handle(Input::Renewal(entry_host(1, 1)));
        bench.advance(1);
    }
}

/// Returns the view sent to a host that resubscribes with a term and a sequence number.
fn resync(bench: &mut Bench, term: u64, sequence: u64) -> View {
    bench.outputs.clear();
    let host = 1;
    bench.handle(Input::Subscribe {
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
    view.expect("the leader must send a view")
}

#[test]
fn resync_sends_missed_changes_or_the_full_view() {
    let mut bench = bench();
    let newest = resync(&mut bench, 1, 0).to;
    // The term and sequence number of the host, and the sequence number from which the answer
    // starts.
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
fn unmanaged_copy_is_published_and_adopted_without_an_order() {
    let mut bench = bench();
    let held = [model_copy("script", None, Stage::Ready, 10)];
    run_seconds(&mut bench, 3, 5, &held, 0);
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
        Reply::Settings(current_settings::ApplyResult::Accepted { version: 2 })
    );
    run_seconds(&mut bench, 8, 1, &held, 1);
    bench.handle(Input::Report(report(2, 1, &[("script", 0, 1)])));
    run_seconds(&mut bench, 9, 4, &held, 1);
    let replica = bench
        .state
        .replicas()
        .of_model("script")
        .next()
        .expect("a replica must be decided");
    assert!(replica.adopted && replica.ready.is_some(), "{replica:?}");
    assert_eq!(bench.orders(), []);
}

#[test]
fn unload_waits_for_running_requests() {
    let mut bench = bench();
    bench.handle(Input::Report(report(2, 1, &[("report", 1, 0)])));
    bench.advance(1);
    let load = bench.orders().pop().expect("a load must be ordered");
    let held = [model_copy("report", Some(load.replica), Stage::Ready, 40)];
    run_seconds(&mut bench, 4, 3, &held, 2);
    bench.commit(&Command::Retire {
        replica: load.replica,
    });
    run_seconds(&mut bench, 7, 60, &held, 2);
    assert_eq!(bench.orders(), [], "requests are in progress");
    run_seconds(&mut bench, 67, 3, &held, 0);
    let unload = bench.orders().pop().expect("an unload must be ordered");
    assert!(matches!(unload.action, Action::Unload { .. }), "{unload:?}");
    run_seconds(&mut bench, 70, 2, &[], 0);
    assert_eq!(bench.state.replicas().reserved("w1"), 0);
}

#[test]
fn false_reports_of_lost_connections_close_a_target_once() {
    let mut bench = bench();
    let mut closed = 0;
    for sequence in 3..20 {
        let (target, incarnation) = ("w1".into(), 1);
        bench.handle(Input::ConnectionLost {
            target,
            incarnation,
        });
        run_seconds(&mut bench, sequence, 1, &[], 0);
        let closing = |it: &&Change| matches!(it, Change::Target(target) if !target.open);
        closed += bench.changes().iter().filter(closing).count();
    }
    assert_eq!(closed, 1);
}

#[test]
fn settings_are_in_force_within_five_seconds() {
    // The number of hosts that are out of contact from the moment of the change.
    for isolated in [0, 1, 9] {
        let mut bench = bench();
        let mut acts_on = 1;
        for second in 0..15 {
            let left = if second < 10 { 0 } else { isolated };
            for host in 1..=9 - left {
                bench.handle(Input::Renewal(entry_host(host, acts_on)));
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
            bench.advance(1);
            acts_on = bench.state.current_settings().version();
        }
        let announced = bench.outputs.contains(&Output::InForce { version: 2 });
        assert!(announced, "{isolated} hosts out of contact");
    }
}

#[test]
fn strikes_are_published_and_expire() {
    let mut bench = bench();
    bench.commit(&Command::Strike(Strike {
        fingerprints: vec![7],
        target: "w1".into(),
        incarnation: 1,
    }));
    assert!(bench.changes().contains(&Change::StrikeCount(7, 1)));
    bench.elect();
    bench.advance(3_000);
    assert!(bench.changes().contains(&Change::StrikeCount(7, 1)));
    bench.advance(700);
    assert!(bench.changes().contains(&Change::StrikeCount(7, 0)));
}

#[test]
fn strikes_for_a_target_whose_heartbeats_go_on_are_taken_back() {
    // When heartbeats of the struck incarnation arrive, in ms after the strike, and the strikes
    // that remain.
    let rows: [(&[u64], u32); 5] = [
        (&[], 1),
        (&[500, 1_700], 1),
        (&[4_000], 1),
        (&[500, 1_700, 2_900, 4_100], 0),
        (&[9_000, 9_100], 0),
    ];
    for (arrivals, remaining) in rows {
        let mut bench = bench();
        bench.commit(&Command::Strike(Strike {
            fingerprints: vec![7],
            target: "w1".into(),
            incarnation: 1,
        }));
        for tenth in 1..=100 {
            let after = tenth * 100;
            if arrivals.contains(&after) {
                let sequence = 100 + tenth;
                bench.handle(Input::Heartbeat(heartbeat("w1", 1, sequence, Vec::new())));
            }
            bench.now += std::time::Duration::from_millis(100);
            bench.handle(Input::Tick);
        }
        assert_eq!(
            bench.state.strikes().count(7).lost,
            remaining,
            "{arrivals:?}"
        );
        let cleared = bench.changes().contains(&Change::StrikeCount(7, 0));
        assert_eq!(cleared, remaining == 0, "{arrivals:?}");
    }
}

#[test]
fn claims_of_an_ended_host_have_unknown_outcomes() {
    // The incarnation that renews its lease after the claim, if any, and the final answer to a
    // resend.
    let unknown = claims::ClaimResult::Recorded(Outcome::Unknown);
    for (incarnation, expected) in [
        (None, unknown.clone()),
        (Some(2), unknown),
        (Some(1), claims::ClaimResult::InProgress),
    ] {
        let mut bench = bench();
        bench.commit(&Command::Claim(common::claim("bid-1", 7, 5)));
        for _ in 0..40 {
            if let Some(incarnation) = incarnation {
                let host = cornelhitch_types::entry::Host {
                    incarnation,
                    ..entry_host(5, 1)
                };
                bench.handle(Input::Renewal(host));
            }
            bench.advance(1);
        }
        let resend = Command::Claim(common::claim("bid-1", 7, 6));
        assert_eq!(
            bench.commit(&resend),
            Reply::Claim(expected),
            "{incarnation:?}"
        );
    }
}

/// A heartbeat sent before the worker announced that it is leaving may reach a later leader.
/// Guards against a leader that keeps every route table of its term for hosts that may miss changes, until
/// it has no memory left.
#[test]
fn a_host_that_missed_many_route_tables_gets_the_newest_alone() {
    let mut bench = bench();
    let first = resync(&mut bench, 1, 0).to;
    for version in 1..=5 {
        let table = Arc::new(RouteTable {
            version,
            ..RouteTable::default()
        });
        let text = format!("version {version}").into();
        bench.commit(&Command::PublishTable(SubmittedTable { table, text }));
        run_seconds(&mut bench, 10 + version, 1, &[], 0);
    }
    let missed = resync(&mut bench, 1, first);
    assert!(missed.to >= first + 5, "{missed:?}");
    let tables = missed.changes.iter().filter_map(|change| match change {
        Change::Table(table) => Some(table.version),
        _ => None,
    });
    assert_eq!(tables.collect::<Vec<_>>(), [5]);
}

#[test]
fn leaving_worker_is_not_loaded_by_a_later_leader() {
    for left in [false, true] {
        let mut bench = bench();
        if left {
            bench.commit(&Command::Leave {
                target: "w1".into(),
                incarnation: 1,
            });
        }
        bench.restart();
        bench.handle(Input::Heartbeat(heartbeat("w1", 1, 100, Vec::new())));
        bench.handle(Input::Report(report(1, 100, &[("report", 5, 0)])));
        bench.advance(3);
        let orders = bench.orders();
        let loads = orders
            .iter()
            .filter(|order| matches!(order.action, Action::Load { .. }));
        assert_eq!(loads.count() > 0, !left, "{orders:?}");
    }
}

/// A new leader that sent all entry hosts the full view at once had no time for the replicated log.
#[test]
fn full_views_after_an_election_are_sent_to_a_few_hosts_at_a_time() {
    const HOSTS: u64 = 191;
    const STEP: Duration = Duration::from_millis(50);
    let mut bench = bench();
    bench.outputs.clear();
    let mut served = BTreeSet::new();
    for round in 0..40 {
        for host in 0..HOSTS {
            // Hosts ask again while they wait.
            if round == 0 || round == 10 && !served.contains(&host) {
                bench.handle(Input::Subscribe {
                    host,
                    term: 0,
                    sequence: 0,
                });
            }
        }
        bench.now += STEP;
        bench.handle(Input::Tick);
        let mut sent = 0;
        for output in bench.outputs.drain(..) {
            let hosts = match output {
                Output::Publish {
                    to: Audience::Hosts(hosts),
                    ..
                } => hosts,
                Output::Publish {
                    to: Audience::Host(host),
                    ..
                } => vec![host],
                _ => continue,
            };
            sent += hosts.len();
            for host in hosts {
                assert!(served.insert(host), "host {host} is served twice");
            }
        }
        assert!(sent <= 16, "{sent} at once, in round {round}");
    }
    assert_eq!(served.len() as u64, HOSTS, "within 2 s");
}

/// Every change goes to every entry host, so their loads would cost the square of their number.
#[test]
fn small_changes_of_a_hosts_load_are_not_published() {
    // The load of each renewal of a host that was published with none, and whether it is published.
    let rows = [
        (0, false),
        (3, false),
        (7, false),
        (8, true),
        (15, false),
        (17, true),
        (0, true),
    ];
    let mut bench = bench();
    for (load, published) in rows {
        bench.changes();
        bench.handle(Input::Renewal(Host {
            load,
            ..entry_host(1, 1)
        }));
        bench.now += Duration::from_secs(1);
        bench.handle(Input::Tick);
        let is_host = |change: &Change| matches!(change, Change::Entry(host) if host.host == 1);
        assert_eq!(bench.changes().iter().any(is_host), published, "{load}");
    }
    bench.handle(Input::Renewal(Host {
        draining: true,
        ..entry_host(1, 1)
    }));
    bench.now += Duration::from_secs(1);
    bench.handle(Input::Tick);
    let drains = |change: &Change| matches!(change, Change::Entry(host) if host.draining);
    assert!(bench.changes().iter().any(drains));
}

/// The control host that takes heartbeats may fall silent while its targets are well.
#[test]
fn targets_are_not_suspected_while_their_heartbeats_move_to_another_host() {
    // Whether the leader knows that their host is silent, whether an entry host has lost the target,
    // and after how many tenths of a second the target gets no new work.
    let rows = [(false, false, 20), (true, false, 32), (true, true, 5)];
    for (delayed, lost, closed_after) in rows {
        let mut bench = bench();
        bench.now += Duration::from_secs(1);
        bench.handle(Input::Heartbeat(heartbeat("w1", 1, 40, Vec::new())));
        bench.changes();
        let mut closed = None;
        for tenth in 1..60 {
            bench.now += Duration::from_millis(100);
            if delayed && tenth == 7 {
                let targets = vec!["w1".into()];
                bench.handle(Input::HeartbeatsDelayed { targets });
            }
            if lost && tenth == 5 {
                bench.handle(Input::ConnectionLost {
                    target: "w1".into(),
                    incarnation: 1,
                });
            }
            bench.handle(Input::Tick);
            let is_closed =
                |change: &Change| matches!(change, Change::Target(target) if !target.open);
            if bench.changes().iter().any(is_closed) {
                closed = closed.or(Some(tenth));
            }
        }
        assert_eq!(closed, Some(closed_after), "{delayed}, {lost}");
    }
}

/// Large views to several hosts at once took all of the leader's time.
#[test]
fn large_full_views_are_sent_to_fewer_hosts_at_a_time() {
    let mut bench = bench();
    for target in 0..2_100 {
        let name = format!("t{target}");
        let mut announcement = worker(&name, 1, 100, false);
        let port = 10_000 + target;
        announcement.address = ([127, 0, 0, 1], port).into();
        bench.handle(Input::Announcement(announcement));
    }
    bench.outputs.clear();
    for host in 0..10 {
        bench.handle(Input::Subscribe {
            host,
            term: 0,
            sequence: 0,
        });
    }
    let mut served = 0;
    for round in 0..10 {
        let mut hosts = 0;
        for output in bench.outputs.drain(..) {
            if let Output::Publish { to, .. } = output {
                hosts += match to {
                    Audience::All => 0,
                    Audience::Host(_) => 1,
                    Audience::Hosts(hosts) => hosts.len(),
                };
            }
        }
        assert!(hosts <= 3, "{hosts} at once, in round {round}");
        served += hosts;
        bench.now += Duration::from_millis(50);
        bench.handle(Input::Tick);
    }
    assert_eq!(served, 10, "hosts in 0.5 s");
}
