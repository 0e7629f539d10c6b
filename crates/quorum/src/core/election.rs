//! Leader elections, joining a group and bootstrapping one.

use std::collections::BTreeSet;

use rand::Rng;

use super::Core;
use crate::action::{Action, RejectReason};
use crate::config::Fault;
use crate::id::{Incarnation, MemberId, Peer, Term, Time};
use crate::log::Payload;
use crate::member::Membership;
use crate::message::{Message, RequestVote, VoteResponse};
use crate::status::Role;
use crate::store::HardState;

/// Term of the entry that bootstraps a group.
const FIRST_TERM: Term = 1;

impl Core {
    /// Schedules the next election in one to two election timeouts.
    pub(super) fn postpone_election(&mut self) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.election_at = self.now + self.config.election_timeout.mul_f64(1.0 + jitter);
    }

    /// Schedules the next attempt in a quarter to three quarters of an election timeout: after a
    /// split vote no voter withholds its vote for a leader any more, so the retry may be scheduled
    /// sooner.
    fn retry_election(&mut self) {
        let jitter = self.rng.random_range(0.25..0.75);
        self.election_at = self.now + self.config.election_timeout.mul_f64(jitter);
    }

    /// Becomes a follower in `term`, which must not be lower than the current term.
    pub(super) fn become_follower(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState {
                term,
                voted_for: None,
                ..self.hard_state
            });
            self.accepted_index = self.commit;
            self.leader_stamp = Time::ZERO;
        }
        if self.role == Role::Leader {
            self.clear_leader_state();
        }
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Clears leader state: fails pending barriers and changes, and withholds votes while the lease
    /// may still be relied upon.
    fn clear_leader_state(&mut self) {
        self.leader = None;
        self.accepted_index = self.commit;
        self.leader_stamp = Time::ZERO;
        self.progress.clear();
        self.uncommitted_bytes = 0;
        self.votes_withheld_until = self.now + self.config.election_timeout;
        self.postpone_election();
        for barrier in std::mem::take(&mut self.barriers) {
            self.reject(barrier.id, RejectReason::NotLeader);
        }
        if let Some(pending) = self.pending_change.take() {
            self.reject(pending.id, RejectReason::Unknown);
        }
    }

    pub(super) fn on_election_timeout(&mut self) {
        if self.role == Role::Candidate && self.writes.has_pending() {
            return self.retry_election();
        }
        self.postpone_election();
        self.leader = None;
        self.role = Role::Follower;
        if self.membership().is_empty() {
            // Only an answer ends this, and a request or its answer may have been lost.
            self.retry_election();
            self.join_or_bootstrap();
            return self.found_if_allowed();
        }
        if !self.may_campaign() || self.writes.is_unhealthy() {
            return self.send_join_requests();
        }
        self.request_pre_votes();
        self.send_join_requests();
        self.count_votes();
    }

    /// Campaigns for the founding of the group, if that is this member's to do now.
    fn found_if_allowed(&mut self) {
        if self.may_found() {
            self.request_pre_votes();
            self.count_votes();
        }
    }

    fn request_pre_votes(&mut self) {
        self.role = Role::PreCandidate;
        self.votes = [self.me().id].into();
        self.retry_election();
        let term = self.hard_state.term + 1;
        for (id, incarnation) in self.electorate() {
            let message = self.vote_request(true);
            self.send_in_term(id, incarnation, term, message);
        }
    }

    /// The other members that vote, with their admitted incarnations. That of a founder which the
    /// membership does not name is not known.
    fn electorate(&self) -> Vec<(MemberId, Option<Incarnation>)> {
        let voters = self.other_voters().into_iter();
        let voters = voters.map(|peer| (peer.id, Some(peer.incarnation)));
        let founders = self.founders_outside().into_iter();
        voters.chain(founders.map(|id| (id, None))).collect()
    }

    /// Sends a join request to all known members, peers and contacts, since this member receives
    /// nothing from a leader: it may have been removed while it was offline and must then be admitted
    /// again.
    fn send_join_requests(&mut self) {
        let me = self.me().id;
        let known = self.membership().keys().copied();
        let told = self.config.peers.iter().chain(&self.contacts).copied();
        let all: BTreeSet<MemberId> = known.chain(told).collect();
        for id in all.into_iter().filter(|id| *id != me) {
            self.send_in_term(id, None, self.hard_state.term, Message::Join);
        }
    }

    /// Whether this member may campaign: it is a voter, or its removal is in its log but not known
    /// to be committed. In the latter case the other members may need it as leader until then, but
    /// its own vote does not count (Ongaro's thesis §4.2.2).
    fn may_campaign(&self) -> bool {
        let latest = self.memberships.latest_index();
        let before = self.memberships.at(latest.saturating_sub(1));
        let leaving = latest > self.commit && before.is_voter(self.me().id);
        self.is_voter() || (leaving && before.admits(self.me()))
    }

    fn other_voters(&self) -> Vec<Peer> {
        let members = self.membership();
        let me = self.me().id;
        members
            .voters()
            .filter(|id| *id != me)
            .filter_map(|id| members.peer(id))
            .collect()
    }

    fn vote_request(&self, pre_vote: bool) -> Message {
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
        Message::RequestVote(RequestVote {
            pre_vote,
            last_index,
            last_term,
        })
    }

    fn count_votes(&mut self) {
        let members = self.membership();
        let votes = members
            .voters()
            .filter(|id| self.votes.contains(id))
            .count();
        let is_elected = members.is_empty() || votes >= members.quorum();
        if !is_elected || (self.is_founding() && !self.have_founders_voted()) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    /// Starts a real election. Vote requests are sent only after this member's own vote is synced:
    /// a member that forgot its candidacy could otherwise be elected in the same term with fewer
    /// entries.
    fn campaign(&mut self) {
        let term = self.hard_state.term + 1;
        self.role = Role::Candidate;
        self.votes.clear();
        self.set_hard_state(HardState {
            term,
            voted_for: Some(self.me()),
            ..self.hard_state
        });
        self.accepted_index = self.commit;
        self.leader_stamp = Time::ZERO;
        for (id, incarnation) in self.electorate() {
            let message = self.vote_request(false);
            let envelope = self.envelope(id, incarnation, term, message);
            self.send_after_sync(envelope);
        }
        let own = Message::VoteResponse(VoteResponse {
            pre_vote: false,
            granted: true,
        });
        let me = self.me();
        let envelope = self.envelope(me.id, Some(me.incarnation), term, own);
        self.send_after_sync(envelope);
    }

    pub(super) fn on_request_vote(
        &mut self,
        from: Peer,
        term: Term,
        lineage: Incarnation,
        request: RequestVote,
    ) {
        if !self.may_vote_in(lineage) {
            return;
        }
        self.note_founder(from, lineage);
        let withheld = self.now < self.votes_withheld_until || self.role == Role::Leader;
        let log_up_to_date =
            (request.last_term, request.last_index) >= (self.log.last_term(), self.log.last());
        let eligible = log_up_to_date && !withheld && !self.writes.is_unhealthy();
        if request.pre_vote {
            let granted = eligible && term > self.hard_state.term;
            return self.respond_to_pre_vote(from, term, granted);
        }
        if withheld {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        let vote_available =
            self.hard_state.voted_for.is_none_or(|v| v == from) || self.has_fault(Fault::VoteTwice);
        let granted = eligible && vote_available && term == self.hard_state.term;
        if granted {
            self.grant_vote(from);
        }
        let message = Message::VoteResponse(VoteResponse {
            pre_vote: false,
            granted,
        });
        let own_term = self.hard_state.term;
        let envelope = self.envelope(from.id, Some(from.incarnation), own_term, message);
        self.send_after_sync(envelope);
    }

    /// Whether this member responds to a vote request with this lineage, which is 0 until the sender
    /// knows of a committed entry.
    fn may_vote_in(&self, lineage: Incarnation) -> bool {
        let lineages_known = self.hard_state.lineage != 0 && lineage != 0;
        let has_founders = !self.config.founders.is_empty();
        let is_in_log = self.hard_state.lineage != 0 && self.log.last() > 0;
        lineages_known || (has_founders && (is_in_log || self.is_founding()))
    }

    fn grant_vote(&mut self, to: Peer) {
        if self.hard_state.voted_for != Some(to) {
            self.set_hard_state(HardState {
                voted_for: Some(to),
                ..self.hard_state
            });
        }
        self.postpone_election();
    }

    fn respond_to_pre_vote(&mut self, from: Peer, requested_term: Term, granted: bool) {
        let term = if granted {
            requested_term
        } else {
            self.hard_state.term
        };
        let message = Message::VoteResponse(VoteResponse {
            pre_vote: true,
            granted,
        });
        self.send_in_term(from.id, Some(from.incarnation), term, message);
    }

    pub(super) fn on_vote_response(
        &mut self,
        from: Peer,
        term: Term,
        lineage: Incarnation,
        response: VoteResponse,
    ) {
        self.note_founder(from, lineage);
        if !response.granted {
            if term > self.hard_state.term {
                self.become_follower(term);
            }
            return;
        }
        let (role, expected_term) = if response.pre_vote {
            (Role::PreCandidate, self.hard_state.term + 1)
        } else {
            (Role::Candidate, self.hard_state.term)
        };
        let known = self.membership().admits(from)
            || self.is_founder_outside(from)
            || self.has_fault(Fault::AnyIncarnation);
        if self.role == role && term == expected_term && known {
            self.votes.insert(from.id);
            self.count_votes();
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.me());
        self.leader_since = self.now;
        self.heartbeat_at = self.now;
        self.uncommitted_bytes = 0;
        self.progress.clear();
        if self.log.last() == 0 {
            return self.append_first_entry();
        }
        self.update_tracked_members();
        self.term_start_index = self.append_entry(Payload::Empty);
    }

    /// Appends the membership of a new group, which is also the first entry of this leader's term.
    fn append_first_entry(&mut self) {
        let members = self.first_membership();
        self.term_start_index = self.append_entry(Payload::Membership(members));
        self.update_tracked_members();
    }

    /// Requests admission, and bootstraps the group if this member is allowed to and every peer has
    /// reported that it belongs to no group.
    fn join_or_bootstrap(&mut self) {
        self.send_join_requests();
        self.bootstrap_if_allowed();
    }

    /// Handles a join request: the leader raises it to its owner, another member passes it on to the
    /// leader, since the sender may know none of the hosts that lead.
    pub(super) fn on_join(&mut self, from: Peer) {
        let without_group = self.membership().is_empty();
        if !self.membership().admits(from) {
            self.request_admission(from);
        }
        self.send(from, Message::NoGroup(without_group));
    }

    fn request_admission(&mut self, joiner: Peer) {
        match self.leader {
            _ if self.role == Role::Leader => self.actions.push(Action::JoinRequested(joiner)),
            Some(leader) => self.send(leader, Message::ForwardedJoin(joiner)),
            None => {}
        }
    }

    /// Handles a join request that a member passed on. A host that no longer leads drops it, so that
    /// it cannot travel in a circle.
    pub(super) fn on_forwarded_join(&mut self, from: Peer, joiner: Peer) {
        let members = self.membership();
        let passed_on_by_member = members.admits(from) && !members.admits(joiner);
        if self.role == Role::Leader && passed_on_by_member {
            self.request_admission(joiner);
        }
    }

    pub(super) fn on_no_group(&mut self, from: Peer, without_group: bool) {
        if without_group {
            self.without_group.insert(from.id);
        } else {
            self.without_group.remove(&from.id);
        }
        self.bootstrap_if_allowed();
    }

    fn bootstrap_if_allowed(&mut self) {
        let me = self.me();
        let (term, lineage) = (FIRST_TERM, me.incarnation.max(1));
        let confirmed = |id: &MemberId| *id == me.id || self.without_group.contains(id);
        let uninitialized =
            self.membership().is_empty() && [0, lineage].contains(&self.hard_state.lineage);
        let elects_founder = !self.config.founders.is_empty();
        let may_bootstrap = self.config.may_bootstrap && !elects_founder;
        if !uninitialized || !may_bootstrap || !self.config.peers.iter().all(confirmed) {
            return;
        }
        self.set_hard_state(HardState {
            term,
            voted_for: Some(me),
            lineage,
        });
        self.append_entry(Payload::Membership(Membership::of(&[me])));
        self.election_at = self.now;
    }
}
