//! Cluster membership: voter changes and join requests.

use std::time::Duration;

use bytes::Bytes;
use cornelhitch_quorum::event::{Event, MembershipChange};
use cornelhitch_quorum::id::RequestId;
use cornelhitch_quorum::membership_policy::next_promotion;
use cornelhitch_settings::process;
use cornelhitch_types::id::HostId;
use tokio::time::Instant;

use super::{Control, Waiter};
use crate::message::{Downward, Message};

/// Interval between membership checks, each of which starts at most one step of a repair.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Control {
    /// Starts the next membership change that is due, if any.
    pub(super) fn adjust_membership(&mut self) {
        let is_due = self.last_membership_check.elapsed() >= MEMBERSHIP_CHECK_INTERVAL;
        if !is_due || self.is_changing_membership() {
            return;
        }
        self.last_membership_check = Instant::now();
        let status = self.setup.core.status();
        let change = match self.setup.membership_policy {
            Some(policy) => policy.next_change(&status, &self.join_requests, self.now()),
            None => next_promotion(&status, &self.setup.voters),
        };
        if let Some(change) = change {
            tracing::info!(
                ?change, silent = ?status.unresponsive_for,
                "starting an automatic membership change"
            );
            let id = self.register_waiter(Waiter::MembershipPolicy);
            self.quorum_event(Event::ChangeMembership { id, change });
        }
    }

    /// Whether a change that the membership policy started is neither complete nor rejected.
    fn is_changing_membership(&self) -> bool {
        let is_own = |waiter: &Waiter| matches!(waiter, Waiter::MembershipPolicy);
        self.waiters.values().any(is_own)
    }

    /// Sends all subscribers the voters when these or an address of one has changed.
    pub(super) fn send_changed_voters(&mut self) {
        let voters = self.reachable_voters();
        if voters != self.voters {
            self.voters = voters;
            for host in &self.subscribers {
                self.send_voters(*host);
            }
        }
    }

    /// Sends a host the voters, so that it can find the next leader if this host fails.
    pub(crate) fn send_voters(&self, host: HostId) {
        let downward = Downward::Voters {
            term: self.term,
            voters: self.reachable_voters(),
            registry: self.setup.registry,
        };
        self.setup.links.send(host, Message::Downward(downward));
    }

    /// Returns the voters whose addresses are known.
    pub(super) fn reachable_voters(&self) -> Vec<process::Peer> {
        let members = self.setup.core.status().members;
        let voters = members.voters();
        voters.filter_map(|host| self.peer_address(host)).collect()
    }

    /// Returns a host with its address, or `None` if the address is unknown.
    pub(super) fn peer_address(&self, host: HostId) -> Option<process::Peer> {
        let address = self.setup.links.address(host)?;
        Some(process::Peer { host, address })
    }

    /// Starts a membership change for a host's call.
    pub(crate) fn change_members(&mut self, change: MembershipChange, host: HostId, call: u64) {
        let id = self.register_waiter(Waiter::Members { host, call });
        self.quorum_event(Event::ChangeMembership { id, change });
    }

    /// Handles a completed membership change.
    pub(super) fn membership_changed(&mut self, id: RequestId) {
        if let Some(Waiter::Members { host, call }) = self.waiters.remove(&id) {
            self.send_answer(host, call, Bytes::from_static(b"{\"done\":true}"));
        }
    }

    /// Handles a host's join request.
    ///
    /// Without a membership policy, only voters named in the settings are admitted, and any other
    /// host has to be named by an operator as the replacement of a voter. A host that is known
    /// under another incarnation of its disk is not admitted: an operator has to replace it, since
    /// the votes it gave before are lost.
    pub(super) fn admit(&mut self, peer: cornelhitch_quorum::id::Peer) {
        if self.setup.membership_policy.is_some() {
            let now = self.now();
            self.join_requests.record(peer, now);
            return;
        }
        if !self.setup.voters.contains(&peer.id) {
            tracing::warn!(
                host = peer.id,
                "ignoring a join request: the host is not a voter in the settings"
            );
            return;
        }
        let id = self.register_waiter(Waiter::Leader);
        let change = MembershipChange::Add(peer);
        self.quorum_event(Event::ChangeMembership { id, change });
    }
}
