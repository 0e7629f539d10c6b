//! Automatic membership changes for groups whose hosts join and leave without an operator.
//!
//! The policy keeps the number of voters constant. A host that asks to join becomes a learner first
//! and then replaces a voter that has not responded for a while. A voter that returns with wiped
//! storage replaces itself.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::event::MembershipChange;
use crate::id::{Incarnation, MemberId, Peer};
use crate::member::MemberKind;
use crate::status::{Role, Status};

/// The policy that decides on membership changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Target number of voters.
    pub target_voters: usize,
    /// Time without a response after which a voter is replaced by a responsive learner.
    pub replace_after: Duration,
    /// Time without a response after which a learner is removed.
    pub remove_after: Duration,
}

impl Default for MembershipPolicy {
    fn default() -> Self {
        Self {
            target_voters: 3,
            replace_after: Duration::from_secs(3),
            remove_after: Duration::from_secs(10),
        }
    }
}

/// Hosts that asked to join, with their storage incarnations.
pub type JoinRequests = BTreeMap<MemberId, Incarnation>;

impl MembershipPolicy {
    /// Returns the next change to make; `None` if none is due or this member is not the leader.
    #[must_use]
    pub fn next_change(
        &self,
        status: &Status,
        join_requests: &JoinRequests,
    ) -> Option<MembershipChange> {
        if status.role != Role::Leader {
            return None;
        }
        self.replace_silent_voter(status)
            .or_else(|| self.promote_learner(status))
            .or_else(|| admit_joiner(status, join_requests))
            .or_else(|| self.remove_silent_learner(status))
    }

    /// Replaces a voter that stopped responding with a responsive learner.
    fn replace_silent_voter(&self, status: &Status) -> Option<MembershipChange> {
        let is_silent = |id: &MemberId| silence(status, *id) >= self.replace_after;
        let old = status.members.voters().find(is_silent)?;
        let new = self.responsive_learner(status)?;
        Some(MembershipChange::Replace { old, new })
    }

    /// Promotes a learner if the group has too few voters.
    fn promote_learner(&self, status: &Status) -> Option<MembershipChange> {
        if status.members.voters().count() >= self.target_voters {
            return None;
        }
        let learner = self.responsive_learner(status)?;
        Some(MembershipChange::Promote(learner.id))
    }

    /// Returns a learner that has responded recently.
    fn responsive_learner(&self, status: &Status) -> Option<Peer> {
        let mut learners = status.members.iter();
        let (id, _) = learners.find(|(id, member)| {
            let responsive = silence(status, **id) < self.replace_after;
            member.kind == MemberKind::Learner && responsive
        })?;
        status.members.peer(*id)
    }

    /// Removes a learner that stopped responding.
    fn remove_silent_learner(&self, status: &Status) -> Option<MembershipChange> {
        let mut learners = status.members.iter();
        let silent_learner = learners.find(|(id, member)| {
            member.kind == MemberKind::Learner && silence(status, **id) >= self.remove_after
        });
        silent_learner.map(|(id, _)| MembershipChange::Remove(*id))
    }
}

/// Admits a joining host: as a learner if it is new, or as its own replacement if it is a member
/// with wiped storage.
fn admit_joiner(status: &Status, join_requests: &JoinRequests) -> Option<MembershipChange> {
    let mut join_requests = join_requests.iter();
    join_requests.find_map(|(id, incarnation)| {
        let new = Peer {
            id: *id,
            incarnation: *incarnation,
        };
        match status.members.get(id) {
            None => Some(MembershipChange::Add(new)),
            Some(member) if member.incarnation == *incarnation => None,
            Some(_) => Some(MembershipChange::Replace { old: *id, new }),
        }
    })
}

/// Returns how long a member has not responded to this leader.
fn silence(status: &Status, id: MemberId) -> Duration {
    if id == status.peer.id {
        return Duration::ZERO;
    }
    status
        .unresponsive_for
        .get(&id)
        .copied()
        .unwrap_or_default()
}
