//! The waiting requests of one class in a lane, by team.

use std::collections::btree_set::Iter;
use std::collections::{BTreeMap, BTreeSet};
use std::iter::Peekable;

use cornelhitch_types::id::Time;

use super::Rank;
use crate::event::CallId;
use crate::fair_share::FairShares;

/// The deadline of a request, its number and its cost.
type Position = (Time, CallId, u64);

/// The waiting requests of one team.
#[derive(Debug, Default)]
struct TeamQueue {
    /// In order of deadline.
    requests: BTreeSet<Position>,
    /// The sum of their costs.
    cost: u64,
}

/// The waiting requests of one class in a lane.
#[derive(Debug, Default)]
pub(super) struct Class {
    /// The virtual time of the class's next turn.
    pub(super) turn: f64,
    teams: BTreeMap<u64, TeamQueue>,
}

impl Class {
    /// Adds a request. Returns whether it is new.
    pub(super) fn insert(&mut self, rank: Rank, id: CallId) -> bool {
        let team = self.teams.entry(rank.flow.team).or_default();
        let is_new = team.requests.insert(position(rank, id));
        if is_new {
            team.cost = team.cost.saturating_add(rank.flow.cost);
        }
        is_new
    }

    /// Removes a request. Returns whether it was there.
    pub(super) fn remove(&mut self, rank: Rank, id: CallId) -> bool {
        let Some(team) = self.teams.get_mut(&rank.flow.team) else {
            return false;
        };
        let was_there = team.requests.remove(&position(rank, id));
        if was_there {
            team.cost = team.cost.saturating_sub(rank.flow.cost);
        }
        if team.requests.is_empty() {
            self.teams.remove(&rank.flow.team);
        }
        was_there
    }

    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.teams.values().map(|team| team.requests.len()).sum()
    }

    /// Returns the request that goes last: the one with the latest deadline of the team whose
    /// requests end last in virtual time.
    pub(super) fn last(&self, shares: &FairShares) -> Option<CallId> {
        let lasts = self.teams.iter().filter_map(|(number, team)| {
            let (deadline, id, _) = team.requests.last()?;
            let end = shares.start(*number).saturating_add(team.cost);
            Some((end, *deadline, *id))
        });
        lasts.max().map(|(_, _, id)| id)
    }

    /// Returns how many requests of the same team have earlier deadlines.
    pub(super) fn count_before_in_team(&self, rank: Rank) -> usize {
        let team = self.teams.get(&rank.flow.team);
        let first = (rank.deadline, 0, 0);
        team.map_or(0, |team| team.requests.range(..first).count())
    }

    /// Returns how many requests would go before a new one if no others arrived.
    pub(super) fn count_before(&self, rank: Rank, shares: &FairShares) -> usize {
        let own = self.teams.get(&rank.flow.team);
        let own = own.into_iter().flat_map(|team| {
            let first = (rank.deadline, 0, 0);
            team.requests.range(..first).map(|(_, _, cost)| *cost)
        });
        let (own, cost) = own.fold((0, 0_u64), |(count, sum), cost| {
            (count + 1, sum.saturating_add(cost))
        });
        let start = shares.start(rank.flow.team).saturating_add(cost);
        let others = self.teams.iter();
        let others = others.filter(|(number, _)| **number != rank.flow.team);
        let others = others.map(|(number, team)| {
            let count = team.requests.len();
            let mean = (team.cost / u64::try_from(count).unwrap_or(u64::MAX).max(1)).max(1);
            let ahead = start.saturating_sub(shares.start(*number));
            usize::try_from(ahead.div_ceil(mean)).map_or(count, |ahead| ahead.min(count))
        });
        own + others.sum::<usize>()
    }

    /// Iterates over the requests in the order in which they go.
    pub(super) fn order(&self, shares: &FairShares) -> ClassOrder<'_> {
        let teams = self.teams.iter().map(|(number, team)| TeamCursor {
            start: shares.start(*number),
            requests: team.requests.iter().peekable(),
        });
        ClassOrder {
            teams: teams.collect(),
        }
    }
}

/// Returns the position of a request among those of its team.
fn position(rank: Rank, id: CallId) -> Position {
    (rank.deadline, id, rank.flow.cost)
}

/// Iteration state of one team.
struct TeamCursor<'a> {
    /// The virtual time of its next request.
    start: u64,
    requests: Peekable<Iter<'a, Position>>,
}

/// Iterator over the requests of a class: the team with the earliest virtual time goes first, and of
/// several the one with the earliest deadline.
pub(super) struct ClassOrder<'a> {
    teams: Vec<TeamCursor<'a>>,
}

impl Iterator for ClassOrder<'_> {
    type Item = CallId;

    fn next(&mut self) -> Option<CallId> {
        let heads = self.teams.iter_mut().filter_map(|team| {
            let head = **team.requests.peek()?;
            Some((team.start, head, team))
        });
        let (_, (_, id, cost), team) = heads.min_by_key(|(start, head, _)| (*start, *head))?;
        team.start = team.start.saturating_add(cost);
        team.requests.next();
        Some(id)
    }
}
