//! Single-server membership changes, one at a time (Ongaro's thesis §4).

use super::Core;
use crate::action::{Action, RejectReason};
use crate::config::Fault;
use crate::event::MembershipChange;
use crate::id::{Index, MemberId, Peer, RequestId, Time};
use crate::log::Payload;
use crate::member::{MemberKind, Membership};
use crate::status::Role;

/// A membership change in progress.
#[derive(Debug)]
pub(super) struct PendingChange {
    pub(super) id: RequestId,
    change: MembershipChange,
    since: Time,
    /// The round of catching up in progress, while a learner is promoted.
    round: Option<Round>,
}

impl PendingChange {
    pub(super) fn change(&self) -> MembershipChange {
        self.change
    }
}

/// A round in which a learner catches up with what was committed at its start (Ongaro's thesis
/// §4.2.1).
#[derive(Clone, Copy, Debug)]
struct Round {
    target: Index,
    since: Time,
}

/// The next step of a membership change.
#[derive(Debug, PartialEq, Eq)]
enum ChangeStep {
    /// The change is complete.
    Done,
    /// Append this membership to the log.
    Write(Membership),
    /// Promote the learner to voter once it has caught up.
    Promote(Peer),
    /// The change is not valid for the membership.
    Invalid,
}

impl MembershipChange {
    /// Returns the next step from `members`. Depends on the membership alone, so a repeated change
    /// resumes where the earlier one stopped.
    fn next_step(self, members: &Membership) -> ChangeStep {
        match self {
            MembershipChange::Add(peer) => add(members, peer),
            MembershipChange::Promote(id) => match members.peer(id) {
                Some(peer) => promote(members, peer),
                None => ChangeStep::Invalid,
            },
            MembershipChange::Remove(id) => remove(members, id),
            MembershipChange::Demote(id) => demote(members, id),
            MembershipChange::Readmit(peer) => readmit(members, peer),
            MembershipChange::Replace { old, new } => replace(members, old, new),
        }
    }
}

fn add(members: &Membership, peer: Peer) -> ChangeStep {
    match members.get(&peer.id) {
        None => ChangeStep::Write(members.with(peer, MemberKind::Learner)),
        Some(member) if member.incarnation == peer.incarnation => ChangeStep::Done,
        Some(_) => ChangeStep::Invalid,
    }
}

fn promote(members: &Membership, peer: Peer) -> ChangeStep {
    if members.is_voter(peer.id) {
        ChangeStep::Done
    } else {
        ChangeStep::Promote(peer)
    }
}

fn remove(members: &Membership, id: MemberId) -> ChangeStep {
    let remaining = members.without(id);
    match members.contains_key(&id) {
        false => ChangeStep::Done,
        true if remaining.voters().next().is_none() => ChangeStep::Invalid,
        true => ChangeStep::Write(remaining),
    }
}

fn demote(members: &Membership, id: MemberId) -> ChangeStep {
    match members.peer(id) {
        None => ChangeStep::Invalid,
        Some(_) if !members.is_voter(id) => ChangeStep::Done,
        Some(peer) => write_learner(members, peer),
    }
}

fn readmit(members: &Membership, peer: Peer) -> ChangeStep {
    match members.get(&peer.id) {
        None => ChangeStep::Invalid,
        Some(member) if member.incarnation == peer.incarnation => ChangeStep::Done,
        Some(_) => write_learner(members, peer),
    }
}

fn write_learner(members: &Membership, peer: Peer) -> ChangeStep {
    let changed = members.with(peer, MemberKind::Learner);
    if changed.voters().next().is_none() {
        return ChangeStep::Invalid;
    }
    ChangeStep::Write(changed)
}

/// The new member becomes a voter before the old one is removed, except when both have the same ID.
fn replace(members: &Membership, old: MemberId, new: Peer) -> ChangeStep {
    let stale = members.contains_key(&new.id) && !members.admits(new);
    if stale {
        return if old == new.id {
            remove(members, old)
        } else {
            ChangeStep::Invalid
        };
    }
    if !members.admits(new) {
        return add(members, new);
    }
    if !members.is_voter(new.id) {
        return ChangeStep::Promote(new);
    }
    if old == new.id {
        ChangeStep::Done
    } else {
        remove(members, old)
    }
}

