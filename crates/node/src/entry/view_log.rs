//! Log lines about what a view tells of requests and targets.

use cornelhitch_types::view::{Change, View};

use crate::section_ids::SectionIds;

/// Logs the strike counts and limits that a view publishes.
pub(super) fn log_changes(view: &View) {
    log_strike_counts(view);
    log_section_crashes(view);
    log_limits(view);
}

/// Logs the strike counts that a view publishes; only their number if the view is complete.
fn log_strike_counts(view: &View) {
    let (term, to) = (view.term, view.to);
    let counts = view.changes.iter().filter_map(|change| match change {
        Change::StrikeCount(fingerprint, strikes) => Some((*fingerprint, *strikes)),
        _ => None,
    });
    if view.from == 0 {
        let fingerprints = counts.count();
        tracing::info!(
            fingerprints,
            term,
            view = to,
            "complete view: fingerprints with strikes"
        );
        return;
    }
    for (fingerprint, strikes) in counts {
        tracing::info!(
            fingerprint,
            strikes,
            term,
            view = to,
            "strike count published"
        );
    }
}

/// Logs the crashes of prompt sections that a view publishes; only their number if the view is
/// complete.
fn log_section_crashes(view: &View) {
    let (term, to) = (view.term, view.to);
    let sections = view.changes.iter().filter_map(|change| match change {
        Change::SectionCrashes(section, crashes) => Some((*section, crashes)),
        _ => None,
    });
    if view.from == 0 {
        let sections = sections.count();
        tracing::info!(
            sections,
            term,
            view = to,
            "complete view: prompt sections with crashes"
        );
        return;
    }
    for (section, crashes) in sections {
        let last = crashes.last();
        tracing::info!(
            section = %SectionIds::from(&[section][..]),
            crashes = crashes.len(),
            target = last.map(|crash| &*crash.target),
            life = last.map(|crash| crash.incarnation),
            index = last.map(|crash| crash.index),
            term,
            view = to,
            "crashes of a prompt section published"
        );
    }
}

/// Logs the limits of targets that a view publishes.
fn log_limits(view: &View) {
    for change in &view.changes {
        if let Change::TargetLimit(target, incarnation, limit) = change {
            let per_1000_s = limit.map(|limit| limit.0);
            let (term, to) = (view.term, view.to);
            tracing::info!(
                target = &**target,
                life = incarnation,
                per_1000_s,
                term,
                view = to,
                "limit of a target published"
            );
        }
    }
}
