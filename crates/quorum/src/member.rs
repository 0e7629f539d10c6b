//! Who belongs to a group, and what a quorum of it is.

use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Index, MemberId, Peer};

/// Whether a member counts in quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Receives the log and does not count.
    Learner,
    /// Votes and counts in quorums.
    Voter,
}

/// One member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The life of its disk that was admitted.
    pub incarnation: Incarnation,
    /// Whether it counts in quorums.
    pub standing: Standing,
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Membership(BTreeMap<MemberId, Member>);

impl Membership {
    /// A group of voters.
    #[must_use]
    pub fn of(voters: &[Peer]) -> Self {
        let standing = Standing::Voter;
        let member = |peer: &Peer| Member {
            incarnation: peer.incarnation,
            standing,
        };
        Self(voters.iter().map(|peer| (peer.id, member(peer))).collect())
    }

    /// The same group with one more member, or with another standing of that member.
    #[must_use]
    pub fn with(&self, peer: Peer, standing: Standing) -> Self {
        let mut next = self.clone();
        next.insert(
            peer.id,
            Member {
                incarnation: peer.incarnation,
                standing,
            },
        );
        next
    }

    /// The same group without a member.
    #[must_use]
    pub fn without(&self, id: MemberId) -> Self {
        let mut next = self.clone();
        next.remove(&id);
        next
    }

    /// The members that count in quorums.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.iter()
            .filter(|(_, member)| member.standing == Standing::Voter)
            .map(|(id, _)| *id)
    }

    /// How many voters make a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the member counts in quorums under any incarnation.
    #[must_use]
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.get(&id)
            .is_some_and(|member| member.standing == Standing::Voter)
    }

    /// Whether this life of the member's disk was admitted.
    #[must_use]
    pub fn admits(&self, peer: Peer) -> bool {
        self.get(&peer.id)
            .is_some_and(|member| member.incarnation == peer.incarnation)
    }

    /// The peer of a member.
    #[must_use]
    pub fn peer(&self, id: MemberId) -> Option<Peer> {
        self.get(&id).map(|member| Peer {
            id,
            incarnation: member.incarnation,
        })
    }

    /// The largest value that a quorum of the voters has reached.
    pub(crate) fn reached<T: Ord>(&self, value: impl Fn(MemberId) -> T) -> Option<T> {
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

/// The memberships that the log sets, each in force from the entry that holds it.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    set: Vec<(Index, Membership)>,
    /// In force before any is set.
    none: Membership,
}

impl History {
    /// Adds the membership that the entry at `index` sets.
    pub(crate) fn push(&mut self, index: Index, membership: Membership) {
        self.set.push((index, membership));
    }

    /// Forgets memberships at and after `index`.
    pub(crate) fn truncate(&mut self, index: Index) {
        self.set.retain(|(at, _)| *at < index);
    }

    /// Forgets memberships that none of the entries from `index` on needs.
    pub(crate) fn compact(&mut self, index: Index) {
        let keep = self
            .set
            .iter()
            .rposition(|(at, _)| *at <= index)
            .unwrap_or(0);
        self.set.drain(..keep);
    }

    /// The membership in force after the entry at `index`.
    pub(crate) fn at(&self, index: Index) -> Membership {
        let found = self.set.iter().rfind(|(at, _)| *at <= index);
        found
            .map(|(_, membership)| membership.clone())
            .unwrap_or_default()
    }

    /// The index of the latest membership.
    pub(crate) fn latest_index(&self) -> Index {
        self.set.last().map_or(0, |(at, _)| *at)
    }

    /// The membership in force.
    pub(crate) fn latest(&self) -> &Membership {
        self.set
            .last()
            .map_or(&self.none, |(_, membership)| membership)
    }
}