impl Core {
    pub(super) fn on_change(&mut self, id: RequestId, change: MembershipChange) {
        if self.role != Role::Leader {
            return self.reject(id, RejectReason::NotLeader);
        }
        if self.pending_change.is_some() {
            return self.reject(id, RejectReason::Busy);
        }
        self.pending_change = Some(PendingChange {
            id,
            change,
            since: self.now,
            round: None,
        });
    }

    /// Performs the next step of the change in progress once both the previous membership and an
    /// entry of this term are committed. Without the latter, two leaders could each change a
    /// different committed membership (Ongaro, raft-dev, July 2015).
    pub(super) fn advance_change(&mut self) {
        let committed = self.membership_committed();
        if !committed && !self.has_fault(Fault::ManyChanges) {
            return;
        }
        let Some(pending) = &self.pending_change else {
            return;
        };
        let (id, since) = (pending.id, pending.since);
        match pending.change.next_step(self.membership()) {
            ChangeStep::Done => {
                self.pending_change = None;
                self.actions.push(Action::MembershipChanged { id });
            }
            ChangeStep::Invalid => {
                self.pending_change = None;
                self.reject(id, RejectReason::Invalid);
            }
            ChangeStep::Write(members) => self.append_if_quorum_responsive(id, since, members),
            ChangeStep::Promote(peer) => self.promote_if_caught_up(id, since, peer),
        }
    }

    fn membership_committed(&self) -> bool {
        self.commit >= self.term_start_index.max(self.memberships.latest_index())
    }

    /// A leader that is no voter any more steps down once that is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        if self.membership_committed() && !self.is_voter() {
            self.become_follower(self.hard_state.term);
            self.fail_unresolved_proposals(self.log.last());
        }
    }

    fn append_membership(&mut self, members: Membership) {
        self.append_entry(Payload::Membership(members));
        self.update_tracked_members();
    }

    /// Appends a membership if a quorum of its voters is responsive; otherwise keeps waiting until
    /// the catch-up timeout.
    fn append_if_quorum_responsive(&mut self, id: RequestId, since: Time, members: Membership) {
        let responsive = members
            .voters()
            .filter(|id| self.is_responsive(*id))
            .count();
        if responsive >= members.quorum() {
            return self.append_membership(members);
        }
        if self.now >= since + self.config.catch_up_timeout {
            self.pending_change = None;
            self.reject(id, RejectReason::Stalled);
        }
    }

    fn is_responsive(&self, id: MemberId) -> bool {
        let stamp = self.progress.get(&id).and_then(|progress| progress.stamp);
        let recent = stamp.is_some_and(|at| at + self.config.election_timeout > self.now);
        recent || id == self.me().id
    }

    /// Promotes a learner to voter once it has caught up within one election timeout. Entries that
    /// are committed meanwhile do not keep it waiting.
    fn promote_if_caught_up(&mut self, id: RequestId, since: Time, peer: Peer) {
        let Some(progress) = self.progress.get(&peer.id) else {
            self.pending_change = None;
            return self.reject(id, RejectReason::Invalid);
        };
        let (durable, advanced_at) = (progress.durable, progress.advanced_at.max(since));
        if self.completes_round(durable) {
            let members = self.membership().with(peer, MemberKind::Voter);
            return self.append_if_quorum_responsive(id, advanced_at, members);
        }
        if self.now >= advanced_at + self.config.catch_up_timeout {
            self.pending_change = None;
            self.reject(id, RejectReason::Stalled);
        }
    }

    /// Whether a learner that has synced the log up to `durable` has just caught up within an
    /// election timeout; begins the next round if it took longer.
    fn completes_round(&mut self, durable: Index) -> bool {
        let current = Round {
            target: self.commit,
            since: self.now,
        };
        let Some(pending) = &mut self.pending_change else {
            return false;
        };
        let round = pending.round.get_or_insert(current);
        if durable < round.target {
            return false;
        }
        let in_time = self.now <= round.since + self.config.election_timeout;
        if !in_time {
            pending.round = Some(current);
        }
        in_time || durable >= self.commit
    }
}
