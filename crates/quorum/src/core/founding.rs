//! Founding of a group: the members that the settings name as founders elect its first leader.
//!
//! Until the first entry of the log is known to be committed, a member has no lineage, and the
//! founders are the configuration in force (joint consensus, Ongaro's thesis §4.3): elections and
//! commits need a majority of the founders, and a quorum of the membership that the first entry sets
//! besides. A founder whose disk was lost takes no part, since it forgot its votes.

use std::collections::BTreeMap;

use super::Core;
use crate::config::{Config, Fault};
use crate::id::{Incarnation, Index, MemberId, Peer, Time};
use crate::log::{Entry, Payload};
use crate::member::{MemberKind, Membership};
use crate::status::Role;
use crate::store::{HardState, Recovered};

/// Number of election timeouts from a member's start for which a founding waits for all founders,
/// and is left to the founder with the lowest ID.
const FOUNDING_WAIT_ELECTION_TIMEOUTS: u32 = 2;

/// What a member knows of the founding of its group.
#[derive(Debug)]
pub(super) struct Founding {
    /// Whether this member takes part: it belongs to no group, and its disk is either empty and not
    /// the successor of a lost one, or shows that it took part before.
    pub(super) takes_part: bool,
    /// Until then the founding waits for all founders, and is left to the one with the lowest ID.
    deadline: Time,
    /// The founders that take part, with their storage incarnations.
    heard: BTreeMap<MemberId, Incarnation>,
    /// The lineage in the latest message of a leader.
    pub(super) leader_lineage: Incarnation,
}

impl Founding {
    pub(super) fn new(config: &Config, recovered: &Recovered, now: Time) -> Self {
        let me = recovered.identity.peer.id;
        let outside = recovered.hard_state.lineage == 0 && recovered.snapshot.is_none();
        let took_part = recovered.hard_state.term > 0 || !recovered.entries.is_empty();
        let may_take_part = config.may_bootstrap || config.fault == Some(Fault::ForgottenVotes);
        let is_founder = config.founders.contains(&me);
        Self {
            takes_part: is_founder && outside && (took_part || may_take_part),
            deadline: now + config.election_timeout * FOUNDING_WAIT_ELECTION_TIMEOUTS,
            heard: BTreeMap::new(),
            leader_lineage: 0,
        }
    }
}

/// Returns the lineage of the log that begins with `first`: the latest incarnation among its members.
/// Only one first entry is ever committed by these.
fn lineage_of(first: &Entry) -> Incarnation {
    let Payload::Membership(members) = &first.payload else {
        return 1;
    };
    let incarnations = members.values().map(|member| member.incarnation);
    incarnations.max().unwrap_or_default().max(1)
}

impl Core {
    /// Whether the founders are the configuration in force for this member: it takes part in the
    /// founding and does not know of a committed entry.
    pub(super) fn is_founding(&self) -> bool {
        self.founding.takes_part && self.hard_state.lineage == 0
    }

    /// Whether this member belongs to no group and takes no part in the founding of one.
    pub(super) fn is_outside(&self) -> bool {
        self.hard_state.lineage == 0 && !self.founding.takes_part
    }

    /// Whether this member is a founder without any entry.
    pub(super) fn is_founder_without_log(&self) -> bool {
        self.is_founding() && self.log.last() == 0
    }

    /// Whether this member may campaign now without any entry.
    pub(super) fn may_found(&self) -> bool {
        let is_lowest = self.config.founders.first() == Some(&self.me().id);
        let is_its_turn = is_lowest || self.now >= self.founding.deadline;
        self.is_founder_without_log() && is_its_turn && !self.writes.is_unhealthy()
    }

    /// The number of founders that form a majority.
    fn founders_quorum(&self) -> usize {
        if self.has_fault(Fault::FoundByMinority) {
            return 1;
        }
        self.config.founders.len() / 2 + 1
    }

    /// Whether the votes received are enough as far as the founders are concerned.
    pub(super) fn have_founders_voted(&self) -> bool {
        let founders = &self.config.founders;
        let votes = founders.intersection(&self.votes).count();
        let waits_for_all = self.role == Role::PreCandidate
            && self.log.last() == 0
            && self.now < self.founding.deadline;
        if waits_for_all {
            votes == founders.len()
        } else {
            votes >= self.founders_quorum()
        }
    }

    /// The founders besides this member that the membership does not name.
    pub(super) fn founders_outside(&self) -> Vec<MemberId> {
        if !self.is_founding() {
            return Vec::new();
        }
        let (me, members) = (self.me().id, self.membership());
        let is_outside = |id: &MemberId| *id != me && !members.contains_key(id);
        let founders = self.config.founders.iter().copied();
        founders.filter(is_outside).collect()
    }

    /// Whether a vote of this peer counts as that of a founder.
    pub(super) fn is_founder_outside(&self, peer: Peer) -> bool {
        let is_founder = self.config.founders.contains(&peer.id);
        self.is_founding() && is_founder && !self.membership().contains_key(&peer.id)
    }

    /// Notes the incarnation of a founder that takes part, as a message of an election shows. A leader
    /// replicates to it, so that a majority of the founders can commit the first entry.
    pub(super) fn note_founder(&mut self, from: Peer, lineage: Incarnation) {
        let is_founder = self.config.founders.contains(&from.id);
        if !self.is_founding() || !is_founder || lineage != 0 {
            return;
        }
        let known = self.founding.heard.insert(from.id, from.incarnation);
        if self.role == Role::Leader && known != Some(from.incarnation) {
            self.update_tracked_members();
        }
    }

    /// The members that a leader replicates to: those of the group, and until the first entry is
    /// committed all founders that take part.
    pub(super) fn tracked_members(&self) -> Membership {
        let mut tracked = self.membership().clone();
        for (id, incarnation) in &self.founding.heard {
            let founder = Peer {
                id: *id,
                incarnation: *incarnation,
            };
            if self.is_founder_outside(founder) {
                tracked = tracked.with(founder, MemberKind::Learner);
            }
        }
        tracked
    }

    /// The membership of a new group: the founders that take part.
    pub(super) fn first_membership(&self) -> Membership {
        let heard = self.founding.heard.iter();
        let peer = |(id, incarnation): (&MemberId, &Incarnation)| Peer {
            id: *id,
            incarnation: *incarnation,
        };
        let peers: Vec<Peer> = heard.map(peer).chain([self.me()]).collect();
        Membership::of(&peers)
    }

    /// Returns the last index that a majority of the founders has synced.
    pub(super) fn founders_value(&self, durable: impl Fn(MemberId) -> Index) -> Index {
        let founders = self.config.founders.iter().copied();
        let mut values: Vec<Index> = founders.map(durable).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let at = self.founders_quorum() - 1;
        values.get(at).copied().unwrap_or_default()
    }

    /// Ends the founding on a leader that has committed the first entry.
    pub(super) fn end_founding(&mut self) {
        if !self.is_founding() || self.commit == 0 {
            return;
        }
        if let Some(first) = self.log.entry(1) {
            let lineage = lineage_of(first);
            self.join_lineage(lineage);
            self.update_tracked_members();
        }
    }

    /// Notes that the log is that of a group with committed entries.
    pub(super) fn join_lineage(&mut self, lineage: Incarnation) {
        if self.hard_state.lineage == 0 && lineage != 0 {
            self.set_hard_state(HardState {
                lineage,
                ..self.hard_state
            });
        }
    }
}
