//! Automatic membership changes for groups whose hosts join and leave without an operator.
//!
//! The policy keeps the number of voters constant. It is level-triggered: each change is a single
//! step, a function of the membership in the log, of who responds and of who asks to join. So a
//! change of leader interrupts nothing: the next leader finds the remaining steps due.
//!
//! A learner takes the place of a silent voter before that one becomes a learner: should it return
//! meanwhile, the group has borne as many losses as before all the while. A voter whose storage is
//! wiped cannot vote again, and becomes a learner under its new incarnation at once, in one step: it
//! knows no other member, so that the membership must name it all the while. What is left to do in
//! either case, a voter too many or too few, can be read off the membership.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::event::MembershipChange;
use crate::id::{Incarnation, Index, MemberId, Peer, Time};
use crate::member::{MemberKind, Membership};
use crate::status::{Role, Status};

/// Maximum number of committed entries that a learner may lack and still count as caught up. The
/// promotion waits for it to sync them.
const MAX_LAG_ENTRIES: Index = 64;

/// The policy that decides on membership changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Target number of voters.
    pub target_voters: usize,
    /// Number of voters that the operator's first configuration waits for.
    pub first_voters: usize,
    /// Time without a response after which a voter is replaced by a responsive learner.
    pub replace_after: Duration,
    /// Time without a response after which a learner is removed. Should it lose its storage before, it
    /// knows the group only by being addressed.
    pub remove_after: Duration,
}

impl Default for MembershipPolicy {
    fn default() -> Self {
        Self {
            target_voters: 3,
            first_voters: 3,
            replace_after: Duration::from_secs(3),
            remove_after: Duration::from_mins(1),
        }
    }
}

impl MembershipPolicy {
    /// Returns the policy for a group that bears the loss of `losses` voters at once.
    ///
    /// A voter that has been silent for two election timeouts is replaced: twice the time after
    /// which a silent leader is.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use cornelhitch_quorum::membership_policy::MembershipPolicy;
    ///
    /// let policy = MembershipPolicy::for_losses(2, Duration::from_millis(500));
    /// assert_eq!(policy.target_voters, 5);
    /// assert_eq!(policy.replace_after, Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn for_losses(losses: usize, election_timeout: Duration) -> Self {
        Self {
            target_voters: 2 * losses + 1,
            first_voters: 2 * losses + 1,
            replace_after: 2 * election_timeout,
            ..Self::default()
        }
    }
}

/// Time for which a request to join is considered. Hosts repeat theirs within two election timeouts.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_secs(3);

/// The hosts that asked this leader to join.
#[derive(Clone, Debug, Default)]
pub struct JoinRequests(BTreeMap<MemberId, JoinRequest>);

/// The latest request of a host.
#[derive(Clone, Copy, Debug)]
struct JoinRequest {
    incarnation: Incarnation,
    at: Time,
}

impl JoinRequests {
    /// Records a request at `now`, in place of an earlier one of the same host.
    pub fn record(&mut self, joiner: Peer, now: Time) {
        self.0.retain(|_, request| request.is_recent(now));
        let request = JoinRequest {
            incarnation: joiner.incarnation,
            at: now,
        };
        self.0.insert(joiner.id, request);
    }

    /// Returns the hosts whose requests are recent at `now`.
    #[must_use]
    pub fn hosts(&self, now: Time) -> BTreeSet<MemberId> {
        self.recent(now).into_keys().collect()
    }

    /// Returns the hosts whose requests are recent at `now`, with their storage incarnations.
    fn recent(&self, now: Time) -> BTreeMap<MemberId, Incarnation> {
        let requests = self.0.iter();
        requests
            .filter(|(_, request)| request.is_recent(now))
            .map(|(id, request)| (*id, request.incarnation))
            .collect()
    }
}

impl JoinRequest {
    fn is_recent(&self, now: Time) -> bool {
        now < self.at + JOIN_REQUEST_LIFETIME
    }
}

impl MembershipPolicy {
    /// Returns the next change to make at `now`; `None` if none is due or this member is not the
    /// leader.
    #[must_use]
    pub fn next_change(
        &self,
        status: &Status,
        join_requests: &JoinRequests,
        now: Time,
    ) -> Option<MembershipChange> {
        if status.role != Role::Leader {
            return None;
        }
        let view = View {
            policy: self,
            status,
            asking: join_requests.recent(now),
        };
        view.demote_surplus_voter()
            .or_else(|| view.promote_learner())
            .or_else(|| view.readmit_wiped_voter())
            .or_else(|| view.admit_joiner())
            .or_else(|| view.remove_learner())
    }
}

/// Time from the election of a leader for which it refuses the operator's first configuration while
/// the group has too few voters.
pub const FIRST_CONFIGURATION_WAIT: Duration = Duration::from_secs(3);

impl MembershipPolicy {
    /// Whether a leader refuses the operator's configuration for now, since the group could not bear
    /// the losses that it should: none was committed before, as its version 0 shows, and voters are
    /// missing. The wait is bounded, since there may be no more hosts. `led_for` is the time since
    /// this leader's election.
    #[must_use]
    pub fn refuses_first_configuration(
        &self,
        members: &Membership,
        version: u64,
        led_for: Duration,
    ) -> bool {
        let voters = members.voters().count();
        version == 0 && voters < self.first_voters && led_for < FIRST_CONFIGURATION_WAIT
    }
}

