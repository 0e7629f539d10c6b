//! Changes of the members, one at a time (Ongaro's thesis §4).

use super::Core;
use crate::action::{Action, Reason};
use crate::config::Fault;
use crate::event::Change;
use crate::id::{MemberId, Peer, RequestId, Time};
use crate::log::Payload;
use crate::member::{Membership, Standing};
use crate::status::Role;

/// A change that is under way.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) id: RequestId,
    change: Change,
    since: Time,
}

/// What brings a change further.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    /// Nothing is left to do.
    Done,
    /// Put this membership into the log.
    Write(Membership),
    /// Make the learner a voter once it is caught up.
    Promote(Peer),
    /// The change does not fit the members.
    Invalid,
}

impl Change {
    /// The next step from `members`; the same for a change asked again half way.
    fn step(self, members: &Membership) -> Step {
        match self {
            Change::Add(peer) => add(members, peer),
            Change::Promote(id) => match members.peer(id) {
                Some(peer) => promote(members, peer),
                None => Step::Invalid,
            },
            Change::Remove(id) => remove(members, id),
            Change::Replace { old, new } => replace(members, old, new),
        }
    }
}

fn add(members: &Membership, peer: Peer) -> Step {
    match members.get(&peer.id) {
        None => Step::Write(members.with(peer, Standing::Learner)),
        Some(member) if member.incarnation == peer.incarnation => Step::Done,
        Some(_) => Step::Invalid,
    }
}

fn promote(members: &Membership, peer: Peer) -> Step {
    if members.is_voter(peer.id) {
        Step::Done
    } else {
        Step::Promote(peer)
    }
}

fn remove(members: &Membership, id: MemberId) -> Step {
    let left = members.without(id);
    match members.contains_key(&id) {
        false => Step::Done,
        true if left.voters().next().is_none() => Step::Invalid,
        true => Step::Write(left),
    }
}

/// The new member becomes a voter before the old one leaves, except where both have one id.
fn replace(members: &Membership, old: MemberId, new: Peer) -> Step {
    let stale = members.contains_key(&new.id) && !members.admits(new);
    if stale {
        return if old == new.id {
            remove(members, old)
        } else {
            Step::Invalid
        };
    }
    if !members.admits(new) {
        return add(members, new);
    }
    if !members.is_voter(new.id) {
        return Step::Promote(new);
    }
    if old == new.id {
        Step::Done
    } else {
        remove(members, old)
    }
}

impl Core {
    pub(super) fn on_change(&mut self, id: RequestId, change: Change) {
        if self.role != Role::Leader {
            return self.reject(id, Reason::NotLeader);
        }
        if self.change.is_some() {
            return self.reject(id, Reason::Busy);
        }
        self.change = Some(Pending {
            id,
            change,
            since: self.now,
        });
    }

    /// Takes the next step of the change under way, once the membership before it is committed
    /// and so is an entry of this term: without the latter, two leaders could each change another
    /// committed membership (Ongaro, raft-dev, July 2015).
    pub(super) fn drive_change(&mut self) {
        let settled = self.members_settled();
        if !settled && !self.faulty(Fault::ManyChanges) {
            return;
        }
        let Some(pending) = &self.change else { return };
        let (id, since) = (pending.id, pending.since);
        match pending.change.step(self.membership()) {
            Step::Done => {
                self.change = None;
                self.actions.push(Action::Changed { id });
            }
            Step::Invalid => {
                self.change = None;
                self.reject(id, Reason::Invalid);
            }
            Step::Write(members) => self.write_when_live(id, since, members),
            Step::Promote(peer) => self.promote_when_ready(id, since, peer),
        }
    }

    fn members_settled(&self) -> bool {
        self.commit >= self.first_of_term.max(self.members.latest_index())
    }

    /// A leader that removed itself leads until the removal is committed.
    pub(super) fn retire_if_removed(&mut self) {
        if self.members_settled() && !self.membership().admits(self.me()) {
            self.become_follower(self.ballot.term);
            self.forget_proposals(self.log.last());
        }
    }

    fn write_members(&mut self, members: Membership) {
        self.write(Payload::Membership(members));
        self.track_members();
    }

    /// A change that leaves no quorum of members that answer waits for one.
    fn write_when_live(&mut self, id: RequestId, since: Time, members: Membership) {
        let live = members.voters().filter(|id| self.is_live(*id)).count();
        if live >= members.quorum() {
            return self.write_members(members);
        }
        if self.now >= since + self.config.catch_up {
            self.change = None;
            self.reject(id, Reason::Stalled);
        }
    }

    fn is_live(&self, id: MemberId) -> bool {
        let stamp = self.progress.get(&id).and_then(|progress| progress.stamp);
        let heard = stamp.is_some_and(|at| at + self.config.election > self.now);
        heard || id == self.me().id
    }

    /// A learner becomes a voter when it has synced all that is committed.
    fn promote_when_ready(&mut self, id: RequestId, since: Time, peer: Peer) {
        let Some(progress) = self.progress.get(&peer.id) else {
            return;
        };
        let advanced_at = progress.advanced_at.max(since);
        if progress.durable >= self.commit {
            let members = self.membership().with(peer, Standing::Voter);
            return self.write_when_live(id, advanced_at, members);
        }
        if self.now >= advanced_at + self.config.catch_up {
            self.change = None;
            self.reject(id, Reason::Stalled);
        }
    }
}
