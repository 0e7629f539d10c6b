//! Finds the part of a request that ends each target that answers it: a section of its prompt, or
//! all that it asks for, whoever sends it.
//!
//! Every target that ends counts against all parts that were in progress on it, and a complete
//! answer clears the earlier crashes of its parts: this is group testing (Dorfman, 1943), with the
//! parts of a request as the pool. Requests with a part that explains the crashes are refused. Some
//! time after, a single request is admitted as a trial, by one entry host, so that its answer can
//! clear a part that ended nothing. What follows says section for either kind of part.

mod answered;
mod events;
mod record;
mod verdict;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_types::id::Time;
use cornelhitch_types::view::SectionCrash;
use serde::{Deserialize, Serialize};

use self::answered::Answered;
use self::record::Record;
use self::verdict::Refused;
use crate::dump::SectionStrikes;
use crate::quarantine::TargetInstance;

/// Maximum number of sections with crashes that are kept; those with the fewest are dropped first.
const MAX_RECORDS: usize = 1_000;

/// Crashes beyond the limit at which a section is refused that was answered lately.
const FURTHER_CRASHES: u32 = 2;

/// Waits after the last crash of a section until it is tried, by the number of trials that ended
/// their targets. After the last of them it is refused until its crashes expire.
const TRIAL_WAITS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(4),
    Duration::from_secs(30),
];

/// Additional wait for each further section with crashes in a request, so that requests with fewer
/// are tried first.
const FURTHER_SECTION_WAIT: Duration = Duration::from_millis(300);

/// Time over which the hosts spread their first questions for a trial. The leader grants one trial at
/// a time, so their order matters only for the number of questions that it gets at once.
const TURN_SPREAD: Duration = Duration::from_millis(300);

/// How long after a denied trial a host asks for another one at the earliest.
const DENIED_WAIT: Duration = Duration::from_millis(500);

/// How long the outcome of a trial is waited for before another one may begin.
pub const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// How long after it was asked for a trial may be sent.
pub(crate) const TRIAL_SEND_TIME: Duration = Duration::from_secs(2);

/// The parts of a request by which ends of targets are counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Parts<'a> {
    /// What the whole request asks for, whoever sends it.
    pub content: Option<u64>,
    /// The sections of its prompt that others may have in common.
    pub sections: &'a [u64],
}

impl Parts<'_> {
    /// Whether the request has a part.
    fn holds(self, part: u64) -> bool {
        self.content == Some(part) || self.sections.contains(&part)
    }
}

impl<'a> From<&'a [u64]> for Parts<'a> {
    fn from(sections: &'a [u64]) -> Self {
        let content = None;
        Self { content, sections }
    }
}

impl<'a, const N: usize> From<&'a [u64; N]> for Parts<'a> {
    fn from(sections: &'a [u64; N]) -> Self {
        Self::from(&sections[..])
    }
}

/// Whether the sections of a prompt allow a request to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It runs.
    Run,
    /// It runs once, as a trial of these sections.
    Try(Vec<u64>),
    /// It is refused for this section.
    Refuse(u64),
}

/// The place of an entry host among those that take turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// The host's position in the order of the hosts' numbers.
    pub position: usize,
    /// Number of hosts.
    pub hosts: usize,
}

impl Turn {
    /// Returns how much later than the first host this one may begin a trial. Each crash begins
    /// another round, in which another host is the first.
    fn delay(self, round: u64) -> Duration {
        let hosts = u32::try_from(self.hosts.max(1)).unwrap_or(u32::MAX);
        let place = (self.position as u64 + round) % u64::from(hosts);
        let place = u32::try_from(place).unwrap_or(u32::MAX);
        TURN_SPREAD.mul_f64(f64::from(place) / f64::from(hosts))
    }
}

/// Returns the wait before a section is tried after some trials that ended their targets; the first
/// trial of one whose crashes others explain needs none.
fn trial_wait(trials: usize, excused: bool) -> Option<Duration> {
    if excused && trials == 0 {
        return Some(Duration::ZERO);
    }
    TRIAL_WAITS.get(trials).copied()
}

