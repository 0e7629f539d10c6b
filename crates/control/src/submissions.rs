//! Route tables that operators have submitted and that wait to be committed.
//!
//! A table that is not newer than the one in force, or than one that is being committed, changes nothing
//! and takes no place in the log. Operators repeat what was not answered, so without this a group that
//! cannot commit would gather copies of one table.

use std::collections::BTreeSet;

use cornelhitch_types::id::Version;

/// What to do with a table that an operator has submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step<W> {
    /// Answer the operator: this or a newer table is committed.
    Acknowledge(W),
    /// Keep the operator waiting: this or a newer table is being committed.
    Wait,
    /// Propose the table, and keep the operator waiting.
    Propose,
}

/// The submitted tables that wait, with `W` to answer each operator.
///
/// ```
/// use cornelhitch_control::submissions::{Step, Submissions};
///
/// let mut submissions = Submissions::default();
/// assert_eq!(submissions.submit(8, Some(7), "ann"), Step::Propose);
/// assert_eq!(submissions.submit(8, Some(7), "ann again"), Step::Wait);
/// assert_eq!(submissions.committed(8), ["ann", "ann again"]);
/// assert_eq!(submissions.submit(8, Some(8), "bob"), Step::Acknowledge("bob"));
/// ```
#[derive(Debug)]
pub struct Submissions<W> {
    /// The versions that this host has proposed and that are neither committed nor given up.
    proposed: BTreeSet<Version>,
    waiting: Vec<(Version, W)>,
}

impl<W> Default for Submissions<W> {
    fn default() -> Self {
        Self {
            proposed: BTreeSet::new(),
            waiting: Vec::new(),
        }
    }
}

impl<W> Submissions<W> {
    /// Decides about a table while the one of version `in_force`, if any, is in force.
    pub fn submit(&mut self, version: Version, in_force: Option<Version>, waiter: W) -> Step<W> {
        if in_force.is_some_and(|in_force| version <= in_force) {
            return Step::Acknowledge(waiter);
        }
        self.waiting.push((version, waiter));
        let newest = self.proposed.last();
        if newest.is_some_and(|newest| version <= *newest) {
            return Step::Wait;
        }
        self.proposed.insert(version);
        Step::Propose
    }

    /// Records that the table of version `in_force` is committed; returns the waiters to answer.
    pub fn committed(&mut self, in_force: Version) -> Vec<W> {
        self.proposed.retain(|version| *version > in_force);
        self.take(|version| version <= in_force)
    }

    /// Records that the proposal of a version has failed, or that its outcome was lost; returns the
    /// waiters that no other proposal serves.
    pub fn failed(&mut self, version: Version) -> Vec<W> {
        self.proposed.remove(&version);
        let newest = self.proposed.last().copied();
        self.take(|version| newest.is_none_or(|newest| version > newest))
    }

    /// Records that this host no longer leads, so that its proposals may be lost without a word. Their
    /// waiters stay: the next leader may commit them.
    pub fn leadership_lost(&mut self) {
        self.proposed.clear();
    }

    /// Drops waiters for which a predicate is false.
    pub fn retain(&mut self, mut keep: impl FnMut(&W) -> bool) {
        self.waiting.retain(|(_, waiter)| keep(waiter));
    }

    /// Takes the waiters whose version meets a condition.
    fn take(&mut self, mut is_meant: impl FnMut(Version) -> bool) -> Vec<W> {
        let taken = self
            .waiting
            .extract_if(.., |(version, _)| is_meant(*version));
        taken.map(|(_, waiter)| waiter).collect()
    }
}
