//! Group membership and quorums.

use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Index, MemberId, Peer};

/// Whether a member counts towards quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberKind {
    /// Receives the log but does not vote or count towards quorums.
    Learner,
    /// Votes and counts towards quorums.
    Voter,
}

/// An entry of a [`Membership`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The admitted storage incarnation.
    pub incarnation: Incarnation,
    /// Whether the member is a learner or a voter.
    #[serde(rename = "standing")]
    pub kind: MemberKind,
}

/// The members of a group, by ID.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Membership(BTreeMap<MemberId, Member>);

impl Membership {
    /// Creates a membership in which all `voters` are voters.
    #[must_use]
    pub fn of(voters: &[Peer]) -> Self {
        let kind = MemberKind::Voter;
        let member = |peer: &Peer| Member {
            incarnation: peer.incarnation,
            kind,
        };
        Self(voters.iter().map(|peer| (peer.id, member(peer))).collect())
    }

    /// Returns a copy with `peer` added, or changed to `kind` if already a member.
    #[must_use]
    pub fn with(&self, peer: Peer, kind: MemberKind) -> Self {
        let mut next = self.clone();
        next.insert(
            peer.id,
            Member {
                incarnation: peer.incarnation,
                kind,
            },
        );
        next
    }

    /// Returns a copy without a member.
    #[must_use]
    pub fn without(&self, id: MemberId) -> Self {
        let mut next = self.clone();
        next.remove(&id);
        next
    }

    /// The voters, in ID order.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.iter()
            .filter(|(_, member)| member.kind == MemberKind::Voter)
            .map(|(id, _)| *id)
    }

    /// The number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the member is a voter, under any incarnation.
    #[must_use]
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.get(&id)
            .is_some_and(|member| member.kind == MemberKind::Voter)
    }

    /// Whether the member belongs to the group under exactly this incarnation.
    #[must_use]
    pub fn admits(&self, peer: Peer) -> bool {
        self.get(&peer.id)
            .is_some_and(|member| member.incarnation == peer.incarnation)
    }

    /// The member with its admitted incarnation; `None` if it is not in the group.
    #[must_use]
    pub fn peer(&self, id: MemberId) -> Option<Peer> {
        self.get(&id).map(|member| Peer {
            id,
            incarnation: member.incarnation,
        })
    }

    /// Returns the largest value that at least a quorum of the voters has reached.
    pub(crate) fn quorum_value<T: Ord>(&self, value: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.quorum() - 1)
    }
}

impl Deref for Membership {
    type Target = BTreeMap<MemberId, Member>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl DerefMut for Membership {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}

/// The memberships set by log entries. Each takes effect as soon as its entry is in the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct MembershipHistory {
    changes: Vec<(Index, Membership)>,
    /// In effect before any membership is set.
    empty: Membership,
}

impl MembershipHistory {
    /// Records the membership set by the entry at `index`.
    pub(crate) fn push(&mut self, index: Index, membership: Membership) {
        self.changes.push((index, membership));
    }

    /// Removes the memberships set at or after `index`.
    pub(crate) fn truncate(&mut self, index: Index) {
        self.changes.retain(|(at, _)| *at < index);
    }

    /// Removes the memberships that were superseded at or before `index`.
    pub(crate) fn compact(&mut self, index: Index) {
        let keep = self
            .changes
            .iter()
            .rposition(|(at, _)| *at <= index)
            .unwrap_or(0);
        self.changes.drain(..keep);
    }

    /// Returns the membership in effect as of the entry at `index`.
    pub(crate) fn at(&self, index: Index) -> Membership {
        let found = self.changes.iter().rfind(|(at, _)| *at <= index);
        found
            .map(|(_, membership)| membership.clone())
            .unwrap_or_default()
    }

    /// Returns the index of the entry that set the latest membership, or 0.
    pub(crate) fn latest_index(&self) -> Index {
        self.changes.last().map_or(0, |(at, _)| *at)
    }

    /// Returns the latest membership, committed or not.
    pub(crate) fn latest(&self) -> &Membership {
        self.changes
            .last()
            .map_or(&self.empty, |(_, membership)| membership)
    }
}