/// What a host knew of crashes when it sent a request; a complete answer clears these alone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// Index of the newest log entry whose crashes were published.
    pub index: u64,
    /// The time.
    pub at: Time,
}

/// What the end of a target tells of the prompt of a request that ran on it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The shared sections of the prompt, one of which may have ended the target.
    pub sections: Vec<u64>,
    /// The sections that it was sent to try.
    pub tried: Vec<u64>,
}

/// Crashes by prompt section.
#[derive(Debug, Default, Serialize)]
pub struct Suspects {
    /// Number of crashes that refuse a section.
    limit: u32,
    records: BTreeMap<u64, Record>,
    /// Sections that were answered; they are refused at more crashes.
    #[serde(skip)]
    answered: Answered,
    /// The refused sections.
    #[serde(skip)]
    refused: Vec<Refused>,
    /// Index of the newest log entry whose crashes were published.
    newest: u64,
    /// Until when this host asks for no other trial; a crash that is published ends the wait.
    waits_until: Option<Time>,
    /// Whether a complete view is being applied.
    #[serde(skip)]
    in_complete_view: bool,
}

impl Suspects {
    /// Creates an empty state that refuses sections at a number of crashes.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Returns what is known now, to be kept with a request that is sent.
    #[must_use]
    pub fn knowledge(&self, now: Time) -> Knowledge {
        Knowledge {
            index: self.newest,
            at: now,
        }
    }

    /// Decides whether a request runs. If its sections are refused, it runs only as a trial in this
    /// host's turn, which is recorded.
    pub fn judge(&mut self, parts: Parts, turn: Option<Turn>, now: Time) -> Verdict {
        let Some(first) = self.refused_for(parts) else {
            return Verdict::Run;
        };
        let waits = self.waits_until.is_some_and(|until| now < until);
        let due = turn.and_then(|turn| {
            let due = self.trial_due(parts)?;
            Some(due + turn.delay(self.newest))
        });
        if waits || due.is_none_or(|due| now < due) {
            return Verdict::Refuse(first);
        }
        self.waits_until = Some(now + TRIAL_TIMEOUT);
        let tried = self.tried_by(parts);
        let tried = tried.into_iter().flat_map(|set| set.sections);
        let tried: BTreeSet<u64> = tried.collect();
        Verdict::Try(tried.into_iter().collect())
    }

    /// Records that control denied the trial that this host asked for last: another one runs.
    pub fn trial_denied(&mut self, now: Time) {
        self.waits_until = Some(now + DENIED_WAIT);
    }

    /// Returns the refused sets that a request would try: those that explain crashes, or if it holds
    /// none of these, those that others explain. If its target ends, nothing more is known of
    /// those that were explained before.
    fn tried_by(&self, parts: Parts) -> Vec<Refused> {
        let mut sets = self.refused_in(parts);
        if sets.iter().any(|set| !set.excused) {
            sets.retain(|set| !set.excused);
        }
        sets
    }

    /// Returns the refused sets that a request holds. What a whole request asks for is refused at the
    /// limit also where others explain its crashes: it can be told from all that is sound.
    fn refused_in(&self, parts: Parts) -> Vec<Refused> {
        let is_held = |part: &u64| parts.holds(*part);
        let sets = self.refused.iter();
        let held = sets.filter(|set| set.sections.iter().all(is_held));
        let mut held: Vec<Refused> = held.cloned().collect();
        if let Some(content) = parts.content
            && let Some(record) = self.records.get(&content)
            && record.crashes.len() >= self.limit as usize
            && !held.iter().any(|set| set.sections == [content])
        {
            held.push(Refused {
                sections: vec![content],
                excused: true,
            });
        }
        held
    }

