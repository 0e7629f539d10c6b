//! Records what members guaranteed during a schedule and checks the invariants.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_quorum::log::{Entry, Payload};
use cornelhitch_quorum::message::{Envelope, Message};
use cornelhitch_quorum::prelude::*;

use super::node::{Node, State};

/// Tolerance for clock rounding and the minimum step between stamps.
const CLOCK_TOLERANCE: Duration = Duration::from_micros(10);

/// The invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Invariant {
    OneLeaderPerTerm,
    CommittedStays,
    LeaseExclusive,
    Linearizable,
    SameState,
    SyncedBeforeSent,
    OneChangeAtATime,
    Progress,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    pub invariant: Invariant,
    pub detail: String,
}

pub type Check = Result<(), Violation>;

pub fn ensure(holds: bool, invariant: Invariant, detail: impl FnOnce() -> String) -> Check {
    if holds {
        Ok(())
    } else {
        Err(Violation {
            invariant,
            detail: detail(),
        })
    }
}

/// A client request.
#[derive(Clone, Copy, Debug)]
struct Request {
    /// Last index committed on any member when the client sent the request.
    committed_before: Index,
    /// Whether the core reported that the request never takes effect.
    rejected: bool,
    /// Index at which the request took effect.
    index: Option<Index>,
}

/// What members guaranteed so far.
#[derive(Debug, Default)]
pub struct Checker {
    leaders: BTreeMap<Term, Peer>,
    committed: BTreeMap<Index, Entry>,
    states: BTreeMap<Index, u64>,
    /// Latest lease expiry of each member, in real time.
    leases: BTreeMap<MemberId, Duration>,
    requests: BTreeMap<RequestId, Request>,
    /// Outcomes of completed membership changes and of rejected requests.
    pub outcomes: BTreeMap<RequestId, Result<(), RejectReason>>,
}

impl Checker {
    pub fn last_committed(&self) -> Index {
        self.committed
            .last_key_value()
            .map_or(0, |(index, _)| *index)
    }

    pub fn request_started(&mut self, id: RequestId) {
        let request = Request {
            committed_before: self.last_committed(),
            rejected: false,
            index: None,
        };
        self.requests.insert(id, request);
    }

    /// Checks that a new leader is the only one in its term.
    pub fn leader_elected(&mut self, peer: Peer, term: Term) -> Check {
        let leader = *self.leaders.entry(term).or_insert(peer);
        ensure(leader == peer, Invariant::OneLeaderPerTerm, || {
            format!("{leader:?} and {peer:?} lead in term {term}")
        })
    }

    /// Compares a member's committed entries with those committed earlier on any member.
    pub fn check_node(&mut self, node: &mut Node) -> Check {
        let Some(core) = &node.core else {
            return Ok(());
        };
        let status = core.status();
        let commit = status.commit;
        for index in node.checked + 1..=commit {
            let Some(entry) = core.entry(index) else {
                continue;
            };
            let known = self.committed.entry(index).or_insert_with(|| entry.clone());
            ensure(known == entry, Invariant::CommittedStays, || {
                format!(
                    "{:?} commits {entry:?}, another member committed {known:?}",
                    node.peer
                )
            })?;
        }
        node.checked = node.checked.max(commit);
        self.check_pending_changes(core, &status)?;
        if core.is_leader() {
            self.check_leader_log(core, &status)
        } else {
            Ok(())
        }
    }

    /// Checks that the leader has every committed entry.
    fn check_leader_log(&self, core: &Core, status: &Status) -> Check {
        let newer = self
            .leaders
            .last_key_value()
            .is_some_and(|(term, _)| *term > status.term);
        let Some((index, entry)) = self.committed.last_key_value().filter(|_| !newer) else {
            return Ok(());
        };
        let own = core.entry(*index).is_none_or(|own| own == entry);
        ensure(
            own && status.last >= *index,
            Invariant::CommittedStays,
            || {
                format!(
                    "{:?} leads in term {} without {entry:?}",
                    status.peer, status.term
                )
            },
        )
    }

