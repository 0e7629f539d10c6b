//! Random behaviour of the fake targets for one attempt.

use std::time::Duration;

use cornelhitch_types::id::Time;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::event::Failure;

/// One step of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The response begins.
    Begin,
    /// Tokens arrive, up to this offset.
    Progress(u64),
    /// The terminator arrives.
    End,
    /// The attempt fails.
    Fail(Failure),
    /// The target dies.
    Die,
}

/// Returns the steps of one attempt, each with the time since the first byte was sent.
pub fn steps(
    poison: bool,
    streaming: bool,
    failure_percent: u8,
    random: &mut SmallRng,
) -> Vec<(Time, Step)> {
    let ms = |ms: u64| Duration::from_millis(ms);
    let first = ms(random.random_range(1..400));
    if poison {
        return vec![(first, Step::Die)];
    }
    let mut steps = vec![(first, Step::Begin)];
    let mut at = first;
    if streaming {
        for offset in 1..random.random_range(2..6) {
            at += ms(random.random_range(1..300));
            steps.push((at, Step::Progress(offset)));
        }
    }
    at += ms(random.random_range(1..300));
    if random.random_range(0..100) >= failure_percent {
        steps.push((at, Step::End));
        return steps;
    }
    let early = [
        Failure::Refused,
        Failure::Broken,
        Failure::MismatchedId,
        Failure::Status,
    ];
    match random.random_range(0..6) {
        // A target that declines a request may still answer later.
        index @ 0..4 => vec![
            (first, Step::Begin),
            (first + ms(1), Step::Fail(early[index])),
            (at + ms(500), Step::End),
        ],
        4 => {
            steps.push((at, Step::Fail(Failure::Truncated)));
            steps
        }
        _ => steps,
    }
}
