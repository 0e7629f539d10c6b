//! Who votes: changes of the members, and hosts that ask to join.

use std::time::Duration;

use bytes::Bytes;
use cornelhitch_quorum::event::{Change, Event};
use cornelhitch_quorum::id::RequestId;
use cornelhitch_settings::process;
use cornelhitch_types::id::{HostId, Incarnation};
use tokio::time::Instant;

use super::{Control, Waiting};
use crate::message::{Downward, Message};

/// Time between two looks at the members.
const STEWARD: Duration = Duration::from_millis(500);

impl Control {
    /// Changes the members where that is due.
    pub(super) fn steward(&mut self) {
        let Some(steward) = self.setup.steward else {
            return;
        };
        if self.stewarded.elapsed() < STEWARD {
            return;
        }
        self.stewarded = Instant::now();
        let status = self.setup.core.status();
        let joined = |id: &HostId, life: &Incarnation| {
            let member = status.members.get(id);
            member.is_some_and(|member| member.incarnation == *life)
        };
        self.joiners.retain(|id, life| !joined(id, life));
        if let Some(change) = steward.next(&status, &self.joiners) {
            tracing::info!(?change, silent = ?status.silent, "the members change");
            let id = self.wait(Waiting::Leader);
            self.event(Event::Change { id, change });
        }
    }

    /// Tells all subscribers who votes, when that or an address has changed.
    pub(super) fn tell_changed_voters(&mut self) {
        let voters = self.reached_voters();
        if voters != self.voters {
            self.voters = voters;
            for host in &self.subscribers {
                self.tell_voters(*host);
            }
        }
    }

    /// Tells a host who votes, so that it knows whom to ask when this host is gone.
    pub(crate) fn tell_voters(&self, host: HostId) {
        let downward = Downward::Voters {
            term: self.term,
            voters: self.reached_voters(),
            registry: self.setup.registry,
        };
        self.setup.switch.send(host, Message::Downward(downward));
    }

    /// The voters whose addresses are known.
    pub(super) fn reached_voters(&self) -> Vec<process::Peer> {
        let members = self.setup.core.status().members;
        let voters = members.voters();
        voters.filter_map(|host| self.reached(host)).collect()
    }

    /// A host and its address, if that is known.
    pub(super) fn reached(&self, host: HostId) -> Option<process::Peer> {
        let address = self.setup.switch.address(host)?;
        Some(process::Peer { host, address })
    }

    /// Starts a change of the members.
    pub(crate) fn change(&mut self, change: Change, host: HostId, call: u64) {
        let id = self.wait(Waiting::Members { host, call });
        self.event(Event::Change { id, change });
    }

    /// Takes the end of a change of the members.
    pub(super) fn changed(&mut self, id: RequestId) {
        match self.waiting.remove(&id) {
            Some(Waiting::Members { host, call }) => {
                self.answer(host, call, Bytes::from_static(b"{\"done\":true}"));
            }
            Some(Waiting::Learner(member)) => {
                let id = self.wait(Waiting::Leader);
                let change = Change::Promote(member);
                self.event(Event::Change { id, change });
            }
            _ => {}
        }
    }

    /// Admits a voter of the settings that has no group yet.
    ///
    /// A host that is none takes a vote only where an operator names it to replace another.
    /// One that is known under another life of its disk is not admitted: an
    /// operator has to replace it, since its votes are lost.
    pub(super) fn joining(&mut self, peer: cornelhitch_quorum::id::Peer) {
        if self.setup.steward.is_some() {
            self.joiners.insert(peer.id, peer.incarnation);
            return;
        }
        if !self.setup.voters.contains(&peer.id) {
            tracing::warn!(host = peer.id, "a host that is no voter asks to join");
            return;
        }
        let id = self.wait(Waiting::Learner(peer.id));
        let change = Change::Add(peer);
        self.event(Event::Change { id, change });
    }
}
