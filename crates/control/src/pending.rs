//! Proposals that are not yet applied.

use std::collections::BTreeMap;

use cornelhitch_types::id::{HostId, ModelId, ReplicaId, TargetId, Time};

use crate::command::Command;
use crate::context::Context;
use crate::output::Output;

/// The subject of a proposal; at most one proposal per subject is in flight.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum ProposalSubject {
    Register(TargetId),
    RecordSilence(TargetId),
    RecordHeld(TargetId),
    Deregister(TargetId),
    Decide(TargetId, ModelId),
    Ready(ReplicaId),
    Retire(ReplicaId),
    Release(ReplicaId),
    HostEnded(HostId),
    Survived(TargetId),
}

impl ProposalSubject {
    /// Returns the subject of a command; `None` for commands that the leader itself never proposes.
    fn of(command: &Command) -> Option<Self> {
        let subject = match command {
            Command::Register(announcement) => Self::Register(announcement.target.clone()),
            Command::RecordSilence { target, .. } => Self::RecordSilence(target.clone()),
            Command::RecordHeld { target, .. } => Self::RecordHeld(target.clone()),
            Command::Deregister { target, .. } => Self::Deregister(target.clone()),
            Command::Decide(it) => Self::Decide(it.target.clone(), it.model.clone()),
            Command::Ready { replica, .. } => Self::Ready(*replica),
            Command::Retire { replica } => Self::Retire(*replica),
            Command::Release { replica, .. } => Self::Release(*replica),
            Command::HostEnded { host, .. } => Self::HostEnded(*host),
            Command::Survived { target, .. } => Self::Survived(target.clone()),
            _ => return None,
        };
        Some(subject)
    }
}

/// The proposals in flight, with the time at which each was sent.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    proposals: BTreeMap<ProposalSubject, Time>,
}

impl Pending {
    /// Proposes a command, unless one with the same subject is in flight.
    pub(crate) fn propose(&mut self, command: Command, ctx: &mut Context) {
        let Some(subject) = ProposalSubject::of(&command) else {
            return;
        };
        let timed_out = |at: &Time| ctx.now >= *at + ctx.timing.proposal_timeout;
        if self.proposals.get(&subject).is_none_or(timed_out) {
            self.proposals.insert(subject, ctx.now);
            ctx.out.push(Output::Propose(command));
        }
    }

    /// Records that a command was applied.
    pub(crate) fn applied(&mut self, command: &Command) {
        if let Some(subject) = ProposalSubject::of(command) {
            self.proposals.remove(&subject);
        }
    }

    /// Returns whether a decision is in flight.
    pub(crate) fn is_deciding(&self, ctx: &Context) -> bool {
        let mut proposals = self.proposals.iter();
        proposals.any(|(subject, at)| {
            matches!(subject, ProposalSubject::Decide(..))
                && ctx.now < *at + ctx.timing.proposal_timeout
        })
    }

    /// Drops proposals that timed out.
    pub(crate) fn expire(&mut self, ctx: &Context) {
        self.proposals
            .retain(|_, at| ctx.now < *at + ctx.timing.proposal_timeout);
    }
}
