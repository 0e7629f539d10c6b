//! Proposals that are not yet applied.

use std::collections::BTreeMap;

use cornelhitch_types::id::{HostId, ModelId, ReplicaId, TargetId, Time};

use crate::command::Command;
use crate::output::Output;
use crate::turn::Turn;

/// The subject of a proposal; at most one proposal for each is in flight.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Topic {
    Register(TargetId),
    Silence(TargetId),
    Hold(TargetId),
    Dismiss(TargetId),
    Decide(TargetId, ModelId),
    Ready(ReplicaId),
    Retire(ReplicaId),
    Release(ReplicaId),
    HostEnded(HostId),
}

impl Topic {
    /// Returns the subject of a command; `None` for commands that the leader itself never proposes.
    fn of(command: &Command) -> Option<Self> {
        let topic = match command {
            Command::Register(announcement) => Self::Register(announcement.target.clone()),
            Command::Silence { target, .. } => Self::Silence(target.clone()),
            Command::Hold { target, .. } => Self::Hold(target.clone()),
            Command::Dismiss { target, .. } => Self::Dismiss(target.clone()),
            Command::Decide(it) => Self::Decide(it.target.clone(), it.model.clone()),
            Command::Ready { replica, .. } => Self::Ready(*replica),
            Command::Retire { replica } => Self::Retire(*replica),
            Command::Release { replica, .. } => Self::Release(*replica),
            Command::HostEnded { host, .. } => Self::HostEnded(*host),
            _ => return None,
        };
        Some(topic)
    }
}

/// The proposals in flight, with the time of each.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    topics: BTreeMap<Topic, Time>,
}

impl Pending {
    /// Proposes a command, unless one with the same subject is in flight.
    pub(crate) fn propose(&mut self, command: Command, turn: &mut Turn) {
        let Some(topic) = Topic::of(&command) else {
            return;
        };
        let lapsed = |at: &Time| turn.now >= *at + turn.timing.proposal;
        if self.topics.get(&topic).is_none_or(lapsed) {
            self.topics.insert(topic, turn.now);
            turn.out.push(Output::Propose(command));
        }
    }

    /// Records that a command was applied.
    pub(crate) fn applied(&mut self, command: &Command) {
        if let Some(topic) = Topic::of(command) {
            self.topics.remove(&topic);
        }
    }

    /// Returns whether a decision is in flight.
    pub(crate) fn is_deciding(&self, turn: &Turn) -> bool {
        let mut topics = self.topics.iter();
        topics.any(|(topic, at)| {
            matches!(topic, Topic::Decide(..)) && turn.now < *at + turn.timing.proposal
        })
    }

    /// Drops proposals that timed out.
    pub(crate) fn expire(&mut self, turn: &Turn) {
        self.topics
            .retain(|_, at| turn.now < *at + turn.timing.proposal);
    }
}
