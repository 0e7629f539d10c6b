//! Which requests are refused for the sections of their prompts.

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
        end(&mut suspects, number, &requests, &[], at(number + 1));
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
    suspects.acquit(&[FIRST, CRASHING], before, at(1));
    assert!(suspects.refused_for((&[FIRST, CRASHING]).into()).is_some());
    let later = suspects.knowledge(at(10));
    suspects.acquit(&[FIRST, CRASHING], later, at(11));
    assert_eq!(suspects.refused_for((&[FIRST, CRASHING]).into()), None);
}

#[test]
fn sections_that_were_always_together_are_refused_only_together() {
    let mut suspects = Suspects::new(LIMIT);
    for number in 0..3 {
        end(&mut suspects, number, &[&[FIRST, CRASHING]], &[], at(0));
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
        end(&mut suspects, number, &[&[FIRST]], &[], at(0));
    }
    assert_eq!(
        suspects.judge((&[FIRST]).into(), TURN, at(900)),
        Verdict::Refuse(FIRST)
    );
    let sent = suspects.knowledge(at(1_000));
    let verdict = suspects.judge((&[FIRST]).into(), TURN, at(1_000));
    assert_eq!(verdict, Verdict::Try(vec![FIRST]));
    suspects.acquit(&[FIRST], sent, at(1_050));
    assert_eq!(
        suspects.judge((&[FIRST]).into(), TURN, at(1_100)),
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
            end(&mut suspects, number, &[&[FIRST]], &[], at(1_000));
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
        end(&mut suspects, number, &prompts, &[], at(0));
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
