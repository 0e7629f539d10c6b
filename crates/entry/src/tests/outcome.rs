//! How the fake targets answer an attempt.

use std::time::Duration;

use cornelhitch_types::id::Time;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::event::Failure;

/// One step of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The answer begins.
    Begin,
    /// Tokens come.
    Move(u64),
    /// The terminator comes.
    End,
    /// It fails.
    Fail(Failure),
    /// The target dies.
    Die,
}

/// The steps of one attempt, with the time from the first byte to each.
pub fn steps(poison: bool, streaming: bool, sick: u8, random: &mut SmallRng) -> Vec<(Time, Step)> {
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
            steps.push((at, Step::Move(offset)));
        }
    }
    at += ms(random.random_range(1..300));
    if random.random_range(0..100) >= sick {
        steps.push((at, Step::End));
        return steps;
    }
    let early = [
        Failure::Refused,
        Failure::Broken,
        Failure::Crossed,
        Failure::Status,
    ];
    match random.random_range(0..6) {
        // A target that refuses may answer all the same, later.
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