/// Returns the promotion that is due on a cluster whose settings name its voters: that of a named
/// learner that responds and has caught up. Which learners were added for that is read off the
/// membership, so a promotion that a change of leader interrupted is made by the next one.
#[must_use]
pub fn next_promotion(status: &Status, named: &BTreeSet<MemberId>) -> Option<MembershipChange> {
    if status.role != Role::Leader {
        return None;
    }
    let view = View {
        policy: &MembershipPolicy::default(),
        status,
        asking: BTreeMap::new(),
    };
    let mut learners = view.learners().filter(|id| named.contains(id));
    let ready = learners.find(|id| view.is_ready(*id));
    ready.map(MembershipChange::Promote)
}

/// What the leader knows of the group when it decides.
struct View<'a> {
    policy: &'a MembershipPolicy,
    status: &'a Status,
    /// The hosts that ask to join, with their storage incarnations.
    asking: BTreeMap<MemberId, Incarnation>,
}

impl View<'_> {
    /// Makes a voter a learner if the group has too many: a lost one, or any once all of them respond.
    fn demote_surplus_voter(&self) -> Option<MembershipChange> {
        if self.voter_count() <= self.policy.target_voters {
            return None;
        }
        let others = self.status.members.voters().filter(|id| !self.is_me(*id));
        let least_useful = others.max_by_key(|id| (self.is_wiped(*id), self.silence(*id)))?;
        let all_respond = || self.status.members.voters().all(|id| self.responds(id));
        if let Some(wiped) = self.wiped(least_useful) {
            return Some(MembershipChange::Readmit(wiped));
        }
        (self.is_silent(least_useful) || all_respond())
            .then_some(MembershipChange::Demote(least_useful))
    }

    /// Promotes a learner if the group has too few voters, or if one of them is silent.
    fn promote_learner(&self) -> Option<MembershipChange> {
        let any_silent = || self.status.members.voters().any(|id| self.is_silent(id));
        let is_due = match self.voter_count().cmp(&self.policy.target_voters) {
            Ordering::Less => true,
            Ordering::Equal => any_silent(),
            Ordering::Greater => false,
        };
        let learner = is_due.then(|| self.ready_learner()).flatten()?;
        Some(MembershipChange::Promote(learner))
    }

    /// Makes a voter that has lost its storage, and cannot return under its incarnation, a learner.
    fn readmit_wiped_voter(&self) -> Option<MembershipChange> {
        let mut voters = self.status.members.voters();
        let wiped = voters.find_map(|id| self.wiped(id))?;
        Some(MembershipChange::Readmit(wiped))
    }

    /// Admits a new host as a learner, or a learner that has lost its storage under its new
    /// incarnation.
    fn admit_joiner(&self) -> Option<MembershipChange> {
        let mut asking = self.asking.iter();
        asking.find_map(|(id, incarnation)| {
            let joiner = Peer {
                id: *id,
                incarnation: *incarnation,
            };
            match self.status.members.get(id) {
                None => Some(MembershipChange::Add(joiner)),
                Some(member) if member.kind == MemberKind::Voter => None,
                Some(_) => self.wiped(*id).map(MembershipChange::Readmit),
            }
        })
    }

    /// Removes a learner that has not responded for long.
    fn remove_learner(&self) -> Option<MembershipChange> {
        let long_silent = |id: &MemberId| self.silence(*id) >= self.policy.remove_after;
        self.learners()
            .find(long_silent)
            .map(MembershipChange::Remove)
    }

    fn voter_count(&self) -> usize {
        self.status.members.voters().count()
    }

    /// The learners besides this member.
    fn learners(&self) -> impl Iterator<Item = MemberId> {
        let members = self.status.members.iter();
        members
            .filter(|(id, member)| member.kind == MemberKind::Learner && !self.is_me(**id))
            .map(|(id, _)| *id)
    }

    /// The learner that lacks least, among those that respond and have caught up.
    fn ready_learner(&self) -> Option<MemberId> {
        let ready = self.learners().filter(|id| self.is_ready(*id));
        ready.max_by_key(|id| self.matched(*id))
    }

    /// Whether a learner can become a voter: it responds and has caught up.
    fn is_ready(&self, id: MemberId) -> bool {
        let caught_up = self.matched(id) + MAX_LAG_ENTRIES >= self.status.commit;
        self.responds(id) && !self.is_wiped(id) && caught_up
    }

    fn is_me(&self, id: MemberId) -> bool {
        id == self.status.peer.id
    }

    /// The new incarnation of a member that has lost its storage: it asks to join under another
    /// one than that which was admitted, which no longer responds. While that one responds, the
    /// request is old.
    fn wiped(&self, id: MemberId) -> Option<Peer> {
        let admitted = self.status.members.get(&id)?;
        let incarnation = *self.asking.get(&id)?;
        let asks_anew = incarnation != admitted.incarnation;
        let is_gone = self.silence(id) >= self.policy.replace_after / 2;
        (asks_anew && is_gone).then_some(Peer { id, incarnation })
    }

    fn is_wiped(&self, id: MemberId) -> bool {
        self.wiped(id).is_some()
    }

    fn is_silent(&self, id: MemberId) -> bool {
        self.silence(id) >= self.policy.replace_after
    }

    /// Whether the member has responded to this leader, and recently.
    fn responds(&self, id: MemberId) -> bool {
        self.is_me(id) || (self.matched(id) > 0 && !self.is_silent(id))
    }

    /// The last index that the member has synced, as it reported to this leader.
    fn matched(&self, id: MemberId) -> Index {
        self.status.matched.get(&id).copied().unwrap_or_default()
    }

    /// How long the member has not responded.
    fn silence(&self, id: MemberId) -> Duration {
        if self.is_me(id) {
            return Duration::ZERO;
        }
        let unresponsive_for = self.status.unresponsive_for.get(&id);
        unresponsive_for.copied().unwrap_or_default()
    }
}
