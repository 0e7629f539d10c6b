//! Which requests are refused for the sections of their prompts.

use std::collections::BTreeSet;

use cornelhitch_entry::quarantine::TargetInstance;
use cornelhitch_entry::suspects::{Parts, Suspects, Suspicion, Turn, Verdict};
use cornelhitch_types::id::Time;
use cornelhitch_types::view::SectionCrash;

/// Number of ends at which a section is refused.
const LIMIT: u32 = 3;
/// The only host.
const TURN: Option<Turn> = Some(Turn {
    position: 0,
    hosts: 1,
});
/// A section that all requests share, one that ends targets, and one of a sound request.
const FIRST: u64 = 1;
const CRASHING: u64 = 2;
const OTHER: u64 = 3;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns the time of an end; ends are a second apart, so that each is an event of its own.
fn apart(number: u64) -> Time {
    at(1_000 * number)
}

/// Records the end of a target under requests with given sections.
fn end(suspects: &mut Suspects, number: u64, requests: &[&[u64]], tried: &[u64], now: Time) {
    let lost: TargetInstance = (format!("target-{number}").into(), 1);
    for sections in requests {
        let suspicion = Suspicion {
            sections: sections.to_vec(),
            tried: tried.to_vec(),
        };
        suspects.strike(&suspicion, &lost, now);
    }
}

/// Returns suspects after so many ends under one crashing and two sound requests each.
fn after(ends: u64) -> Suspects {
    let mut suspects = Suspects::new(LIMIT);
    let requests: [&[u64]; 3] = [&[FIRST, CRASHING], &[FIRST, OTHER], &[FIRST, OTHER]];
    for number in 0..ends {
        end(&mut suspects, number, &requests, &[], apart(number + 1));
    }
    suspects
}

#[test]
fn the_rarest_section_is_refused_and_those_that_it_explains_are_not() {
    let rows: [(&[u64], Option<u64>); 4] = [
        (&[FIRST, CRASHING], Some(CRASHING)),
        (&[FIRST, OTHER], None),
        (&[FIRST], None),
        (&[], None),
    ];
    let suspects = after(3);
    for (sections, expected) in rows {
        assert_eq!(
            suspects.refused_for(sections.into()),
            expected,
            "{sections:?}"
        );
    }
    assert_eq!(after(2).refused_for((&[FIRST, CRASHING]).into()), None);
}

#[test]
fn an_answer_clears_a_section_unless_it_was_sent_before_the_end_was_known() {
    let mut suspects = after(3);
    let before = suspects.knowledge(at(0));
    suspects.acquit(&[FIRST, CRASHING], before, apart(4));
    assert!(suspects.refused_for((&[FIRST, CRASHING]).into()).is_some());
    let later = suspects.knowledge(apart(5));
    suspects.acquit(&[FIRST, CRASHING], later, apart(6));
    assert_eq!(suspects.refused_for((&[FIRST, CRASHING]).into()), None);
}

#[test]
fn sections_that_were_always_together_are_refused_only_together() {
    let mut suspects = Suspects::new(LIMIT);
    for number in 0..3 {
        end(
            &mut suspects,
            number,
            &[&[FIRST, CRASHING]],
            &[],
            apart(number),
        );
    }
    assert!(suspects.refused_for((&[FIRST, CRASHING]).into()).is_some());
    assert_eq!(suspects.refused_for((&[FIRST]).into()), None);
}

#[test]
fn trials_of_a_section_that_goes_on_to_end_targets_are_few() {
    let mut suspects = after(3);
    let mut trials = 0;
    for tenth in 1..=36_000 {
        let now = at(tenth * 100);
        let verdict = suspects.judge((&[FIRST, CRASHING]).into(), TURN, now);
        if let Verdict::Try(tried) = verdict {
            trials += 1;
            end(
                &mut suspects,
                100 + trials,
                &[&[FIRST, CRASHING]],
                &tried,
                now,
            );
        }
    }
    assert!((1..=3).contains(&trials), "{trials} trials in an hour");
}

