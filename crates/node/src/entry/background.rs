//! Calls to the leader and to targets that the entry core requests, each in its own task.

use std::time::Duration;

use cornelhitch_control::claims::{self, Claim, Finish, Holder, Key};
use cornelhitch_control::command::Command;
use cornelhitch_control::sections::{self, Acquittal};
use cornelhitch_entry::action::Action;
use cornelhitch_entry::claim;
use cornelhitch_entry::event::{CallId, Digest, Event};
use cornelhitch_entry::quarantine::COMMIT_TIMEOUT;
use cornelhitch_target::inbound::Receipt;
use cornelhitch_types::id::{CallerId, Incarnation, Name, TargetId};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::{Entry, Input};
use crate::claim_outcome;
use crate::message::{Question, Upward};
use crate::metrics::Count;
use crate::section_ids::SectionIds;

/// Timeout for committing a claim; after it the request is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for the leader's answer about the origin of a stream; after it the request is refused.
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for committing that a target leaves; targets try another host after a similar time.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for committing an outcome.
const RECORD_TIMEOUT: Duration = Duration::from_mins(1);

/// Timeout for a connection probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

impl Entry {
    /// Commits that a target leaves and sends the receipt only after the commit.
    pub(super) fn commit_leave(
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
            let committed = session.propose(leave.encode(), LEAVE_TIMEOUT).await;
            let answer = match committed {
                Ok(_) => Receipt::Accepted,
                Err(error) => {
                    tracing::info!(
                        %error, ?leave,
                        "commit of a leave not confirmed; target instructed to use another host"
                    );
                    Receipt::Unavailable
                }
            };
            let _ = receipt.send(answer);
        });
    }

    /// Commits that a target leaves, as it states in its answers.
    pub(super) fn report_leaving(&self, target: TargetId, incarnation: Incarnation) {
        tracing::info!(
            target = &*target,
            life = incarnation,
            "target states that it leaves: no more requests to it from this host"
        );
        let session = self.setup.session.clone();
        let leave = Command::Leave {
            target,
            incarnation,
        };
        tokio::spawn(async move {
            let committed = session.propose(leave.encode(), LEAVE_TIMEOUT).await;
            if let Err(error) = committed {
                tracing::info!(%error, ?leave, "commit of a leave not confirmed");
            }
        });
    }

    /// Logs that a target wants no requests from this host for a time, and tells the leader, which may
    /// run on this host.
    pub(super) fn report_pause(&self, target: TargetId, incarnation: Incarnation, pause: Duration) {
        let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        tracing::info!(
            target = &*target,
            life = incarnation,
            pause_ms,
            "target wants no requests from this host for a time"
        );
        self.setup.session.send(Upward::Paused {
            target,
            incarnation,
            pause,
        });
    }

    /// Claims the right to run a request with an idempotency key.
    pub(super) fn claim(&self, id: CallId, caller: CallerId, key: Name, digest: Digest) {
        let claim = Command::Claim(Claim {
            key: Key { caller, key },
            digest,
            holder: self.holder(),
            call: id,
            issued: None,
        });
        let session = self.setup.session.clone();
        let inputs = self.setup.input_sender.clone();
        tokio::spawn(async move {
            let reply = session.propose(claim.encode(), CLAIM_TIMEOUT).await;
            let reply = reply.map_or(claim::Reply::Unavailable, |bytes| {
                claim_outcome::claim_reply(&bytes)
            });
            let _ = inputs.send(Input::Event(Event::Claimed { id, reply }));
        });
    }

    /// Commits the outcome of a request with an idempotency key.
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
        let inputs = self.setup.input_sender.clone();
        tokio::spawn(async move {
            if session
                .propose(command.encode(), RECORD_TIMEOUT)
                .await
                .is_ok()
            {
                let _ = inputs.send(Input::Event(Event::Recorded { id }));
            }
        });
    }

    /// Commits strikes, or that they are cleared.
    pub(super) fn report_strikes(&self, action: Action) {
        match action {
            Action::Strike {
                fingerprint,
                suspicion,
                target,
                incarnation,
                strikes,
            } => {
                let strike = sections::Strike {
                    fingerprint,
                    sections: suspicion.sections,
                    target,
                    incarnation,
                    tried: suspicion.tried,
                };
                self.strike(strike, strikes);
            }
            Action::ClearStrikes { fingerprint } => self.clear_strikes(fingerprint),
            Action::AcquitSections { sections, known } => self.acquit_sections(sections, known),
            other => tracing::error!(?other, "unexpected action: not about strikes"),
        }
    }

    /// Commits a strike against a request whose target failed while running it.
    fn strike(&self, strike: sections::Strike, strikes: u32) {
        let fingerprint = strike.fingerprint;
        let (term, view) = self.setup.core.view_position();
        self.setup.metrics.increment(Count::Strikes);
        tracing::info!(
            fingerprint,
            sections = %SectionIds::from(&strike.sections[..]),
            tried = %SectionIds::from(&strike.tried[..]),
            target = &*strike.target,
            life = strike.incarnation,
            strikes,
            term,
            view,
            "strike counted: target failed while running the request"
        );
        let strike = Command::strike(strike);
        let session = self.setup.session.clone();
        let metrics = self.setup.metrics.clone();
        tokio::spawn(async move {
            let committed = session.propose(strike.encode(), COMMIT_TIMEOUT).await;
            if let Err(error) = committed {
                metrics.increment(Count::StrikesUnconfirmed);
                tracing::warn!(fingerprint, %error, "commit of a strike not confirmed");
            }
        });
    }

    /// Commits that a request with strikes was answered completely.
    fn clear_strikes(&self, fingerprint: u64) {
        tracing::info!(
            fingerprint,
            "request with strikes answered completely: strikes cleared"
        );
        let clear = Command::ClearStrikes { fingerprint };
        let session = self.setup.session.clone();
        tokio::spawn(async move {
            let committed = session.propose(clear.encode(), COMMIT_TIMEOUT).await;
            if let Err(error) = committed {
                tracing::warn!(fingerprint, %error, "commit of cleared strikes not confirmed");
            }
        });
    }

    /// Commits that a request with suspected prompt sections was answered completely.
    fn acquit_sections(&self, sections: Vec<u64>, known: u64) {
        let ids = SectionIds::from(&sections[..]);
        tracing::info!(
            sections = %ids,
            known,
            "request with suspected prompt sections answered completely: their crashes cleared"
        );
        let acquit = Command::AcquitSections(Acquittal { sections, known });
        let session = self.setup.session.clone();
        tokio::spawn(async move {
            let committed = session.propose(acquit.encode(), COMMIT_TIMEOUT).await;
            if let Err(error) = committed {
                tracing::warn!(
                    sections = %ids, %error,
                    "commit of cleared crashes not confirmed"
                );
            }
        });
    }

    /// Asks the leader what the core wants to know.
    pub(super) fn ask_leader(&self, action: Action) {
        match action {
            Action::Reserve {
                target,
                incarnation,
            } => self.reserve(target, incarnation),
            Action::AskTrial { id, parts } => self.ask_trial(id, parts),
            Action::AskOrigin {
                id,
                service,
                attempt,
            } => self.ask_origin(id, service, attempt),
            other => tracing::error!(?other, "unexpected action: not a question"),
        }
    }

    /// Asks the leader to reserve a target for suspect requests from this host only.
    fn reserve(&self, target: TargetId, incarnation: Incarnation) {
        let session = self.setup.session.clone();
        let inputs = self.setup.input_sender.clone();
        tokio::spawn(async move {
            let question = Question::Reserve {
                target: target.clone(),
                incarnation,
            };
            let answer = session.ask(question, CLAIM_TIMEOUT).await;
            let granted = answer.is_ok_and(|json| &json[..] == b"true");
            let _ = inputs.send(Input::Event(Event::Reserved {
                target,
                incarnation,
                granted,
            }));
        });
    }

    /// Asks the leader whether a request may run as a trial of its refused parts.
    fn ask_trial(&self, id: CallId, parts: Vec<u64>) {
        let session = self.setup.session.clone();
        let inputs = self.setup.input_sender.clone();
        tokio::spawn(async move {
            let answer = session.ask(Question::Trial(parts), CLAIM_TIMEOUT).await;
            let granted = answer.is_ok_and(|json| &json[..] == b"true");
            let _ = inputs.send(Input::Event(Event::TrialAnswered { id, granted }));
        });
    }

    /// Asks the leader which version began the stream that a request takes up.
    fn ask_origin(&self, id: CallId, service: Name, attempt: Option<u64>) {
        let session = self.setup.session.clone();
        let inputs = self.setup.input_sender.clone();
        let metrics = self.setup.metrics.clone();
        tokio::spawn(async move {
            let named = attempt.is_some();
            let question = Question::StreamOrigin { service, attempt };
            let answer = session.ask(question, ORIGIN_TIMEOUT).await;
            let answer = answer
                .inspect_err(|error| tracing::info!(%error, "the leader told no stream's origin"))
                .ok();
            let answer = answer.and_then(|json| {
                serde_json::from_slice(&json)
                    .inspect_err(|error| tracing::warn!(%error, "cannot read a stream's origin"))
                    .ok()
            });
            metrics.increment(Count::StreamsTakenUp);
            if answer.is_none() {
                metrics.increment(Count::StreamsUntold);
            }
            tracing::info!(call = id, named, ?answer, "caller takes up a stream");
            let _ = inputs.send(Input::Event(Event::OriginAnswered { id, answer }));
        });
    }

    /// Checks whether a target accepts TCP connections.
    pub(super) fn probe(&self, target: TargetId, address: std::net::SocketAddr) {
        let inputs = self.setup.input_sender.clone();
        tokio::spawn(async move {
            let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
            let connected = matches!(connecting.await, Ok(Ok(_)));
            let _ = inputs.send(Input::Event(Event::Probed { target, connected }));
        });
    }

    /// Returns the identity under which this host holds claims.
    fn holder(&self) -> Holder {
        Holder {
            host: self.setup.host.host,
            incarnation: self.setup.host.incarnation,
        }
    }
}
