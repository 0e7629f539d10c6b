//! Tests of the watch, an interval at a time.

use super::*;

/// Guards against a task that never returns from a step and says nothing (review/6).
#[test]
fn a_step_that_does_not_return_is_reported_and_again_at_longer_intervals() {
    let (steps, mut seen) = (Steps::default(), Seen::default());
    steps.begin("Tick");
    let findings = (0..15).filter_map(|_| seen.look(&steps.lock()));
    let stalled = |intervals| Finding::Stalled {
        event: "Tick",
        intervals,
    };
    assert_eq!(
        findings.collect::<Vec<_>>(),
        [stalled(3), stalled(6), stalled(12)]
    );
    steps.end();
    let returned = Finding::Returned { intervals: 14 };
    assert_eq!(seen.look(&steps.lock()), Some(returned));
    assert_eq!(seen.look(&steps.lock()), None);
}

#[test]
fn a_task_that_is_busy_or_idle_is_not_reported() {
    let (steps, mut seen) = (Steps::default(), Seen::default());
    for _ in 0..20 {
        // Each look finds another step in progress.
        steps.end();
        steps.begin("Arrived");
        assert_eq!(seen.look(&steps.lock()), None);
    }
    steps.end();
    for _ in 0..20 {
        assert_eq!(seen.look(&steps.lock()), None);
    }
}
