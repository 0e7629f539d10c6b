//! The state of one request from its arrival to its end.

use std::time::Duration;

use cornelhitch_types::id::{Incarnation, TargetId, Time};
use serde::Serialize;

use crate::cancelled::Suspect;
use crate::event::{Attempt, Request};
use crate::queue::{QueueKey, Rank};
use crate::quota::Charge;
use crate::route::Place;
use crate::software::SoftwareVersion;
use crate::suspects::{Knowledge, Suspicion};
use crate::witness::WITNESS_TIME;

/// The progress of a request over all its attempts; it never decreases, except by
/// [`Call::undo_run`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Progress {
    /// No byte was handed to a connection.
    Unsent,
    /// The first byte may have been written.
    Sent,
    /// A part of the response may have reached the caller.
    Begun,
}

/// An attempt in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RunningAttempt {
    /// The attempt's number.
    pub attempt: Attempt,
    /// The place that it was sent to.
    pub place: Place,
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// The progress of this attempt.
    #[serde(rename = "reach")]
    pub progress: Progress,
    /// When it was sent.
    pub since: Time,
    /// When its response began.
    pub begun: Option<Time>,
    /// Strikes of the request's fingerprint that were known when it was sent.
    pub strikes: u32,
    /// What was known of crashes when it was sent.
    pub known: Knowledge,
    /// Whether its response reports an error.
    pub error: bool,
    /// Whether it counts against a reservation for suspects.
    pub reserved: bool,
}

impl RunningAttempt {
    /// Whether it has delivered an answer, not an error, for some time.
    #[must_use]
    pub fn has_delivered(&self, now: Time) -> bool {
        let begun = self.begun.filter(|_| !self.error);
        begun.is_some_and(|begun| now >= begun + WITNESS_TIME)
    }
}

/// What a request is waiting for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Stage {
    /// Control's reply to its claim.
    Claiming,
    /// Control's answer whether it may run as a trial of its refused parts.
    AskingTrial,
    /// Control's answer which version began the stream that it takes up.
    AskingOrigin,
    /// The allowance of its team's quota.
    AwaitingAllowance,
    /// A place to run.
    Waiting,
    /// The end of an attempt.
    Running(RunningAttempt),
    /// The commit of its outcome; the caller already has the response.
    Recording,
}

/// The state of a request's claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Claim {
    /// The request needs no claim.
    None,
    /// Control has been asked to commit it and has not answered.
    Asked,
    /// Control has committed it.
    Granted,
}

/// Whether a response broke off because its target may have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Interruption {
    /// It did not.
    None,
    /// Once, after it had delivered for some time, which speaks for the request's sections.
    Lasting,
    /// Several times, or as it began.
    Other,
}

/// A request and its state.
#[derive(Debug, Clone, Serialize)]
pub struct Call {
    /// The request as it arrived.
    pub request: Request,
    /// The lane that the request waits in.
    pub key: QueueKey,
    /// The weight of its class or rank.
    pub weight: u32,
    /// Time of arrival.
    pub arrived: Time,
    /// When the response, or the beginning of a streamed one, is due.
    pub deadline: Time,
    /// When its timer fires.
    pub timer: Time,
    /// Its position in the lane.
    pub rank: Rank,
    /// Whether it may be sent again after its first byte was written.
    pub repeatable: bool,
    /// The state of its claim.
    pub claim: Claim,
    /// What it waits for.
    pub stage: Stage,
    /// Its progress over all attempts.
    #[serde(rename = "reach")]
    pub progress: Progress,
    /// Number of tokens that the caller has received.
    pub offset: u64,
    /// Number of attempts made.
    pub attempts: Attempt,
    /// Number of attempts whose first byte was handed to a connection.
    #[serde(rename = "arrivals")]
    pub sends: Attempt,
    /// Number of attempts that may have run.
    pub runs: Attempt,
    /// Targets on which it failed; they are tried again only if there are no others.
    pub failed: Vec<TargetId>,
    /// End of the current retry backoff.
    #[serde(rename = "pause")]
    pub retry_at: Time,
    /// Whether the caller has its final response or has disconnected.
    pub answered: bool,
    /// The version of the software that began its stream; `None` before the stream has begun.
    pub origin: Option<SoftwareVersion>,
    /// The refused parts that it is to try.
    pub tried: Vec<u64>,
    /// Until when it may be sent as their trial.
    pub trial_until: Time,
    /// What was known of crashes when the trial was granted; it lapses with any later one.
    pub tried_knowing: Knowledge,
    /// Whether its response stalled once and the attempt was cancelled for it.
    pub stalled: bool,
    /// Whether its response broke off.
    pub interruption: Interruption,
    /// What it was charged, if its team has a quota.
    pub charge: Option<Charge>,
}

impl Call {
    /// Returns the time since the request arrived.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.arrived)
    }

    /// Returns the attempt in progress, if it has this number.
    #[must_use]
    pub fn run(&self, attempt: Attempt) -> Option<&RunningAttempt> {
        match &self.stage {
            Stage::Running(run) if run.attempt == attempt => Some(run),
            _ => None,
        }
    }

    /// Returns what is struck if the target of an attempt ends now.
    ///
    /// A trial that has delivered for some time has got past the point at which sections end targets, so
    /// its end is no outcome for them. Whole contents end targets rarely enough to be told apart.
    #[must_use]
    pub fn suspect(&self, run: &RunningAttempt, now: Time) -> Suspect {
        let mut tried = self.tried.clone();
        if run.has_delivered(now) {
            tried.retain(|part| self.request.content() == Some(*part));
        }
        Suspect {
            fingerprint: self.request.fingerprint,
            suspicion: Suspicion {
                sections: self.request.part_ids(),
                tried,
            },
            strikes: run.strikes,
            instance: (run.place.target.clone(), run.incarnation),
        }
    }

    /// Undoes the count of an attempt that its target declares not to have run.
    pub fn undo_run(&mut self) {
        self.runs = self.runs.saturating_sub(1);
        if self.runs == 0 && self.progress == Progress::Sent {
            self.progress = Progress::Unsent;
        }
    }

    /// Whether the request may have run on as many targets as its route allows.
    #[must_use]
    pub fn attempts_exhausted(&self) -> bool {
        let terms = self.request.terms.as_ref();
        terms.is_some_and(|terms| self.runs >= terms.attempts)
    }

    /// Returns the attempt in progress.
    #[must_use]
    pub fn current_attempt(&self) -> Option<&RunningAttempt> {
        match &self.stage {
            Stage::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Returns the attempt in progress for modification, if it has this number.
    pub fn run_mut(&mut self, attempt: Attempt) -> Option<&mut RunningAttempt> {
        match &mut self.stage {
            Stage::Running(run) if run.attempt == attempt => Some(run),
            _ => None,
        }
    }

    /// Whether the request waits for a place.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.stage == Stage::Waiting
    }
}
