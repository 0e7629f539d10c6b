//! Decides which sections explain the targets that ended.
//!
//! A section that ends each target has only the request that ended it there; shared sections have
//! many requests on the same targets. So sections are ranked by their requests for each crash, as
//! in spectrum-based fault localisation (Jones and Harrold, 2005), and picked in this order as long
//! as enough of their crashes are not explained by those picked before.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use cornelhitch_types::id::Time;

use super::events;
use super::record::{Crash, Record};

/// A request with this many times as many requests at a crash is explained by the rarer section.
const RARER: u32 = 2;

/// Crashes beyond the limit from which a section that others explain is refused too.
const EXCUSED_CRASHES: usize = 2;

/// Sections that are refused: a request is refused that holds all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Refused {
    /// The sections.
    pub(super) sections: Vec<u64>,
    /// Whether other sections explain their crashes.
    pub(super) excused: bool,
}

/// Returns the sets of sections that are refused, those that explain the crashes first.
pub(super) fn refused_sets(
    records: &BTreeMap<u64, Record>,
    limit: impl Fn(u64) -> usize,
    now: Time,
) -> Vec<Refused> {
    let rarest = rarest(records, &limit, now).into_iter();
    let rarest = rarest.map(|sections| Refused {
        sections,
        excused: false,
    });
    let lasting = records.iter();
    let lasting = lasting
        .filter(|(section, record)| record.weight(now) >= limit(**section) + EXCUSED_CRASHES);
    let lasting = lasting.map(|(section, _)| Refused {
        sections: vec![*section],
        excused: true,
    });
    rarest.chain(lasting).collect()
}

/// Returns the sets of sections that explain the crashes.
fn rarest(
    records: &BTreeMap<u64, Record>,
    limit: &impl Fn(u64) -> usize,
    now: Time,
) -> Vec<Vec<u64>> {
    let mut picked: Vec<(u64, &Record)> = Vec::new();
    for (section, record) in candidates(records, limit, now) {
        let explained = |crash: &&Crash| {
            let mut picked = picked.iter();
            picked.any(|(other, record)| explains(*other, record, crash))
        };
        let unexplained = record.crashes.iter().filter(|crash| !explained(crash));
        if events::weight(unexplained, record.witnessed, now) >= limit(section) {
            picked.push((section, record));
        }
    }
    let sets = picked.into_iter();
    sets.map(|(section, record)| with_companions(section, record, records))
        .collect()
}

/// Returns the sections that have reached their limit of crashes, those with the fewest requests for each crash
/// first.
fn candidates<'a>(
    records: &'a BTreeMap<u64, Record>,
    limit: &impl Fn(u64) -> usize,
    now: Time,
) -> Vec<(u64, &'a Record)> {
    let records = records.iter();
    let candidates = records.filter(|(section, record)| record.weight(now) >= limit(**section));
    let mut candidates: Vec<(u64, &Record)> = candidates
        .map(|(section, record)| (*section, record))
        .collect();
    candidates.sort_by(|(_, one), (_, other)| {
        let [crashes, other_crashes] = [one, other].map(|it| it.crashes.len() as u64);
        let ratio = one.requests() * other_crashes;
        let other_ratio = other.requests() * crashes;
        ratio
            .cmp(&other_ratio)
            .then(Reverse(crashes).cmp(&Reverse(other_crashes)))
    });
    candidates
}

/// Whether a picked section explains a crash of another one.
fn explains(picked: u64, record: &Record, crash: &Crash) -> bool {
    let Some(same) = record.crash(&crash.lost) else {
        return false;
    };
    crash.with.contains(&picked) || same.requests.saturating_mul(RARER) <= crash.requests
}

/// Returns a section with those that cannot be told apart from it: they were in the same requests at
/// all crashes, and in no others.
fn with_companions(section: u64, record: &Record, records: &BTreeMap<u64, Record>) -> Vec<u64> {
    let mut set = vec![section];
    let first = record.crashes.first();
    let others = first.into_iter().flat_map(|crash| &crash.with);
    for other in others {
        let Some(companion) = records.get(other) else {
            continue;
        };
        let together = record.crashes.iter().all(|crash| {
            let same = companion.crash(&crash.lost);
            crash.with.contains(other) && same.is_some()
        });
        if together && companion.requests() == record.requests() {
            set.push(*other);
        }
    }
    set
}
