//! What has been promised so far in a schedule, and the rules over it.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_quorum::log::{Entry, Payload};
use cornelhitch_quorum::message::{Envelope, Message};
use cornelhitch_quorum::prelude::*;

use super::node::{Node, State};

/// Rounding of clocks and the steps between stamps.
const SLACK: Duration = Duration::from_micros(10);

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Rule {
    OneLeaderPerTerm,
    CommittedStays,
    LeaseExclusive,
    Linearizable,
    SameState,
    SyncedBeforeSent,
    OneChangeAtATime,
    Progress,
}

/// A rule that does not hold.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub detail: String,
}

pub type Check = Result<(), Violation>;

pub fn ensure(holds: bool, rule: Rule, detail: impl FnOnce() -> String) -> Check {
    if holds {
        Ok(())
    } else {
        Err(Violation {
            rule,
            detail: detail(),
        })
    }
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
struct Request {
    /// Entries up to here were committed somewhere when the client asked.
    floor: Index,
    /// The core said that it never takes effect.
    refused: bool,
    /// Where it took effect.
    index: Option<Index>,
}

/// What has been promised so far.
#[derive(Debug, Default)]
pub struct Ledger {
    leaders: BTreeMap<Term, Peer>,
    committed: BTreeMap<Index, Entry>,
    states: BTreeMap<Index, u64>,
    /// Until when a member's lease was promised, in real time.
    leases: BTreeMap<MemberId, Duration>,
    requests: BTreeMap<RequestId, Request>,
    /// Changes that are done, and requests that are rejected.
    pub outcomes: BTreeMap<RequestId, Result<(), Reason>>,
}

impl Ledger {
    pub fn last_committed(&self) -> Index {
        self.committed
            .last_key_value()
            .map_or(0, |(index, _)| *index)
    }

    pub fn ask(&mut self, id: RequestId) {
        let request = Request {
            floor: self.last_committed(),
            refused: false,
            index: None,
        };
        self.requests.insert(id, request);
    }

    /// A member became leader.
    pub fn lead(&mut self, peer: Peer, term: Term) -> Check {
        let leader = *self.leaders.entry(term).or_insert(peer);
        ensure(leader == peer, Rule::OneLeaderPerTerm, || {
            format!("{leader:?} and {peer:?} lead in term {term}")
        })
    }

    /// Compares what a member holds as committed with what any held before.
    pub fn compare(&mut self, node: &mut Node) -> Check {
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
            ensure(known == entry, Rule::CommittedStays, || {
                format!("{:?} commits {entry:?}, others {known:?}", node.peer)
            })?;
        }
        node.checked = node.checked.max(commit);
        self.count_changes(core, &status)?;
        if core.is_leader() {
            self.complete(core, &status)
        } else {
            Ok(())
        }
    }

    /// A leader holds all that is committed.
    fn complete(&self, core: &Core, status: &Status) -> Check {
        let newer = self
            .leaders
            .last_key_value()
            .is_some_and(|(term, _)| *term > status.term);
        let Some((index, entry)) = self.committed.last_key_value().filter(|_| !newer) else {
            return Ok(());
        };
        let held = core.entry(*index).is_none_or(|held| held == entry);
        ensure(held && status.last >= *index, Rule::CommittedStays, || {
            format!(
                "{:?} leads in term {} without {entry:?}",
                status.peer, status.term
            )
        })
    }

    /// No log holds two changes of members that are not committed anywhere.
    fn count_changes(&self, core: &Core, status: &Status) -> Check {
        let entries =
            (self.last_committed() + 1..=status.last).filter_map(|index| core.entry(index));
        let changes = entries
            .filter(|e| matches!(e.payload, Payload::Membership(_)))
            .count();
        ensure(changes <= 1, Rule::OneChangeAtATime, || {
            format!("{:?} has {changes} changes under way", status.peer)
        })
    }

    /// A member's state after an entry or a snapshot.
    pub fn state(&mut self, peer: Peer, state: State) -> Check {
        let known = *self.states.entry(state.index).or_insert(state.hash);
        ensure(known == state.hash, Rule::SameState, || {
            format!("{peer:?} has another state after entry {}", state.index)
        })
    }

    /// An entry is applied somewhere.
    pub fn applied(&mut self, id: RequestId, index: Index) -> Check {
        let Some(request) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        let twice = request.index.is_some_and(|at| at != index);
        request.index = Some(index);
        let Request { floor, refused, .. } = *request;
        ensure(
            !refused && !twice && index > floor,
            Rule::Linearizable,
            || format!("request {id} at {index}: floor {floor}, refused {refused}, twice {twice}"),
        )
    }

    /// The core said that a request never takes effect.
    pub fn refused(&mut self, id: RequestId) -> Check {
        let Some(request) = self.requests.get_mut(&id) else {
            return Ok(());
        };
        request.refused = true;
        ensure(request.index.is_none(), Rule::Linearizable, || {
            format!("request {id} is refused and takes effect")
        })
    }

    pub fn is_applied(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.index.is_some())
    }

    /// A read is answered from a member's state.
    pub fn read(&mut self, id: RequestId, applied: Index) -> Check {
        let floor = self.requests.get(&id).map_or(0, |request| request.floor);
        ensure(applied >= floor, Rule::Linearizable, || {
            format!("read {id} sees {applied}, and {floor} was committed before it")
        })
    }

    /// A member holds a lease now, until a real time.
    pub fn lease(&mut self, id: MemberId, now: Duration, until: Duration) -> Check {
        for (other, end) in &self.leases {
            ensure(
                *other == id || *end <= now + SLACK,
                Rule::LeaseExclusive,
                || format!("{id} holds a lease at {now:?}, and {other} until {end:?}"),
            )?;
        }
        let end = self.leases.entry(id).or_default();
        *end = until.max(*end);
        Ok(())
    }

    /// What a member says it has synced is synced.
    pub fn sent(node: &Node, envelope: &Envelope) -> Check {
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
                (hard_state.term >= envelope.term, "a candidacy")
            }
            _ => (true, ""),
        };
        ensure(holds, Rule::SyncedBeforeSent, || {
            format!(
                "{what} not synced: {envelope:?}, has {} in {hard_state:?}",
                recovered.last()
            )
        })
    }
}
