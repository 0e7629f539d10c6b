//! The actions that a core asks its owner to carry out.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_types::id::{CallerId, HostId, Incarnation, Name, ReplicaId, TargetId, Version};
use cornelhitch_types::quota;
use cornelhitch_types::refusal::Refusal;
use cornelhitch_types::target::RequestRate;
use serde::{Deserialize, Serialize};

use crate::claim;
use crate::event::{Attempt, CallId, Digest};
use crate::peer_load::PeerReport;
use crate::software::StreamBegun;
use crate::suspects::Suspicion;

/// The target that an attempt is sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The version of the target's software, if it states one.
    pub software: Option<Name>,
    /// The target's name.
    pub target: TargetId,
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The replica, or `None` for a service.
    pub replica: Option<ReplicaId>,
    /// The rank in the target's queue, 0 first, if it is not that of the request's route.
    pub rank: Option<u8>,
    /// Whether the target is known to name a limit, so that an answer without one tells its end.
    pub limited: bool,
    /// Whether a request that must not run twice may be sent on an idle connection whose target has
    /// stated how long it keeps it.
    pub reuse_stated: bool,
}

/// An action that a core asks its owner to carry out.
///
/// Exactly one of `Refuse`, `StreamError`, `Replay` and `Finish` ends a request towards its caller,
/// unless the caller disconnected first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Ask control to commit a claim to run a request with an idempotency key.
    Claim {
        /// The request that the claim is for.
        id: CallId,
        /// The caller that sent the request.
        caller: CallerId,
        /// The caller's idempotency key.
        key: Name,
        /// Digest of the request.
        digest: Digest,
    },
    /// Ask control to commit the outcome of a request with a key, and repeat it until `Recorded`
    /// arrives.
    Record {
        /// The request with the outcome.
        id: CallId,
        /// The caller that sent the request.
        caller: CallerId,
        /// The caller's idempotency key.
        key: Name,
        /// The outcome; the owner adds the response to `Answered`.
        outcome: claim::Outcome,
    },
    /// Connect to a target; write nothing before `Proceed`.
    Send {
        /// The request to send.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
        /// The target to connect to.
        to: Destination,
        /// Number of tokens that the caller already has, if a partial response is to be resumed.
        resume: Option<u64>,
    },
    /// The first byte of the request may be written.
    Proceed {
        /// The request to write.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
    },
    /// The response of this attempt may be forwarded to the caller.
    Deliver {
        /// The request that is being answered.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
    },
    /// The response is complete: end it towards the caller.
    Finish {
        /// The request that was answered.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
    },
    /// Cancel an attempt at the engine and close its connection.
    Cancel {
        /// The request of the attempt.
        id: CallId,
        /// The attempt's number.
        attempt: Attempt,
        /// The target that the attempt was sent to.
        target: TargetId,
    },
    /// Answer the request with a refusal.
    Refuse {
        /// The request to refuse.
        id: CallId,
        /// The refusal to send.
        refusal: Refusal,
    },
    /// End a response that has begun with an error that the caller can distinguish from a regular
    /// end.
    StreamError {
        /// The request whose response is ended.
        id: CallId,
        /// The refusal to report in the error.
        refusal: Refusal,
    },
    /// Answer with the response recorded for the same request.
    Replay {
        /// The request to answer.
        id: CallId,
        /// The recorded response, in the owner's own encoding.
        recorded: Bytes,
    },
    /// Report to control that a target failed with this request in flight.
    Strike {
        /// The request's fingerprint.
        fingerprint: u64,
        /// What it tells of the sections of the request's prompt.
        suspicion: Suspicion,
        /// The target that failed.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
        /// The number of strikes that this host now counts.
        strikes: u32,
    },
    /// Report to control that a request with strikes was answered completely, so that its strikes
    /// are cleared.
    ClearStrikes {
        /// The request's fingerprint.
        fingerprint: u64,
    },
    /// Report to control that a request with suspected prompt sections was answered completely.
    AcquitSections {
        /// The sections to clear.
        sections: Vec<u64>,
        /// Index of the newest log entry whose crashes were known when the request was sent.
        known: u64,
    },
    /// Ask control whether a request may run as a trial of its refused parts; answered by
    /// [`Event::TrialAnswered`](crate::event::Event::TrialAnswered).
    AskTrial {
        /// The request, which waits for the answer.
        id: CallId,
        /// The parts to try.
        parts: Vec<u64>,
    },
    /// Ask control which version of a service's software began a stream; answered by
    /// [`Event::OriginAnswered`](crate::event::Event::OriginAnswered).
    AskOrigin {
        /// The request, which waits for the answer.
        id: CallId,
        /// The service.
        service: Name,
        /// The digest of the attempt that brought the stream's first event, if the caller names one.
        attempt: Option<u64>,
    },
    /// Tell control which versions began streams.
    ReportStreams {
        /// The streams.
        streams: Vec<StreamBegun>,
    },
    /// Report to control which limit a target names.
    ReportLimit {
        /// The target.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
        /// The requests that it takes from all entry hosts together; `None` if it names no limit.
        limit: Option<RequestRate>,
    },
    /// Report to control that a target states that it leaves.
    ReportLeaving {
        /// The target.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
    },
    /// Record in the log that a target wants no requests from this host for a time.
    TargetPaused {
        /// The target.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
        /// The time that is kept to, from now on.
        pause: Duration,
    },
    /// Report to control that a target cannot be reached from this host.
    Suspect {
        /// The unreachable target.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
    },
    /// Try to connect to an ejected target and report `Probed`.
    Probe {
        /// The ejected target.
        target: TargetId,
        /// The address to connect to.
        address: SocketAddr,
    },
    /// Ask control to reserve a target for suspect requests from this host.
    Reserve {
        /// The target to reserve.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
    },
    /// Release a reservation.
    Unreserve {
        /// The reserved target.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
    },
    /// Tell other entry hosts of the region what this host has in flight; the message may be lost.
    TellPeers {
        /// The hosts, with the incarnations of their processes.
        hosts: Vec<(HostId, Incarnation)>,
        /// What this host has in flight.
        report: PeerReport,
    },
    /// Send a demand report now: a request waits for a model or adapter that is not ready anywhere.
    Report,
    /// Ask control for the complete view: changes were lost.
    RequestView {
        /// The last known sequence number.
        from: u64,
    },
    /// Ask a control host for its newest route table: it has not come with the view.
    RequestTable {
        /// The version in force on this host; 0 if there is none.
        held: Version,
    },
    /// The settings that control published cannot be used.
    BadSettings {
        /// The version of the settings.
        version: Version,
        /// The error found in them.
        error: String,
    },
    /// Close the listener: the addresses that callers have cached have expired.
    CloseListener,
    /// All requests have ended: the process may exit.
    Drained,
    /// Send the leader a report about teams' quotas; answered by
    /// [`Event::Quota`](crate::event::Event::Quota).
    ReportQuota(quota::Report),
}
