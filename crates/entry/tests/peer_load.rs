//! Work in flight that entry hosts tell each other: reports that are lost, late or from a host that
//! has restarted, left or fallen silent.

use std::time::Duration;

use cornelhitch_entry::peer_load::{PeerLoads, PeerReport, PeerRow, ROW_LIFETIME};
use cornelhitch_entry::peer_reporter::PeerReporter;
use cornelhitch_types::id::Time;

const MS_PER_TOKEN: f64 = 0.02;
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Returns a report of one host with these prompt tokens at one target; none if there are 0.
fn report(sequence: u64, complete: bool, tokens: u32) -> PeerReport {
    let row = PeerRow {
        target: "w1".into(),
        tokens,
        requests: u32::from(tokens > 0),
        pace: None,
    };
    PeerReport {
        sequence,
        complete,
        rows: vec![row],
    }
}

/// Returns the prompt tokens that are expected at the target.
fn tokens(loads: &PeerLoads, now: Time) -> f64 {
    loads.at("w1", MS_PER_TOKEN, HALF_LIFE, now).tokens
}

/// Guards against figures that grow with repeated or reordered reports.
#[test]
fn a_report_replaces_earlier_ones_and_is_replaced_by_none_of_them() {
    let mut loads = PeerLoads::default();
    assert!(loads.apply(2, 1, &report(1, false, 1_000), Time::ZERO));
    assert!(loads.apply(2, 1, &report(3, false, 4_000), Time::ZERO));
    assert!(!loads.apply(2, 1, &report(2, true, 9_000), Time::ZERO));
    assert!(!loads.apply(2, 1, &report(3, false, 4_000), Time::ZERO));
    assert!((tokens(&loads, Time::ZERO) - 4_000.0).abs() < 1e-6);
    assert!(loads.apply(3, 1, &report(1, false, 500), Time::ZERO));
    assert!((tokens(&loads, Time::ZERO) - 4_500.0).abs() < 1e-6);
}

/// Guards against targets that are avoided for good because of a host that tells nothing any more.
#[test]
fn what_a_silent_host_had_in_flight_expires() {
    let mut loads = PeerLoads::default();
    loads.apply(2, 1, &report(1, true, u32::MAX), Time::ZERO);
    let work = |now| loads.at("w1", MS_PER_TOKEN, HALF_LIFE, now);
    assert!(work(ROW_LIFETIME / 2).requests > 0.0);
    assert!(work(ROW_LIFETIME).requests.abs() < 1e-9);
    assert!(work(ROW_LIFETIME).tokens.abs() < 1e-9);
}

/// Guards against work of a process that has ended.
#[test]
fn a_restarted_host_and_one_that_has_left_have_nothing_in_flight() {
    let mut loads = PeerLoads::default();
    loads.apply(2, 1, &report(7, true, 4_000), Time::ZERO);
    assert!(loads.apply(2, 2, &report(1, false, 0), Time::ZERO));
    assert!(tokens(&loads, Time::ZERO).abs() < 1e-9);
    assert!(!loads.apply(2, 1, &report(8, true, 4_000), Time::ZERO));
    loads.apply(2, 2, &report(2, true, 4_000), Time::ZERO);
    loads.forget_host(2);
    assert!(tokens(&loads, Time::ZERO).abs() < 1e-9);
}

/// Guards against a lost report of an end: the next complete one corrects it.
#[test]
fn a_complete_report_drops_what_it_does_not_list() {
    let mut loads = PeerLoads::default();
    loads.apply(2, 1, &report(1, false, 4_000), Time::ZERO);
    let empty = PeerReport {
        sequence: 3,
        complete: true,
        rows: Vec::new(),
    };
    loads.apply(2, 1, &empty, Time::ZERO);
    assert!(tokens(&loads, Time::ZERO).abs() < 1e-9);
}

/// Guards against changes that are never told because the budget was spent when they came, and against
/// traffic beyond the budget.
#[test]
fn changes_wait_for_the_budget() {
    let mut reporter = PeerReporter::default();
    let mut now = Duration::from_secs(10);
    let mut sent = 0;
    for _ in 0..1_000 {
        now += Duration::from_millis(10);
        reporter.note_change(&"w1".into(), 100.0, now);
        let Some(due) = reporter.take_due(now) else {
            continue;
        };
        assert!(due.changed.contains("w1"), "{due:?}");
        let receivers = reporter.receivers(100, 20, now);
        sent += receivers.len();
        if receivers.is_empty() {
            reporter.put_back(due.changed, now);
        }
    }
    // 10 s at 8,000 bytes a second, and what was saved up before, in reports of 130 bytes.
    assert!((600..=11 * 8_000 / 130).contains(&sent), "{sent} reports");
    assert!(
        reporter
            .next()
            .is_some_and(|at| at <= now + Duration::from_secs(1))
    );
}
