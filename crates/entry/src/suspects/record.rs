//! The crashes of one prompt section.

use std::collections::BTreeSet;

use cornelhitch_types::id::Time;
use cornelhitch_types::view::SectionCrash;
use serde::Serialize;

use super::{Knowledge, Suspicion, events};
use crate::quarantine::{COMMIT_TIMEOUT, TargetInstance};

/// A target that ended with a section in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Crash {
    /// The target that ended.
    pub(super) lost: TargetInstance,
    /// Index of the log entry that recorded it; `None` while only this host knows of it.
    pub(super) index: Option<u64>,
    /// When this host learned of it.
    at: Time,
    /// Whether it ended about then: `false` if a complete view told of an end that was not known.
    dated: bool,
    /// Number of requests with the section that were in progress on the target.
    pub(super) requests: u32,
    /// The other shared sections of their prompts.
    pub(super) with: BTreeSet<u64>,
    /// Whether it ended under a trial of the section.
    pub(super) trial: bool,
}

impl Crash {
    /// Returns when the target ended, as far as this host knows.
    pub(super) fn time(&self) -> Option<Time> {
        self.dated.then_some(self.at)
    }

    /// Whether it was known at a given point.
    pub(super) fn is_known(&self, known: Knowledge) -> bool {
        match self.index {
            Some(index) => index <= known.index,
            None => self.at <= known.at,
        }
    }
}

/// The crashes of one section.
#[derive(Debug, Default, Serialize)]
pub(super) struct Record {
    /// Each target that ended once.
    pub(super) crashes: Vec<Crash>,
    /// Time of the last change.
    pub(super) at: Time,
    /// Whether a run here had delivered for some time when a target ended.
    pub(super) witnessed: bool,
    /// Whether a complete view is being applied that has not named the section yet.
    stale: bool,
}

impl Record {
    /// Returns the number of requests that were in progress, over all crashes.
    pub(super) fn requests(&self) -> u64 {
        let requests = self.crashes.iter().map(|crash| u64::from(crash.requests));
        requests.sum()
    }

    /// Returns the number of strikes that the crashes weigh.
    pub(super) fn weight(&self, now: Time) -> usize {
        events::weight(&self.crashes, self.witnessed, now)
    }

    /// Returns the crash of a target.
    pub(super) fn crash(&self, lost: &TargetInstance) -> Option<&Crash> {
        self.crashes.iter().find(|crash| crash.lost == *lost)
    }

    /// Returns the number of crashes under trials of the section.
    pub(super) fn trials(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.trial).count()
    }

    /// Records a target that ended with the section in progress. What control has published already
    /// counts all requests there.
    pub(super) fn strike(
        &mut self,
        section: u64,
        suspicion: &Suspicion,
        lost: &TargetInstance,
        now: Time,
    ) {
        let known = self.crashes.iter().position(|crash| crash.lost == *lost);
        let at = known.unwrap_or(self.crashes.len());
        if known.is_none() {
            self.at = now;
            self.crashes.push(Crash {
                lost: lost.clone(),
                index: None,
                at: now,
                dated: true,
                requests: 0,
                with: BTreeSet::new(),
                trial: false,
            });
        }
        let crash = &mut self.crashes[at];
        if crash.index.is_none() {
            crash.requests += 1;
            let others = suspicion.sections.iter();
            crash.with.extend(others.filter(|other| **other != section));
        }
        crash.trial |= suspicion.tried.contains(&section);
    }

    /// Clears the crashes that were known at a given point; returns whether control has to clear
    /// some.
    pub(super) fn acquit(&mut self, known: Knowledge) -> bool {
        let published = |crash: &Crash| crash.index.is_some();
        let before = self.crashes.iter().filter(|it| published(it)).count();
        self.crashes.retain(|crash| !crash.is_known(known));
        let after = self.crashes.iter().filter(|it| published(it)).count();
        after < before
    }

    /// Replaces what control published; `complete` with a complete view, which does not tell when
    /// the targets ended.
    pub(super) fn set_published(&mut self, crashes: Vec<SectionCrash>, complete: bool, now: Time) {
        self.stale = false;
        let before = std::mem::take(&mut self.crashes);
        let published = crashes.into_iter().map(|crash| {
            let lost = (crash.target, crash.incarnation);
            let known = before.iter().find(|known| known.lost == lost);
            Crash {
                at: known.map_or(now, |known| known.at),
                dated: known.map_or(!complete, |known| known.dated),
                lost,
                index: Some(crash.index),
                requests: crash.requests,
                with: crash.with.into_iter().collect(),
                trial: crash.trial,
            }
        });
        self.crashes = published.collect();
        let own = before.into_iter().filter(|crash| crash.index.is_none());
        let own: Vec<Crash> = own
            .filter(|crash| self.crash(&crash.lost).is_none())
            .collect();
        self.crashes.extend(own);
        let newest = self.crashes.iter().map(|crash| crash.at).max();
        self.at = newest.unwrap_or(now);
    }

    /// Returns the index of the newest log entry with a published crash.
    pub(super) fn newest(&self) -> u64 {
        let indexes = self.crashes.iter().filter_map(|crash| crash.index);
        indexes.max().unwrap_or(0)
    }

    /// Expects a complete view to name the section if control still holds crashes against it.
    pub(super) fn begin_view(&mut self) {
        self.stale = true;
    }

    /// Drops what control published if a complete view has not named the section.
    pub(super) fn end_view(&mut self) {
        if std::mem::take(&mut self.stale) {
            self.crashes.retain(|crash| crash.index.is_none());
        }
    }

    /// Drops crashes of this host's own whose commit was given up.
    pub(super) fn expire_own(&mut self, now: Time) {
        let pending = |crash: &Crash| crash.index.is_some() || now < crash.at + COMMIT_TIMEOUT;
        self.crashes.retain(pending);
    }
}
