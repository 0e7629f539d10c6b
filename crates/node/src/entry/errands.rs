//! What an entry host asks of control and of targets for its core, each in a task of its own.

use std::time::Duration;

use cornelhitch_control::claims::{self, Claim, Finish, Holder, Key};
use cornelhitch_control::command::Command;
use cornelhitch_control::strikes::Strike;
use cornelhitch_entry::claim;
use cornelhitch_entry::event::{CallId, Digest, Event};
use cornelhitch_target::inbound::Receipt;
use cornelhitch_types::id::{CallerId, Incarnation, Name, TargetId};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::{Entry, Input};
use crate::message::Question;
use crate::outcome;

/// Time that a claim may take before the request is refused.
const CLAIM: Duration = Duration::from_secs(5);

/// Time that the commit of a target's farewell may take; targets ask another host after a time of this
/// order.
const FAREWELL: Duration = Duration::from_secs(3);

/// Time that the record of an outcome may take.
const RECORD: Duration = Duration::from_mins(1);

/// Time that a probe may take.
const PROBE: Duration = Duration::from_secs(1);

impl Entry {
    /// Has it committed that a target leaves, and says so to the target only then.
    pub(super) fn farewell(
        &self,
        target: TargetId,
        incarnation: Incarnation,
        receipt: oneshot::Sender<Receipt>,
    ) {
        let session = self.setup.session.clone();
        let leave = Command::Leave {
            target,
            incarnation,
        };
        tokio::spawn(async move {
            let committed = session.propose(leave.encode(), FAREWELL).await;
            let answer = match committed {
                Ok(_) => Receipt::Taken,
                Err(error) => {
                    tracing::info!(%error, ?leave, "a farewell is not committed");
                    Receipt::Elsewhere
                }
            };
            let _ = receipt.send(answer);
        });
    }

    /// Asks control for the right to run a request with a key.
    pub(super) fn claim(&self, id: CallId, caller: CallerId, key: Name, digest: Digest) {
        let claim = Command::Claim(Claim {
            key: Key { caller, key },
            digest,
            holder: self.holder(),
            call: id,
            issued: None,
        });
        let session = self.setup.session.clone();
        let inputs = self.setup.input.clone();
        tokio::spawn(async move {
            let reply = session.propose(claim.encode(), CLAIM).await;
            let reply = reply.map_or(claim::Reply::Unavailable, |bytes| outcome::claimed(&bytes));
            let _ = inputs.send(Input::Event(Event::Claimed { id, reply }));
        });
    }

    /// Asks control to commit the outcome of a request with a key.
    pub(super) fn record(
        &mut self,
        id: CallId,
        caller: CallerId,
        key: Name,
        outcome: claim::Outcome,
    ) {
        let answer = self.answers.remove(&id);
        let key = Key { caller, key };
        let holder = self.holder();
        let command = match outcome {
            claim::Outcome::NotRun => Command::Abandon {
                key,
                holder,
                call: id,
            },
            claim::Outcome::Answered | claim::Outcome::Unknown => {
                let answer = answer.filter(|_| outcome == claim::Outcome::Answered);
                let outcome = answer.map_or(claims::Outcome::Unknown, claims::Outcome::from);
                Command::Finish(Finish {
                    key,
                    holder,
                    call: id,
                    outcome,
                })
            }
        };
        let session = self.setup.session.clone();
        let inputs = self.setup.input.clone();
        tokio::spawn(async move {
            if session.propose(command.encode(), RECORD).await.is_ok() {
                let _ = inputs.send(Input::Event(Event::Recorded { id }));
            }
        });
    }

    /// Tells control of a target that failed with a request in progress.
    pub(super) fn strike(&self, fingerprint: u64, target: TargetId, incarnation: Incarnation) {
        let strike = Command::Strike(Strike {
            fingerprints: vec![fingerprint],
            target,
            incarnation,
        });
        let session = self.setup.session.clone();
        tokio::spawn(async move { session.propose(strike.encode(), RECORD).await });
    }

    /// Asks the leader to let suspect requests to a target come from here only.
    pub(super) fn reserve(&self, target: TargetId, incarnation: Incarnation) {
        let session = self.setup.session.clone();
        let inputs = self.setup.input.clone();
        tokio::spawn(async move {
            let question = Question::Reserve {
                target: target.clone(),
                incarnation,
            };
            let answer = session.ask(question, CLAIM).await;
            let granted = answer.is_ok_and(|json| &json[..] == b"true");
            let _ = inputs.send(Input::Event(Event::Reserved {
                target,
                incarnation,
                granted,
            }));
        });
    }

    /// Tries to connect to a target.
    pub(super) fn probe(&self, target: TargetId, address: std::net::SocketAddr) {
        let inputs = self.setup.input.clone();
        tokio::spawn(async move {
            let connecting = tokio::time::timeout(PROBE, TcpStream::connect(address));
            let connected = matches!(connecting.await, Ok(Ok(_)));
            let _ = inputs.send(Input::Event(Event::Probed { target, connected }));
        });
    }

    /// This life of this host, which holds claims.
    fn holder(&self) -> Holder {
        Holder {
            host: self.setup.host.host,
            incarnation: self.setup.host.incarnation,
        }
    }
}
