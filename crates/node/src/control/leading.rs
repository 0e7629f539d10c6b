//! The duties of the leading host, and leader announcements to other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_control::input::Input;
use cornelhitch_control::output::{Audience, Output};
use cornelhitch_quorum::event::Event;
use cornelhitch_quorum::id::RequestId;
use cornelhitch_quorum::membership_policy::JoinRequests;
use cornelhitch_quorum::status::Role;
use cornelhitch_types::id::{HostId, Incarnation, TargetId, Term, Version};
use cornelhitch_types::order::{Order, Outcome};
use cornelhitch_types::target::{AnnouncedHeartbeat, TargetSoftware};

use super::{Control, Lease, Renewal, TaskMessage, Waiter};
use crate::intake::Forwards;
use crate::message::{Datagram, Downward, Message};
use crate::metrics::Count;
use crate::orders;
use crate::reservation::Reservations;
use crate::software::SoftwareRegister;
use crate::trials::Trials;

/// Timeout for querying a worker about its orders.
const INSPECTION_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Control {
    /// Publishes the current lease to the tasks that send orders.
    pub(super) fn renew_lease(&mut self) {
        let lease = self.setup.core.lease(self.now());
        self.lease.send_replace(lease.map(|lease| Lease {
            term: lease.term,
            until: self.setup.epoch + lease.until,
        }));
    }

    /// Handles a completed read: starts leading after an election, or answers with the route table.
    pub(super) fn barrier_done(&mut self, id: RequestId) {
        match self.waiters.remove(&id) {
            Some(Waiter::Election(term)) if term == self.term && self.role == Role::Leader => {
                tracing::info!(term, "this host now leads");
                self.leading = true;
                self.trials = Trials::elected(self.now());
                self.software = SoftwareRegister::new(self.now());
                self.start_quotas();
                self.handle(Input::Elected { term });
                self.propose_initial_settings();
                self.announce_leader(self.setup.me);
                self.hear_taken();
            }
            Some(Waiter::Origins) => self.origins_confirmed(),
            Some(Waiter::Read(answer)) => {
                let text = self.state.current_table().text().cloned();
                let _ = answer.send(Ok(text));
            }
            _ => {}
        }
    }

    /// Proposes the first fleet settings if the cluster has none.
    pub(super) fn propose_initial_settings(&mut self) {
        if self.state.current_settings().version() == 0
            && let Some(command) = self.setup.initial_settings.clone()
        {
            self.propose(command, None);
        }
    }

    /// Handles a change of this host's role, the term or the known leader.
    pub(super) fn role_changed(&mut self, role: Role, term: Term, leader: Option<HostId>) {
        tracing::info!(%role, term, ?leader, "role, term or leader changed");
        let was_leading = self.leading;
        self.role = role;
        self.term = term;
        self.known_leader = leader;
        let now = self.now();
        self.leaderships.observe(term, leader.is_some(), now);
        self.leading = false;
        if was_leading {
            self.handle(Input::LeadershipLost);
            self.reservations = Reservations::default();
            self.trials = Trials::default();
            self.quotas = None;
            self.software = SoftwareRegister::default();
            self.refuse_origins(leader);
            self.forwards = Forwards::default();
            self.submissions.leadership_lost();
            self.publish_takers();
            self.subscribers.clear();
        }
        self.join_requests = JoinRequests::default();
        if role == Role::Leader {
            let id = self.register_waiter(Waiter::Election(term));
            self.quorum_event(Event::Barrier { id });
        } else if let Some(leader) = leader {
            self.announce_leader(leader);
        }
    }

    /// Announces the leader to the hosts that contacted this host while it knew none.
    pub(super) fn announce_leader(&mut self, leader: HostId) {
        for host in std::mem::take(&mut self.awaiting_leader) {
            self.send_not_leader(host, None, Some(leader));
        }
    }

    /// Passes an input to the leader and performs the resulting outputs.
    pub(crate) fn handle(&mut self, input: Input) {
        let now = self.unix_time();
        let (leader, state) = (&mut self.setup.leader, &self.state);
        let outputs = self
            .setup
            .steps
            .run("Leader", || leader.handle(input, state, now));
        for output in outputs {
            self.perform_output(output);
        }
    }

    /// Sends a message to the hosts that it is for.
    fn publish(&self, to: &Audience, downward: Downward) {
        let message = Message::Downward(downward);
        let links = &self.setup.links;
        match to {
            Audience::All => links.send_all(self.subscribers.iter().copied(), &message),
            Audience::Host(host) => links.send(*host, message),
            Audience::Hosts(hosts) => links.send_all(hosts.iter().copied(), &message),
        }
    }

    /// Sends the hosts that have just got a view all further changes.
    fn subscribe(&mut self, to: Audience) {
        match to {
            Audience::All => {}
            Audience::Host(host) => {
                self.subscribers.insert(host);
            }
            Audience::Hosts(hosts) => self.subscribers.extend(hosts),
        }
    }

    /// Tells hosts the software of targets.
    fn publish_software(&self, to: &Audience, software: Vec<TargetSoftware>) {
        if !software.is_empty() {
            self.publish(to, Downward::Software(software));
        }
    }

    /// Records the software that a target states, and tells all hosts if it is new.
    pub(super) fn hear_software(&mut self, presence: &AnnouncedHeartbeat) {
        let now = self.now();
        let Some(software) = self.software.hear(presence, now) else {
            return;
        };
        tracing::info!(
            target = &*software.target, life = software.incarnation, version = &*software.version,
            services = ?presence.announcement.services,
            "target runs a version of its software"
        );
        self.publish_software(&Audience::All, vec![software]);
        let fleet = self.state.fleet();
        self.software.retain(|target| {
            fleet.get(target).is_some() || *target == presence.announcement.target
        });
    }

    /// Performs one output of the leader.
    pub(super) fn perform_output(&mut self, output: Output) {
        match output {
            Output::Propose(command) => self.propose(command.encode(), None),
            Output::Order(order) => self.send_order(order),
            Output::Publish { to, view } => {
                // Before the view, so that no host sends to a target of unknown software.
                let software = match to {
                    Audience::All => self.software.of_first_view(&view),
                    Audience::Host(_) | Audience::Hosts(_) => self.software.of_view(&view),
                };
                self.publish_software(&to, software);
                self.publish(&to, Downward::View(view));
                self.subscribe(to);
            }
            Output::Lease {
                host,
                incarnation,
                length,
                version,
            } => self.grant_lease(host, incarnation, length, version),
            Output::PlacementStep(step) => tracing::info!(
                target = &*step.target, action = ?step.action, reason = %step.reason,
                waiting = step.demand.waiting, running = step.demand.running,
                rate = step.demand.rate, copies = step.copies,
                "decided to send an order to a worker"
            ),
            Output::Inspect {
                target,
                incarnation,
            } => self.inspect(target, incarnation),
            Output::InForce { version } => self.settings_in_force = version,
            Output::RequestAnnouncement { target } => tracing::debug!(
                target = &*target,
                "message from a target incarnation that has not announced itself"
            ),
        }
    }

    /// Sends an order in a separate task; an order to an unknown incarnation counts as unsent.
    pub(super) fn send_order(&self, order: Order) {
        let Some(address) = self.address(&order.target, order.incarnation) else {
            let _ = self
                .setup
                .task_sender
                .send(TaskMessage::Order(order, Outcome::Unsent));
            return;
        };
        self.setup.metrics.increment(Count::Orders);
        let sending = orders::OrderTask {
            order,
            address,
            lease: self.lease.subscribe(),
            client: self.setup.client.clone(),
            task_sender: self.setup.task_sender.clone(),
            metrics: self.setup.metrics.clone(),
        };
        tokio::spawn(sending.run());
    }

    /// Queries a worker about its orders in a separate task.
    pub(super) fn inspect(&self, target: TargetId, incarnation: Incarnation) {
        let known = self.state.fleet().get_incarnation(&target, incarnation);
        let Some(known) = known.map(|known| &known.announcement) else {
            return;
        };
        let address = known.address;
        let service = known.services.first().cloned().unwrap_or_default();
        let client = self.setup.client.clone();
        let task_sender = self.setup.task_sender.clone();
        tokio::spawn(async move {
            let inspecting = client.inspect(address, &target, &service);
            let inspection = tokio::time::timeout(INSPECTION_TIMEOUT, inspecting).await;
            let inspection = inspection.ok().and_then(Result::ok);
            tracing::info!(
                target = &*target,
                ?inspection,
                "queried a worker about its orders"
            );
            let _ = task_sender.send(TaskMessage::Inspected {
                target,
                incarnation,
                inspection,
            });
        });
    }

    /// Returns the address at which an incarnation of a target accepts orders; `None` if unknown.
    pub(super) fn address(
        &self,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> Option<SocketAddr> {
        let target = self.state.fleet().get_incarnation(target, incarnation)?;
        Some(target.announcement.address)
    }

    /// Answers a host's lease renewal if this host's own lease proves that it still leads.
    pub(super) fn grant_lease(
        &self,
        host: HostId,
        incarnation: Incarnation,
        length: Duration,
        version: Version,
    ) {
        let Some(renewal) = self.renewals.get(&host) else {
            return;
        };
        let still_leading = self.setup.core.lease(self.now()).is_some();
        if !still_leading || renewal.peer.incarnation != incarnation {
            return;
        }
        let lease = Datagram::Lease {
            sequence: renewal.sequence,
            length,
            version,
            term: self.term,
            view: self.setup.leader.sequence(),
        };
        self.setup
            .datagrams
            .send(renewal.peer, renewal.address, lease);
        self.state_newest_table(renewal, true);
    }

    /// Answers a renewal with the version of the newest route table that this host has.
    pub(crate) fn state_newest_table(&self, renewal: &Renewal, leads: bool) {
        let newest = Datagram::NewestTable {
            sequence: renewal.sequence,
            version: self.state.current_table().version(),
            leads,
        };
        let datagrams = &self.setup.datagrams;
        datagrams.send(renewal.peer, renewal.address, newest);
    }

    /// Sends a host the newest route table that this host has, if the host's is older.
    pub(crate) fn send_newer_table(&self, host: HostId, held: Version) {
        let current = self.state.current_table();
        let Some(table) = current.table().filter(|table| table.version > held) else {
            return;
        };
        let version = table.version;
        tracing::info!(
            host,
            held,
            version,
            "sending a host the route table that it asked for"
        );
        let downward = Downward::of_table(table);
        self.setup.links.send(host, Message::Downward(downward));
    }

    /// Sends the answer to a host's question.
    pub(crate) fn send_answer(&self, host: HostId, call: u64, json: Bytes) {
        let downward = Downward::Answer { call, json };
        self.setup.links.send(host, Message::Downward(downward));
    }

    /// Tells a host that this host does not lead, and who does if that is known.
    pub(crate) fn send_not_leader(&self, host: HostId, call: Option<u64>, leader: Option<HostId>) {
        let leader = leader.and_then(|leader| self.peer_address(leader));
        let downward = Downward::NotLeader { leader, call };
        self.setup.links.send(host, Message::Downward(downward));
    }
}
