//! What targets and operators ask of the leader.

use bytes::Bytes;
use cornelhitch_control::command::Command;
use cornelhitch_control::input::Input;
use cornelhitch_quorum::event::Event;
use cornelhitch_target::inbound;
use cornelhitch_types::id::{Incarnation, TargetId};

use super::{Control, Waiting};
use crate::registry::{Answer, NotLeader};
use crate::stamp::Stamped;

impl Control {
    /// Takes what a target told here.
    pub(super) fn target(&mut self, message: inbound::Message, answer: Answer<()>) {
        if !self.leading {
            let _ = answer.send(Err(NotLeader));
            return;
        }
        match message {
            inbound::Message::Announcement(announcement) => {
                self.lead(Input::Announcement(announcement));
            }
            inbound::Message::Heartbeat(heartbeat) => self.lead(Input::Heartbeat(heartbeat)),
            inbound::Message::Presence(presence) => {
                let leaving = presence.heartbeat.leaving;
                let (target, life) = (
                    presence.heartbeat.target.clone(),
                    presence.heartbeat.incarnation,
                );
                self.lead(Input::Presence(presence));
                if leaving {
                    return self.leave(target, Some(life), answer);
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

    /// Commits that a target leaves, and says so once that is sure: also of a life that is not known
    /// here, since this host may lead no more.
    pub(super) fn leave(
        &mut self,
        target: TargetId,
        life: Option<Incarnation>,
        answer: Answer<()>,
    ) {
        let fleet = self.state.fleet();
        let known = fleet.get(&target);
        let current = known.map(|known| known.announcement.incarnation);
        let over = life.is_some_and(|life| fleet.is_over(&target, life));
        let left = known.is_some_and(|known| known.leaving);
        if over || left && life.is_none_or(|life| Some(life) == current) {
            // The log says so, and so does every later leader.
            let _ = answer.send(Ok(()));
            return;
        }
        let Some(incarnation) = life.or(current) else {
            // Nothing can be noted; that this host still leads shows that no other knows it.
            return self.commit(&Command::Nothing, answer);
        };
        tracing::info!(target = &*target, incarnation, "a target leaves");
        let command = Command::Leave {
            target,
            incarnation,
        };
        self.commit(&command, answer);
    }

    /// Commits a command for somebody here.
    pub(super) fn commit(&mut self, command: &Command, answer: Answer<()>) {
        if !self.leading {
            let _ = answer.send(Err(NotLeader));
            return;
        }
        let id = self.wait(Waiting::Local(answer));
        let time = self.unix();
        let command = command.encode();
        let payload = Stamped { time, command }.encode();
        self.event(Event::Propose { id, payload });
    }

    /// Reads the table of routes once a quorum has confirmed that this host leads.
    pub(super) fn read(&mut self, answer: Answer<Option<Bytes>>) {
        if !self.leading {
            let _ = answer.send(Err(NotLeader));
            return;
        }
        let id = self.wait(Waiting::Read(answer));
        self.event(Event::Barrier { id });
    }
}
