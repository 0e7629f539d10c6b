//! Prefix caches with cache events that are late, duplicated or lost.

use cornelhitch_entry::affinity::PrefixCaches;
use cornelhitch_types::target::CacheEvent;
use proptest::prelude::*;

/// Returns an event for a prefix of model `report`.
fn event(sequence: u64, prefix: u64, held: bool) -> CacheEvent {
    CacheEvent {
        sequence,
        model: "report".into(),
        prefix,
        held,
    }
}

/// Events in order of arrival, and how many of the two blocks 8 and 9 are expected to be held.
#[rustfmt::skip]
fn rows() -> Vec<(&'static str, Vec<CacheEvent>, f64)> {
    vec![
        ("nothing known",         vec![], 0.0),
        ("first block",           vec![event(1, 8, true)], 1.0),
        ("both blocks",           vec![event(1, 8, true), event(2, 9, true)], 2.0),
        ("dropped again",         vec![event(1, 9, true), event(2, 9, false)], 0.0),
        ("late hold",             vec![event(2, 9, false), event(1, 9, true)], 0.0),
        ("late drop",             vec![event(2, 9, true), event(1, 9, false)], 2.0),
        ("doubled",               vec![event(1, 9, true), event(1, 9, true)], 2.0),
        ("a gap halves the rest", vec![event(1, 9, true), event(4, 7, true)], 1.0),
        ("after a gap, anew",     vec![event(1, 7, true), event(4, 9, true)], 2.0),
        ("another model's is not counted", vec![CacheEvent { model: "preview".into(), ..event(1, 9, true) }], 0.0),
    ]
}

#[test]
fn cache_events_in_any_order_give_the_expected_blocks() {
    for (name, events, expected) in rows() {
        let mut caches = PrefixCaches::default();
        caches.apply(&"w1".into(), events);
        let blocks = caches.blocks("w1", &"report".into(), &[8, 9], &[]);
        assert!((blocks - expected).abs() < 1e-9, "{name}: {blocks}");
    }
}

#[test]
fn a_sent_prompt_is_expected_until_an_event_says_otherwise() {
    let (target, model) = ("w1".into(), "report".into());
    let mut caches = PrefixCaches::default();
    caches.apply(&target, vec![event(3, 1, true)]);
    caches.expect_prompt(&target, &model, &[8, 9]);
    let expected = caches.blocks("w1", &model, &[8, 9], &[]);
    assert!(expected > 1.0 && expected < 2.0, "{expected}");
    caches.apply(&target, vec![event(4, 9, false), event(5, 8, false)]);
    assert!(caches.blocks("w1", &model, &[8, 9], &[]) < 1e-9);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_order_of_arrival_does_not_change_what_is_held(
        held in proptest::collection::vec(any::<bool>(), 1..20),
        seed in any::<prop::sample::Index>(),
    ) {
        let mut events: Vec<CacheEvent> = (1..).zip(&held).map(|(at, held)| event(at, 9, *held)).collect();
        let last = events.last().is_some_and(|event| event.held);
        let middle = seed.index(events.len());
        events.rotate_left(middle);
        let mut caches = PrefixCaches::default();
        caches.apply(&"w1".into(), events);
        let blocks = caches.blocks("w1", &"report".into(), &[9], &[]);
        prop_assert_eq!(blocks > 0.0, last);
    }
}
