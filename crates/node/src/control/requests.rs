//! Requests of targets and operators to the leader through its registry listener.

use bytes::Bytes;
use cornelhitch_control::command::{Command, Entry};
use cornelhitch_control::current_table::SubmittedTable;
use cornelhitch_control::input::Input;
use cornelhitch_control::submissions::Step;
use cornelhitch_quorum::event::Event;
use cornelhitch_target::inbound;
use cornelhitch_types::id::{Incarnation, TargetId};
use cornelhitch_types::target::AnnouncedHeartbeat;

use super::{Control, Waiter};
use crate::registry::{Answer, NotLeader};

impl Control {
    /// Handles a target's message.
    pub(super) fn target_message(&mut self, message: inbound::Message, answer: Answer<()>) {
        if !self.leading {
            let taken = match &message {
                inbound::Message::Presence(presence) => self.take_heartbeat(presence),
                _ => false,
            };
            let _ = answer.send(if taken { Ok(()) } else { Err(NotLeader) });
            return;
        }
        match message {
            inbound::Message::Announcement(announcement) => {
                self.handle(Input::Announcement(announcement));
            }
            inbound::Message::Heartbeat(heartbeat) => self.handle(Input::Heartbeat(heartbeat)),
            inbound::Message::Presence(presence) => {
                let leaving = presence.heartbeat.leaving;
                if !leaving && !self.admits(&presence) {
                    let _ = answer.send(Err(NotLeader));
                    return;
                }
                let (target, incarnation) = (
                    presence.heartbeat.target.clone(),
                    presence.heartbeat.incarnation,
                );
                self.hear_software(&presence);
                self.handle(Input::Presence(presence));
                if leaving {
                    return self.leave(target, Some(incarnation), answer);
                }
            }
            inbound::Message::Leaving(leaving) => {
                return self.leave(leaving.target, Some(leaving.incarnation), answer);
            }
            inbound::Message::Ended(ended) => {
                return self.leave(ended.target, ended.incarnation, answer);
            }
        }
        let _ = answer.send(Ok(()));
    }

    /// Returns whether there is room for a target and what it reports; logs that there is none.
    pub(super) fn admits(&mut self, presence: &AnnouncedHeartbeat) -> bool {
        let now = self.now();
        let target = &presence.heartbeat.target;
        let fleet = self.state.fleet();
        let is_known = |target: &TargetId| fleet.get(target).is_some();
        let max_targets = self.setup.leader.targets_limit();
        let has_room = if self.leading {
            // As many versions as targets.
            self.setup.leader.has_room_for(target, &self.state)
                && self.software.has_room_for(presence, max_targets, now)
        } else {
            is_known(target) || self.intake.has_room_for(target, max_targets)
        };
        let admits = has_room && self.setup.target_state.reserve(presence, is_known);
        if !admits && self.refused_targets.allow() {
            let targets = fleet.len();
            tracing::warn!(
                target = &**target,
                targets,
                "target's message refused: no room for further targets or versions, or for what it holds"
            );
        }
        admits
    }

    /// Commits that a target leaves and answers after the commit. An unknown incarnation is
    /// committed too, since this host may no longer lead.
    pub(super) fn leave(
        &mut self,
        target: TargetId,
        given: Option<Incarnation>,
        answer: Answer<()>,
    ) {
        let fleet = self.state.fleet();
        let known = fleet.get(&target);
        let current = known.map(|known| known.announcement.incarnation);
        let ended = given.is_some_and(|given| fleet.has_ended(&target, given));
        let leaving = known.is_some_and(|known| known.leaving);
        if ended || leaving && given.is_none_or(|given| Some(given) == current) {
            // Already committed, so every later leader has it too.
            let _ = answer.send(Ok(()));
            return;
        }
        let Some(incarnation) = given.or(current) else {
            // There is no incarnation to record. Committing an empty command proves that this host
            // still leads, and therefore that no other host has registered the target.
            return self.commit(&Command::Noop, answer);
        };
        tracing::info!(
            target = &*target,
            incarnation,
            "committing that a target leaves"
        );
        let command = Command::Leave {
            target,
            incarnation,
        };
        self.commit(&command, answer);
    }

    /// Commits a command and answers the local requester.
    pub(super) fn commit(&mut self, command: &Command, answer: Answer<()>) {
        if !self.leading {
            let _ = answer.send(Err(NotLeader));
            return;
        }
        self.propose_for(Waiter::Local(answer), command.encode());
    }

    /// Commits an operator's route table, unless it changes nothing, and answers the operator then.
    pub(super) fn submit_table(&mut self, submitted: SubmittedTable, answer: Answer<()>) {
        if !self.leading || self.refuses_first_table() {
            let _ = answer.send(Err(NotLeader));
            return;
        }
        let version = submitted.table.version;
        let in_force = self.state.current_table().table().map(|it| it.version);
        self.submissions.retain(|waiting| !waiting.is_closed());
        match self.submissions.submit(version, in_force, answer) {
            Step::Acknowledge(answer) => {
                tracing::info!(
                    version,
                    in_force,
                    "operator submitted a route table that changes nothing; acknowledging it"
                );
                let _ = answer.send(Ok(()));
            }
            Step::Wait => tracing::info!(
                version,
                "operator submitted a route table; it or a newer one is being committed"
            ),
            Step::Propose => {
                tracing::info!(version, "operator submitted a route table; committing it");
                let command = Command::publish_table(submitted);
                self.propose_for(Waiter::Table(version), command.encode());
            }
        }
    }

    /// Answers the operators whose route tables are now committed, by the entry at `place`.
    pub(super) fn acknowledge_tables(&mut self, place: &Entry) {
        let version = self.state.current_table().version();
        for answer in self.submissions.committed(version) {
            let (index, term) = (place.index, place.term);
            tracing::info!(
                version,
                index,
                term,
                "route table committed; acknowledging it"
            );
            let _ = answer.send(Ok(()));
        }
    }

    /// Whether the operator's first route table is refused until the group has more voters.
    fn refuses_first_table(&self) -> bool {
        let Some(policy) = self.setup.membership_policy else {
            return false;
        };
        let core = &self.setup.core;
        let (members, version) = (core.status().members, self.state.current_table().version());
        let refuses = |led_for| policy.refuses_first_configuration(&members, version, led_for);
        let is_refused = core.led_for(self.now()).is_some_and(refuses);
        if is_refused {
            tracing::info!(
                voters = members.voters().count(),
                wanted = policy.first_voters,
                "refusing the first route table: voters are missing"
            );
        }
        is_refused
    }

    /// Reads the route table's text once a quorum has confirmed that this host leads.
    pub(super) fn read_table(&mut self, answer: Answer<Option<Bytes>>) {
        if !self.leading {
            let _ = answer.send(Err(NotLeader));
            return;
        }
        let id = self.register_waiter(Waiter::Read(answer));
        self.quorum_event(Event::Barrier { id });
    }
}
