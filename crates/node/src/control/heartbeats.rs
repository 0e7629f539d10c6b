//! Heartbeats that control hosts take for the leader.

use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_control::input::Input;
use cornelhitch_quorum::status::Role;
use cornelhitch_types::id::{HostId, Term};
use cornelhitch_types::target::AnnouncedHeartbeat;

use super::Control;
use crate::intake::Forwarded;
use crate::message::{Downward, Message, Upward};
use crate::metrics::Count;

/// Age up to which a new leader uses the heartbeats that it took before: targets send one more often.
const MAX_AGE: Duration = Duration::from_secs(2);

impl Control {
    /// Returns the leader that gets the heartbeats which this host takes.
    fn heartbeat_leader(&self) -> Option<HostId> {
        let leader = self.known_leader.filter(|_| self.role == Role::Follower);
        leader.filter(|leader| *leader != self.setup.me)
    }

    /// Takes a target's heartbeat for the leader; returns false if this host cannot.
    pub(super) fn take_heartbeat(&mut self, presence: &AnnouncedHeartbeat) -> bool {
        let now = self.now();
        let is_taken = self.intake.is_open(now) && !presence.heartbeat.leaving;
        if is_taken && self.admits(presence) {
            self.intake.take(presence.clone(), now);
            self.setup.metrics.increment(Count::HeartbeatsTaken);
            return true;
        }
        false
    }

    /// Sends the leader the heartbeats that this host has taken.
    pub(super) fn forward_heartbeats(&mut self) {
        let Some(leader) = self.heartbeat_leader() else {
            return;
        };
        let (term, now) = (self.term, self.now());
        if let Some(batch) = self.intake.batch(term, now) {
            let registry = self.setup.registry;
            let upward = Upward::Heartbeats {
                term,
                registry,
                batch,
            };
            self.setup.links.send(leader, Message::Upward(upward));
        }
    }

    /// Handles a batch of another control host.
    pub(crate) fn heartbeats_forwarded(
        &mut self,
        from: HostId,
        term: Term,
        registry: Option<SocketAddr>,
        batch: Vec<Forwarded>,
    ) {
        if term != self.term {
            return;
        }
        let now = self.now();
        let unpacked = self.forwards.unpack(from, batch, now);
        self.forwards.set_address(from, registry);
        self.publish_takers();
        for presence in unpacked.heartbeats {
            if self.admits(&presence) {
                self.hear(presence);
            }
        }
        let fleet = self.state.fleet();
        if self.forwards.len() > fleet.len() {
            self.forwards.retain(|target| fleet.get(target).is_some());
        }
        let missing = unpacked.missing;
        let downward = Downward::HeartbeatsTaken { term, missing };
        self.setup.links.send(from, Message::Downward(downward));
    }

    /// Tells the registry's listener which hosts take heartbeats for this leader.
    pub(super) fn publish_takers(&self) {
        let takers = self.forwards.addresses();
        self.setup.takers.send_if_modified(|known| {
            let changed = *known != takers;
            *known = takers;
            changed
        });
    }

    /// Handles a heartbeat as the leader.
    pub(super) fn hear(&mut self, presence: AnnouncedHeartbeat) {
        self.setup.metrics.increment(Count::ControlHeartbeats);
        self.hear_software(&presence);
        self.handle(Input::Presence(Box::new(presence)));
    }

    /// Uses the heartbeats that this host took before it led.
    pub(super) fn hear_taken(&mut self) {
        let now = self.now();
        for presence in self.intake.drain(MAX_AGE, now) {
            self.hear(presence);
        }
    }

    /// Gives the targets of a control host that has fallen silent time to find another one.
    pub(super) fn excuse_delayed_heartbeats(&mut self) {
        let now = self.now();
        let targets = self.forwards.newly_silent(now);
        self.publish_takers();
        if !targets.is_empty() {
            tracing::info!(
                targets = targets.len(),
                "the control host that took these targets' heartbeats is silent"
            );
            self.handle(Input::HeartbeatsDelayed { targets });
        }
    }
}