    /// Checks that no log contains two membership changes that are not committed on any member.
    fn check_pending_changes(&self, core: &Core, status: &Status) -> Check {
        let entries =
            (self.last_committed() + 1..=status.last).filter_map(|index| core.entry(index));
        let changes = entries
            .filter(|e| matches!(e.payload, Payload::Membership(_)))
            .count();
        ensure(changes <= 1, Invariant::OneChangeAtATime, || {
            format!(
                "{:?} has {changes} uncommitted membership changes",
                status.peer
            )
        })
    }

    /// Checks that all members have the same state after an entry or a snapshot.
    pub fn state_changed(&mut self, peer: Peer, state: State) -> Check {
        let known = *self.states.entry(state.index).or_insert(state.hash);
        ensure(known == state.hash, Invariant::SameState, || {
            format!(
                "{peer:?} differs from another member in its state after entry {}",
                state.index
            )
        })
    }

    /// Checks that a request takes effect once, after everything committed before it, and not after
    /// it was rejected.
    pub fn entry_applied(&mut self, id: RequestId, index: Index) -> Check {
        let Some(request) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        let applied_twice = request.index.is_some_and(|at| at != index);
        request.index = Some(index);
        let Request {
            committed_before,
            rejected,
            ..
        } = *request;
        ensure(
            !rejected && !applied_twice && index > committed_before,
            Invariant::Linearizable,
            || {
                format!(
                    "request {id} applied at {index}: committed before {committed_before}, rejected {rejected}, twice {applied_twice}"
                )
            },
        )
    }

    /// Checks that a request that the core reported as never taking effect has not taken effect.
    pub fn request_rejected(&mut self, id: RequestId) -> Check {
        let Some(request) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        request.rejected = true;
        ensure(request.index.is_none(), Invariant::Linearizable, || {
            format!("request {id} is rejected but has taken effect")
        })
    }

    pub fn is_applied(&self, id: RequestId) -> bool {
        self.applied_at(id).is_some()
    }

    /// The index at which a request took effect.
    pub fn applied_at(&self, id: RequestId) -> Option<Index> {
        self.requests.get(&id).and_then(|request| request.index)
    }

    /// Checks that a read reflects everything committed before it.
    pub fn read_completed(&mut self, id: RequestId, applied: Index) -> Check {
        let committed_before = self
            .requests
            .get(&id)
            .map_or(0, |request| request.committed_before);
        ensure(applied >= committed_before, Invariant::Linearizable, || {
            format!(
                "read {id} sees index {applied}, but {committed_before} was committed before it"
            )
        })
    }

    /// Checks that no other member's lease overlaps with this one, in real time.
    pub fn lease_held(&mut self, id: MemberId, now: Duration, until: Duration) -> Check {
        for (other, end) in &self.leases {
            ensure(
                *other == id || *end <= now + CLOCK_TOLERANCE,
                Invariant::LeaseExclusive,
                || format!("{id} holds a lease at {now:?}, but {other} holds one until {end:?}"),
            )?;
        }
        let end = self.leases.entry(id).or_default();
        *end = until.max(*end);
        Ok(())
    }

    /// Checks that everything a message acknowledges as synced is synced.
    pub fn message_sent(node: &Node, envelope: &Envelope) -> Check {
        let recovered = node.disk.memory.synced();
        let hard_state = recovered.hard_state;
        let (holds, what) = match &envelope.message {
            Message::AppendResponse(answer) => (recovered.last() >= answer.durable, "entries"),
            Message::VoteResponse(voted) if voted.granted && !voted.pre_vote => {
                let other = hard_state.term == envelope.term
                    && hard_state
                        .voted_for
                        .is_some_and(|vote| vote.id != envelope.to);
                (hard_state.term >= envelope.term && !other, "a vote")
            }
            Message::RequestVote(vote) if !vote.pre_vote => {
                (hard_state.term >= envelope.term, "a vote request")
            }
            _ => (true, ""),
        };
        ensure(holds, Invariant::SyncedBeforeSent, || {
            format!(
                "{what} not synced: {envelope:?}, synced up to {} in {hard_state:?}",
                recovered.last()
            )
        })
    }
}