#[test]
fn a_trial_that_is_answered_ends_a_false_conviction() {
    let mut suspects = Suspects::new(LIMIT);
    for number in 0..6 {
        end(&mut suspects, number, &[&[FIRST]], &[], apart(number));
    }
    assert_eq!(
        suspects.judge((&[FIRST]).into(), TURN, at(5_900)),
        Verdict::Refuse(FIRST)
    );
    let sent = suspects.knowledge(at(6_000));
    let verdict = suspects.judge((&[FIRST]).into(), TURN, at(6_000));
    assert_eq!(verdict, Verdict::Try(vec![FIRST]));
    suspects.acquit(&[FIRST], sent, at(6_050));
    assert_eq!(
        suspects.judge((&[FIRST]).into(), TURN, at(6_100)),
        Verdict::Run
    );
}

#[test]
fn a_section_that_was_answered_before_is_not_refused_for_targets_that_end_under_others() {
    for (answered, ends, refused) in [
        (false, 3, true),
        (true, 3, false),
        (true, 4, false),
        (true, 5, true),
    ] {
        let mut suspects = Suspects::new(LIMIT);
        if answered {
            let known = suspects.knowledge(at(0));
            suspects.acquit(&[FIRST], known, at(0));
        }
        for number in 0..ends {
            end(&mut suspects, number, &[&[FIRST]], &[], apart(number + 1));
        }
        let row = (answered, ends);
        assert_eq!(
            suspects.refused_for((&[FIRST]).into()).is_some(),
            refused,
            "{row:?}"
        );
    }
}

/// Trials of a section that ends targets used up those of the section that all prompts share.
#[test]
fn a_trial_of_a_crashing_section_is_none_of_a_section_that_it_explains() {
    let mut suspects = Suspects::new(LIMIT);
    for number in 0..6 {
        let prompts: [&[u64]; 3] = [&[FIRST, CRASHING], &[FIRST], &[FIRST]];
        end(&mut suspects, number, &prompts, &[], apart(number));
    }
    assert!(suspects.refused_for((&[FIRST]).into()).is_some());
    let verdict = suspects.judge((&[FIRST, CRASHING]).into(), TURN, at(60_000));
    assert_eq!(verdict, Verdict::Try(vec![CRASHING]));
}

#[test]
fn a_whole_request_is_refused_at_the_limit_though_a_rarer_one_ran_on_the_same_targets() {
    let (crashing, sound) = (900, 901);
    let ends = |requests| {
        let end = move |number: u64| SectionCrash {
            target: format!("target-{number}").into(),
            incarnation: 1,
            index: number + 1,
            requests,
            with: Vec::new(),
            trial: false,
        };
        (0..3).map(end).collect()
    };
    let mut suspects = Suspects::new(3);
    suspects.set_published(crashing, ends(4), at(0));
    suspects.set_published(sound, ends(1), at(0));
    suspects.update(at(0));
    let parts = Parts {
        content: Some(crashing),
        sections: &[],
    };
    assert_eq!(suspects.refused_for(parts), Some(crashing));
}

/// Harmless requests were refused for 15 to 20 s after a fault had ended a quarter of the targets.
#[test]
fn targets_that_end_at_one_moment_do_not_refuse_what_all_of_them_ran() {
    let mut suspects = Suspects::new(LIMIT);
    for number in 0..35 {
        end(
            &mut suspects,
            number,
            &[&[FIRST, OTHER]],
            &[],
            at(number * 10),
        );
        suspects.record_witnessed(&BTreeSet::from([FIRST, OTHER]), at(number * 10));
    }
    assert_eq!(suspects.refused_for((&[FIRST, OTHER]).into()), None);
}