    /// Returns when a request may be sent to try its refused sections; `None` if one of them was
    /// tried often enough.
    fn trial_due(&self, parts: Parts) -> Option<Time> {
        let suspected = parts.content.iter().chain(parts.sections);
        let suspected = suspected.filter(|part| self.records.contains_key(part));
        let further = u32::try_from(suspected.count()).unwrap_or(u32::MAX);
        let further = FURTHER_SECTION_WAIT.saturating_mul(further.saturating_sub(1));
        let mut latest = Time::ZERO;
        for set in self.tried_by(parts) {
            for section in &set.sections {
                let record = self.records.get(section)?;
                let wait = trial_wait(record.trials(), set.excused)?;
                latest = latest.max(record.at + wait + further);
            }
        }
        Some(latest)
    }

    /// Returns a section for which a request is refused outside a trial.
    #[must_use]
    pub fn refused_for(&self, parts: Parts) -> Option<u64> {
        let sets = self.refused_in(parts);
        sets.first()?.sections.first().copied()
    }

    /// Whether this host has answered all sections lately for which a request is refused outside a
    /// trial. Answers to what a whole request asks for are not remembered.
    #[must_use]
    pub fn are_refused_answered(&self, parts: Parts, now: Time) -> bool {
        let sets = self.refused_in(parts);
        let mut refused = sets.iter().flat_map(|set| &set.sections);
        refused.all(|section| self.answered.contains(*section, now))
    }

    /// Records a target that ended with a request's sections in progress.
    pub fn strike(&mut self, suspicion: &Suspicion, instance: &TargetInstance, now: Time) {
        for section in &suspicion.sections {
            let record = self.records.entry(*section).or_default();
            record.strike(*section, suspicion, instance, now);
        }
        self.drop_oldest();
        self.update(now);
    }

    /// Whether any part has crashes.
    #[must_use]
    pub fn has_crashes(&self) -> bool {
        !self.records.is_empty()
    }

    /// Records parts whose runs here have delivered for some time: a single event is then taken to
    /// have a common cause.
    pub fn record_witnessed(&mut self, parts: &BTreeSet<u64>, now: Time) {
        for (part, record) in &mut self.records {
            record.witnessed |= parts.contains(part) || self.answered.is_fresh(*part, now);
        }
        self.update(now);
    }

    /// Clears the crashes that a complete answer disproves: those that were known when its request was
    /// sent, and events with a common cause that it outlasted. Returns the sections that control has
    /// to clear, by the index up to which.
    pub fn acquit(
        &mut self,
        sections: &[u64],
        known: Knowledge,
        now: Time,
    ) -> BTreeMap<u64, Vec<u64>> {
        let mut cleared: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        let mut changed = false;
        for section in sections {
            if let Some(record) = self.records.get(section) {
                changed = true;
                let known = events::outlasted(&record.crashes, known, now);
                if self.disprove(*section, known) {
                    cleared.entry(known.index).or_default().push(*section);
                }
            }
            if !self.records.contains_key(section) {
                self.answered.record(*section, now);
            }
        }
        if changed {
            self.update(now);
        }
        cleared
    }

    /// Clears the crashes of what a whole request asks for that its complete answer disproves;
    /// returns whether control has to clear some. Answers are not remembered: most contents come once.
    pub fn acquit_content(&mut self, content: u64, known: Knowledge, now: Time) -> bool {
        if !self.records.contains_key(&content) {
            return false;
        }
        let cleared = self.disprove(content, known);
        self.update(now);
        cleared
    }

    /// Removes the crashes of a part that were known at a given point; returns whether control has
    /// to clear some.
    fn disprove(&mut self, part: u64, known: Knowledge) -> bool {
        let Some(record) = self.records.get_mut(&part) else {
            return false;
        };
        let published = record.acquit(known);
        if record.crashes.is_empty() {
            self.records.remove(&part);
        }
        published
    }

