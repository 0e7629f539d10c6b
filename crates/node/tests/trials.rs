//! Trials of request parts under which targets ended: entry hosts ask in turn, the leader grants.

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