/// A section that ends targets faster than hosts can tell one end from the next is still found.
#[test]
fn a_section_that_goes_on_after_an_event_is_refused_at_its_next_end() {
    let mut suspects = after(0);
    for number in 0..12 {
        let prompts: [&[u64]; 2] = [&[FIRST, CRASHING], &[FIRST]];
        end(&mut suspects, number, &prompts, &[], at(number * 40));
        suspects.record_witnessed(&BTreeSet::from([FIRST, CRASHING]), at(number * 40));
    }
    assert_eq!(suspects.refused_for((&[FIRST, CRASHING]).into()), None);
    end(
        &mut suspects,
        12,
        &[&[FIRST, CRASHING], &[FIRST]],
        &[],
        at(500),
    );
    assert_eq!(
        suspects.refused_for((&[FIRST, CRASHING]).into()),
        Some(CRASHING)
    );
}

/// Where an event had ended all targets, what waited for them was sent at once when they came back.
#[test]
fn an_event_that_no_answer_clears_counts_in_full_after_some_time() {
    let mut suspects = Suspects::new(LIMIT);
    for number in 0..5 {
        end(&mut suspects, number, &[&[CRASHING]], &[], at(0));
    }
    suspects.record_witnessed(&BTreeSet::from([CRASHING]), at(0));
    for (now, refused) in [(1_900, false), (2_100, true)] {
        suspects.update(at(now));
        let found = suspects.refused_for((&[CRASHING]).into());
        assert_eq!(found.is_some(), refused, "after {now} ms");
    }
}

/// A section that ends targets before their answers go on leaves no run that has delivered for long. It
/// must be found within one event, before the targets come back and take all that waits.
#[test]
fn an_event_without_a_run_that_delivered_for_some_time_counts_in_full() {
    let mut suspects = Suspects::new(LIMIT);
    for number in 0..3 {
        end(&mut suspects, number, &[&[CRASHING]], &[], at(number * 40));
    }
    assert!(suspects.refused_for((&[CRASHING]).into()).is_some());
}

/// A host that restarted knows of no times and must not count old ends as one event.
#[test]
fn ends_that_a_complete_view_names_count_one_by_one() {
    for (complete, refused) in [(true, true), (false, false)] {
        let mut suspects = Suspects::new(LIMIT);
        if complete {
            suspects.begin_view();
        }
        let crash = |number: u64| SectionCrash {
            target: format!("target-{number}").into(),
            incarnation: 1,
            index: number + 1,
            requests: 1,
            with: Vec::new(),
            trial: false,
        };
        suspects.set_published(CRASHING, (0..3).map(crash).collect(), at(0));
        suspects.record_witnessed(&BTreeSet::from([CRASHING]), at(0));
        if complete {
            suspects.end_view(at(0));
        }
        suspects.update(at(0));
        let found = suspects.refused_for((&[CRASHING]).into());
        assert_eq!(found.is_some(), refused, "complete: {complete}");
    }
}

/// Callers were told to come back when the crashes expire, after 60 s, though a trial was due earlier.
#[test]
fn a_refused_request_is_told_when_the_next_trial_is_due() {
    let suspects = after(3);
    let parts = (&[CRASHING]).into();
    let kept = Time::from_mins(1);
    let wait = |now| suspects.time_to_decision(parts, kept, now);
    assert_eq!(wait(apart(3)), Time::from_secs(1));
    assert_eq!(wait(at(3_600)), Time::from_millis(400));
    assert!(wait(at(4_100)) < Time::from_secs(1), "a trial runs");
}

/// Harmless requests that ran on other targets through a fault told nothing until they had been sent
/// again, which had them refused at the next fault.
#[test]
fn an_answer_that_outlasts_an_event_clears_it_but_no_single_end() {
    for (ends, cleared) in [(1, false), (2, false), (8, true)] {
        let mut suspects = Suspects::new(LIMIT);
        let sent = suspects.knowledge(at(0));
        for number in 0..ends {
            end(&mut suspects, number, &[&[FIRST]], &[], at(100 + number));
        }
        suspects.acquit(&[FIRST], sent, at(1_000));
        assert_eq!(suspects.list().is_empty(), cleared, "{ends} ends");
    }
}
