//! Trials of request parts under which targets ended: entry hosts ask in turn, the leader grants.

use cornelhitch_control::command::Command;
use cornelhitch_control::sections::{Acquittal, Strike};
use cornelhitch_entry::suspects::{Suspects, Turn, Verdict};
use cornelhitch_node::trials::Trials;
use cornelhitch_types::id::Time;
use cornelhitch_types::view::SectionCrash;

/// Number of entry hosts.
const HOSTS: usize = 9;
/// Ends at which a section is refused.
const LIMIT: u32 = 3;
/// The first section of all prompts, and one that ends targets.
const FIRST: u64 = 1;
const CRASHING: u64 = 2;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns published ends of targets under requests with a section.
fn ends(with: u64) -> Vec<SectionCrash> {
    let end = |number| SectionCrash {
        target: format!("target-{number}").into(),
        incarnation: 1,
        index: number + 1,
        requests: 1,
        with: vec![with],
        trial: false,
    };
    (0..u64::from(LIMIT)).map(end).collect()
}

/// Creates a host that knows the ends.
fn host() -> Suspects {
    let mut host = Suspects::new(LIMIT);
    host.begin_view();
    host.set_published(FIRST, ends(CRASHING), at(0));
    host.set_published(CRASHING, ends(FIRST), at(0));
    host.end_view(at(0));
    host
}

/// The other hosts ask while the first trial still runs.
#[test]
fn trials_of_a_section_do_not_overlap_when_answers_begin_late() {
    let mut hosts: Vec<Suspects> = (0..HOSTS).map(|_| host()).collect();
    let mut leader = Trials::default();
    let mut trials = Vec::new();
    for now in (0..30_000).step_by(10) {
        let first_ended = trials.first().is_some_and(|first| now >= first + 2_100);
        if first_ended {
            break;
        }
        for (position, host) in hosts.iter_mut().enumerate() {
            let turn = Turn {
                position,
                hosts: HOSTS,
            };
            let verdict = host.judge((&[FIRST, CRASHING]).into(), Some(turn), at(now));
            if let Verdict::Try(parts) = verdict
                && leader.grant(&parts, at(now))
            {
                trials.push(now);
            }
        }
    }
    assert_eq!(trials.len(), 1, "{trials:?}");
}

/// Returns the committed end of a target under a section, as the outcome of its trial or not.
fn strike(number: u64, is_outcome: bool) -> Command {
    Command::StrikeSections(Strike {
        fingerprint: number,
        sections: vec![CRASHING],
        target: format!("target-{number}").into(),
        incarnation: 1,
        tried: if is_outcome {
            vec![CRASHING]
        } else {
            Vec::new()
        },
    })
}

/// A section that ends targets late must not get a trial every few seconds, since none of them counts as
/// its outcome.
#[test]
fn trials_that_are_lost_without_an_outcome_are_few() {
    let mut leader = Trials::default();
    let mut granted = 0;
    for second in 0..300 {
        let now = Time::from_secs(second);
        if leader.grant(&[CRASHING], now) {
            granted += 1;
            leader.on_committed(&strike(second, false), now + Time::from_millis(500));
        }
    }
    assert_eq!(granted, 3);
    let sections = vec![CRASHING];
    let acquittal = Acquittal { sections, known: 1 };
    leader.on_committed(&Command::AcquitSections(acquittal), Time::from_mins(5));
    assert!(leader.grant(&[CRASHING], Time::from_secs(301)));
}

/// Several targets that end during one trial must not use up all trials of a section.
#[test]
fn a_trial_is_lost_once_at_most_and_not_by_its_outcome() {
    let mut leader = Trials::default();
    for round in 0..4 {
        let now = Time::from_secs(10 * round);
        assert!(leader.grant(&[CRASHING], now), "round {round}");
        leader.on_committed(&strike(round, round >= 2), now);
        leader.on_committed(&strike(100 + round, round >= 2), now);
    }
}
