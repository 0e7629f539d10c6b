//! Requests of targets and operators to the leader through its registry listener.

use bytes::Bytes;
use cornelhitch_control::command::Command;
use cornelhitch_control::input::Input;
use cornelhitch_quorum::event::Event;
use cornelhitch_target::inbound;
use cornelhitch_types::id::{Incarnation, TargetId};

use super::{Control, Waiter};
use crate::registry::{Answer, NotLeader};
use crate::timestamped::TimestampedCommand;

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
        let is_table = matches!(command, Command::PublishTable(_));
        if !self.leading || (is_table && self.refuses_first_table()) {
            let _ = answer.send(Err(NotLeader));
            return;
        }
        let id = self.register_waiter(Waiter::Local(answer));
        let time = self.unix_time();
        let command = command.encode();
        let payload = TimestampedCommand { time, command }.encode();
        self.quorum_event(Event::Propose { id, payload });
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
