//! When a host takes a target for limited: by answers, by the view, by incarnation.

use std::time::Duration;

use cornelhitch_entry::target_limits::TargetLimits;
use cornelhitch_types::target::RequestRate;

/// What a host hears of its target: answers and views of one incarnation, or a complete view.
#[derive(Debug, Clone, Copy)]
enum Word {
    /// An answer, which names a limit or none.
    Answer(u64, Option<u64>),
    /// A change of the view.
    Published(u64, Option<u64>),
    /// A complete view follows.
    CompleteView,
    /// A view in which the target has this incarnation.
    Incarnation(u64),
}
use Word::{Answer, CompleteView, Incarnation, Published};

/// What is heard at which second, and whether the target is limited after it.
#[rustfmt::skip]
const ROWS: [&[(u64, Word, bool)]; 10] = [
    // A limit ends with answers after 4 s that name none; without control, too.
    &[(0, Answer(1, Some(1_000)), true), (3, Answer(1, None), true), (4, Answer(1, None), false)],
    // An answer that names it holds it for another 4 s.
    &[(0, Answer(1, Some(1_000)), true), (3, Answer(1, Some(1_000)), true), (6, Answer(1, None), true)],
    // Only control ends a limit that it told.
    &[(0, Published(1, Some(1_000)), true), (9, Answer(1, None), true), (9, Published(1, None), false)],
    // What an answer has just named outlives the view.
    &[(0, Answer(1, Some(1_000)), true), (1, Published(1, None), true), (5, Answer(1, None), false)],
    &[(0, Answer(1, Some(1_000)), true), (5, Published(1, None), false)],
    // A complete view ends what only the view has told.
    &[(0, Published(1, Some(1_000)), true), (1, CompleteView, false)],
    &[(0, Answer(1, Some(1_000)), true), (1, CompleteView, true)],
    // A limit belongs to an incarnation; what comes late of an earlier one changes nothing.
    &[(0, Answer(1, Some(1_000)), true), (1, Incarnation(2), false), (2, Answer(2, Some(500)), true)],
    &[(0, Answer(2, Some(1_000)), true), (5, Answer(1, None), true), (5, Published(1, Some(500)), true)],
    &[(0, Answer(2, Some(1_000)), true), (5, Published(1, None), true)],
];

#[test]
fn a_limit_lasts_as_long_as_its_target_names_it() {
    let target = "worker-1".into();
    for row in ROWS {
        let mut limits = TargetLimits::default();
        for (second, word, limited) in row {
            let now = Duration::from_secs(100 + second);
            let rate = |rate: Option<u64>| rate.map(RequestRate);
            match *word {
                Answer(incarnation, named) => {
                    limits.on_answer(&target, incarnation, rate(named), 0, now);
                }
                Published(incarnation, told) => {
                    limits.on_published(&target, incarnation, rate(told), 0, now);
                }
                CompleteView => limits.clear_published(),
                Incarnation(incarnation) => limits.forget_before(&target, incarnation),
            }
            assert_eq!(limits.is_limited(&target), *limited, "{word:?} in {row:?}");
        }
    }
}

#[test]
fn control_is_told_once_a_second_what_a_target_names() {
    let (mut limits, target) = (TargetLimits::default(), "worker-1".into());
    let told = (0..30).filter(|tenth| {
        let now = Duration::from_millis(100_000 + tenth * 100);
        limits.on_answer(&target, 1, Some(RequestRate(1_000)), 0, now)
    });
    assert_eq!(told.count(), 3);
}
