//! Messages between cornelhitch processes.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use cornelhitch_entry::peer_load::PeerReport;
use cornelhitch_entry::software::StreamBegun;
use cornelhitch_settings::process;
use cornelhitch_types::demand::DemandReport;
use cornelhitch_types::entry::Host;
use cornelhitch_types::guarded_table::GuardedTable;
use cornelhitch_types::id::{HostId, Incarnation, Name, TargetId, Term, Time, Version};
use cornelhitch_types::quota;
use cornelhitch_types::route::RouteTable;
use cornelhitch_types::target::{
    AnnouncedHeartbeat, Announcement, Heartbeat, RequestRate, TargetSoftware,
};
use cornelhitch_types::view::View;
use cornelhitch_wire::hello::ProcessId;
use serde::{Deserialize, Serialize};

use crate::intake::Forwarded;

/// A message over a link, encoded with postcard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Between voters: a message of the replicated log.
    Quorum(cornelhitch_quorum::message::Envelope),
    /// From a host to the leader.
    Upward(Upward),
    /// From the leader to a host, or from a voter that does not lead.
    Downward(Downward),
}

/// A message from a host to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Upward {
    /// Subscribes to view changes after the given sequence number.
    Subscribe {
        /// The term of the host's view.
        term: Term,
        /// The sequence number up to which the host has the view; 0 requests the full view.
        sequence: u64,
    },
    /// An entry host's demand report.
    Report(DemandReport),
    /// A target's announcement, received by an entry host.
    Announce(Announcement),
    /// A target's heartbeat, received by an entry host.
    Heartbeat(Heartbeat),
    /// A target's combined announcement and heartbeat, received by an entry host.
    Presence(Box<AnnouncedHeartbeat>),
    /// A target is leaving and accepts no new work.
    Leaving {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A target failed in a way that suggests that it no longer runs.
    Lost {
        /// The target.
        target: TargetId,
        /// The incarnation that failed.
        incarnation: Incarnation,
    },
    /// Releases the host's reservation of a target for suspect requests.
    Unreserve {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Requests the commit of a command.
    Propose {
        /// The host's number for this call.
        call: u64,
        /// The encoded command.
        command: Bytes,
    },
    /// Sends a query.
    Ask {
        /// The host's number for this call.
        call: u64,
        /// The query.
        question: Question,
    },
    /// A target names a limit in its answers, or no longer does.
    Limit {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The requests that it takes from all entry hosts together.
        limit: Option<RequestRate>,
    },
    /// A target wants no requests from the sending host for a time.
    Paused {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The time, from now on.
        pause: Time,
    },
    /// Streams that began at targets of a service that runs several versions of its software.
    StreamsBegun(Vec<StreamBegun>),
    /// Heartbeats that a control host has taken from targets.
    Heartbeats {
        /// The term of the leader that they are for.
        term: Term,
        /// The address at which the sender accepts messages from targets.
        registry: Option<SocketAddr>,
        /// The heartbeats.
        batch: Vec<Forwarded>,
    },
    /// Asks any control host for its route table, if that is newer.
    Table {
        /// The version that the host has; 0 if it has none.
        held: Version,
    },
    /// What an entry host holds of teams' quotas, and what it needs.
    Quota(quota::Report),
}

/// A query that only the leader can answer; the answer is JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// Whether a settings version, or a newer one, is in force on all hosts.
    InForce(Version),
    /// The last accepted settings and the version in force.
    Settings,
    /// The leader's state, with its decisions, observations and pending work.
    Status,
    /// An explanation of a model's current placement.
    Explain(String),
    /// Requests a membership change; answered once it has completed.
    Members(Membership),
    /// Reserves a target for suspect requests from the sending host.
    Reserve {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Whether one request may run as a trial of these parts.
    Trial(Vec<u64>),
    /// Which version of a service's software began a stream.
    StreamOrigin {
        /// The service.
        service: Name,
        /// The digest of the attempt that brought its first event, if the caller names one.
        attempt: Option<u64>,
    },
}

/// A membership change that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Membership {
    /// Add a host as a learner, which replicates the log without a vote.
    Add(ProcessId),
    /// Promote a learner to voter.
    Promote(HostId),
    /// Remove a voter or learner.
    Remove(HostId),
    /// Replace a voter with another host, or with the same host on a new disk.
    Replace {
        /// The voter to remove.
        old: HostId,
        /// The host to add, with its disk's incarnation.
        new: ProcessId,
    },
}

