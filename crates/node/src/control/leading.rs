//! What a host does while it leads, and what it tells the others of who does.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_control::input::Input;
use cornelhitch_control::output::{Audience, Output};
use cornelhitch_quorum::event::Event;
use cornelhitch_quorum::id::RequestId;
use cornelhitch_quorum::status::Role;
use cornelhitch_types::id::{HostId, Incarnation, TargetId, Term, Version};
use cornelhitch_types::order::{Order, Outcome};

use super::{Control, Lease, Told, Waiting};
use crate::message::{Datagram, Downward, Message};
use crate::metrics::Count;
use crate::orders;
use crate::reservation::Reservations;

/// How long a worker may take to tell of its orders.
const INSPECTION: Duration = Duration::from_millis(1_500);

impl Control {
    /// Shows the lease to the gates of orders.
    pub(super) fn renew_lease(&mut self) {
        let lease = self.setup.core.lease(self.now());
        self.lease.send_replace(lease.map(|lease| Lease {
            term: lease.term,
            until: self.setup.epoch + lease.until,
        }));
    }

    /// Takes the end of a read.
    pub(super) fn barrier_done(&mut self, id: RequestId) {
        match self.waiting.remove(&id) {
            Some(Waiting::Election(term)) if term == self.term && self.role == Role::Leader => {
                tracing::info!(term, "this host leads");
                self.leading = true;
                self.lead(Input::Elected { term });
                self.begin();
                self.name_leader(self.setup.me);
            }
            Some(Waiting::Read(answer)) => {
                let text = self.state.document().text().cloned();
                let _ = answer.send(Ok(text));
            }
            _ => {}
        }
    }

    /// Brings the first settings into a cluster that has none.
    pub(super) fn begin(&mut self) {
        if self.state.catalogue().version() == 0
            && let Some(command) = self.setup.first.clone()
        {
            self.propose(command, None);
        }
    }

    /// Takes a change of the role.
    pub(super) fn role(&mut self, role: Role, term: Term, leader: Option<HostId>) {
        tracing::info!(%role, term, ?leader, "role");
        let led = self.leading;
        self.role = role;
        self.term = term;
        self.following = leader;
        self.leading = false;
        if led {
            self.lead(Input::Deposed);
            self.reservations = Reservations::default();
            self.subscribers.clear();
        }
        if role == Role::Leader {
            let id = self.wait(Waiting::Election(term));
            self.event(Event::Barrier { id });
        } else if let Some(leader) = leader {
            self.name_leader(leader);
        }
    }

    /// Tells the hosts that asked before there was a leader.
    pub(super) fn name_leader(&mut self, leader: HostId) {
        for host in std::mem::take(&mut self.unled) {
            self.not_leader(host, None, Some(leader));
        }
    }

    /// Gives the leader an input and does what it says.
    pub(crate) fn lead(&mut self, input: Input) {
        let now = self.unix();
        for output in self.setup.leader.handle(input, &self.state, now) {
            self.output(output);
        }
    }

    /// Does one thing that the leader said.
    pub(super) fn output(&mut self, output: Output) {
        match output {
            Output::Propose(command) => self.propose(command.encode(), None),
            Output::Order(order) => self.order(order),
            Output::Publish { to, view } => {
                let message = Message::Downward(Downward::View(view));
                match to {
                    Audience::All => {
                        let hosts = self.subscribers.iter().copied();
                        self.setup.switch.send_all(hosts, &message);
                    }
                    Audience::Host(host) => self.setup.switch.send(host, message),
                }
            }
            Output::Lease {
                host,
                incarnation,
                length,
                version,
            } => self.grant(host, incarnation, length, version),
            Output::Decided(step) => tracing::info!(
                target = &*step.target, action = ?step.action, reason = %step.reason,
                waiting = step.wish.waiting, running = step.wish.running,
                rate = step.wish.rate, copies = step.copies, "order decided"
            ),
            Output::Inspect {
                target,
                incarnation,
            } => self.inspect(target, incarnation),
            Output::InForce { version } => self.in_force = version,
            Output::Ask { target } => tracing::debug!(target = &*target, "not announced"),
        }
    }

    /// Sends an order in a task of its own.
    pub(super) fn order(&self, order: Order) {
        let Some(address) = self.address(&order.target, order.incarnation) else {
            let _ = self.setup.tell.send(Told::Ordered(order, Outcome::Unsent));
            return;
        };
        self.setup.metrics.one(Count::Orders);
        let sending = orders::Sending {
            order,
            address,
            lease: self.lease.subscribe(),
            client: self.setup.client.clone(),
            tell: self.setup.tell.clone(),
            metrics: self.setup.metrics.clone(),
        };
        tokio::spawn(sending.run());
    }

    /// Asks a worker about its orders, in a task of its own.
    pub(super) fn inspect(&self, target: TargetId, incarnation: Incarnation) {
        let known = self.state.fleet().alive(&target, incarnation);
        let Some(known) = known.map(|known| &known.announcement) else {
            return;
        };
        let address = known.address;
        let service = known.services.first().cloned().unwrap_or_default();
        let client = self.setup.client.clone();
        let tell = self.setup.tell.clone();
        tokio::spawn(async move {
            let asked = client.inspect(address, &target, &service);
            let inspection = tokio::time::timeout(INSPECTION, asked).await;
            let inspection = inspection.ok().and_then(Result::ok);
            tracing::info!(target = &*target, ?inspection, "asked about its orders");
            let _ = tell.send(Told::Inspected {
                target,
                incarnation,
                inspection,
            });
        });
    }

    /// Where a life of a target takes orders.
    pub(super) fn address(
        &self,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> Option<SocketAddr> {
        let target = self.state.fleet().alive(target, incarnation)?;
        Some(target.announcement.address)
    }

    /// Answers a renewal, while this host is sure to lead.
    pub(super) fn grant(
        &self,
        host: HostId,
        incarnation: Incarnation,
        length: Duration,
        version: Version,
    ) {
        let Some(renewal) = self.renewals.get(&host) else {
            return;
        };
        let sure = self.setup.core.lease(self.now()).is_some();
        if !sure || renewal.peer.incarnation != incarnation {
            return;
        }
        let lease = Datagram::Lease {
            sequence: renewal.sequence,
            length,
            version,
            term: self.term,
            view: self.setup.leader.sequence(),
        };
        self.setup.beacon.send(renewal.peer, renewal.address, lease);
    }

    /// Answers a question.
    pub(crate) fn answer(&self, host: HostId, call: u64, json: Bytes) {
        let downward = Downward::Answer { call, json };
        self.setup.switch.send(host, Message::Downward(downward));
    }

    /// Sends a host to the leader.
    pub(crate) fn not_leader(&self, host: HostId, call: Option<u64>, leader: Option<HostId>) {
        let leader = leader.and_then(|leader| self.reached(leader));
        let downward = Downward::NotLeader { leader, call };
        self.setup.switch.send(host, Message::Downward(downward));
    }
}