    /// Applies the crashes of a section that control published; none means that they are cleared.
    /// [`Suspects::update`] has to follow the last one of a view.
    pub fn set_published(&mut self, section: u64, crashes: Vec<SectionCrash>, now: Time) {
        let record = self.records.entry(section).or_default();
        record.set_published(crashes, self.in_complete_view, now);
        if record.newest() > self.newest {
            self.newest = record.newest();
            self.waits_until = None;
        }
        if record.crashes.is_empty() {
            self.records.remove(&section);
        }
        self.drop_oldest();
    }

    /// Decides anew which sections are refused.
    ///
    /// A section that was answered lately has probably been on targets that ended for another reason,
    /// and is cleared by its next answer unless it has turned bad.
    pub fn update(&mut self, now: Time) {
        let limit = |section| {
            let further = if self.answered.contains(section, now) {
                FURTHER_CRASHES
            } else {
                0
            };
            self.limit.saturating_add(further) as usize
        };
        self.refused = verdict::refused_sets(&self.records, limit, now);
    }

    /// Expects a complete view to name all sections with crashes.
    pub fn begin_view(&mut self) {
        self.in_complete_view = true;
        for record in self.records.values_mut() {
            record.begin_view();
        }
    }

    /// Drops what a complete view has not named. Of what this host observed itself, only crashes
    /// that may not be committed yet are kept.
    pub fn end_view(&mut self, now: Time) {
        self.in_complete_view = false;
        for record in self.records.values_mut() {
            record.end_view();
        }
        self.expire_own(now);
    }

    /// Drops crashes that are older than `kept`, and those of this host's own that control never
    /// published.
    pub fn expire(&mut self, kept: Duration, now: Time) {
        self.records.retain(|_, record| record.at + kept > now);
        self.expire_own(now);
    }

    /// Drops crashes of this host's own whose commit was given up.
    fn expire_own(&mut self, now: Time) {
        for record in self.records.values_mut() {
            record.expire_own(now);
        }
        self.records.retain(|_, record| !record.crashes.is_empty());
        self.update(now);
    }

    /// Returns the time until the next decision about a refused request: until it may be tried, or
    /// if its parts were tried often enough, until their crashes expire; these are kept for `kept`.
    /// While a trial runs, its outcome is due within the wait after a denied trial.
    #[must_use]
    pub fn time_to_decision(&self, parts: Parts, kept: Duration, now: Time) -> Duration {
        let due = self.trial_due(parts).unwrap_or_else(|| {
            let sets = self.tried_by(parts);
            let tried = sets.iter().flat_map(|set| &set.sections);
            let records = tried.filter_map(|section| self.records.get(section));
            let last = records.map(|record| record.at).max();
            last.map_or(now, |last| last + kept)
        });
        let due = due.saturating_sub(now);
        if due.is_zero() { DENIED_WAIT } else { due }
    }

    /// Whether requests are refused for a section.
    fn refuses(&self, section: u64) -> bool {
        let mut sets = self.refused.iter();
        sets.any(|set| set.sections.contains(&section))
    }

    /// Whether any part may be refused.
    #[must_use]
    pub fn refuses_any(&self) -> bool {
        let limit = self.limit as usize;
        let mut records = self.records.values();
        !self.refused.is_empty() || records.any(|record| record.crashes.len() >= limit)
    }

    /// Returns all sections with their targets that ended.
    #[must_use]
    pub fn list(&self) -> Vec<SectionStrikes> {
        let rows = self.records.iter();
        let rows = rows.map(|(section, record)| SectionStrikes {
            section: format!("{section:x}"),
            refused: self.refuses(*section),
            lost: record.crashes.iter().map(|it| it.lost.clone()).collect(),
        });
        rows.collect()
    }

    /// Drops the sections with the fewest crashes beyond the limit, the oldest first, as control does.
    fn drop_oldest(&mut self) {
        while self.records.len() > MAX_RECORDS {
            let records = self.records.iter();
            let oldest = records.min_by_key(|(_, record)| (record.crashes.len(), record.at));
            let Some(section) = oldest.map(|(section, _)| *section) else {
                return;
            };
            self.records.remove(&section);
        }
    }
}