/// A message from a voter to a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Downward {
    /// The sender does not lead; the host has to try another voter.
    NotLeader {
        /// The leader and its address, if known.
        leader: Option<process::Peer>,
        /// The call that was not executed, if this answers one.
        call: Option<u64>,
    },
    /// The voters, which are the hosts that may lead from now on, with their addresses.
    Voters {
        /// The term of the leader that sends this.
        term: Term,
        /// The voters whose addresses are known.
        voters: Vec<process::Peer>,
        /// The address at which the leader accepts messages from targets and operators.
        registry: Option<SocketAddr>,
    },
    /// Changes to the view, or the full view.
    View(View),
    /// The command of a call was committed.
    Committed {
        /// The call.
        call: u64,
        /// The state machine's encoded reply.
        reply: Bytes,
    },
    /// The answer to a query.
    Answer {
        /// The call.
        call: u64,
        /// The answer as JSON.
        json: Bytes,
    },
    /// The software of targets that are in the next view, or that have stated it since.
    Software(Vec<TargetSoftware>),
    /// Heartbeats that a control host has taken have arrived.
    HeartbeatsTaken {
        /// The term of the leader.
        term: Term,
        /// Targets whose heartbeats the leader needs in full.
        missing: Vec<TargetId>,
    },
    /// The newest route table that the control host has.
    Table(Arc<RouteTable>),
    /// The newest route table that the control host has, if it has teams.
    GuardedTable(GuardedTable),
    /// The answer to a report about teams' quotas.
    Quota(quota::Answer),
}

impl Downward {
    /// Returns the message that carries a route table, which for a table without teams is
    /// [`Downward::Table`].
    #[must_use]
    pub fn of_table(table: &Arc<RouteTable>) -> Self {
        GuardedTable::of(table).map_or_else(|| Self::Table(table.clone()), Self::GuardedTable)
    }
}

/// The content of one datagram, encoded with postcard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// An entry host renews its lease.
    Renew {
        /// The number of this renewal in the host's incarnation.
        sequence: u64,
        /// The host's current state.
        host: Host,
        /// The term of the host's view.
        term: Term,
        /// The sequence number up to which the host has the view.
        view: u64,
    },
    /// The leader grants a lease.
    Lease {
        /// The number of the renewal that this answers.
        sequence: u64,
        /// The length of the lease, counted from the sending of the renewal.
        length: Time,
        /// The settings version that the lease is for.
        version: Version,
        /// The leader's term.
        term: Term,
        /// The newest sequence number of the leader's view.
        view: u64,
    },
    /// A control host, leading or not, states its newest route table.
    NewestTable {
        /// The number of the renewal that this answers.
        sequence: u64,
        /// The version of the table; 0 if there is none.
        version: Version,
        /// Whether the control host holds the leader's lease, so that no newer table is committed.
        leads: bool,
    },
    /// An entry host tells another one of its region what it has in flight.
    InFlight(PeerReport),
}

/// An event from a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The peer.
    pub from: ProcessId,
    /// What happened.
    pub event: PeerEvent,
}

/// The kinds of events from a peer.
#[derive(Debug)]
pub enum PeerEvent {
    /// This host opened a link to the peer; messages on it arrive in order.
    Linked,
    /// A message over a link.
    Message(Message),
    /// A datagram, with the address to answer.
    Datagram(Datagram, std::net::SocketAddr),
}
