//! Messages between cornelhitch processes.

use std::net::SocketAddr;

use bytes::Bytes;
use cornelhitch_settings::process;
use cornelhitch_types::demand::DemandReport;
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::{HostId, Incarnation, TargetId, Term, Time, Version};
use cornelhitch_types::target::{AnnouncedHeartbeat, Announcement, Heartbeat};
use cornelhitch_types::view::View;
use cornelhitch_wire::hello::ProcessId;
use serde::{Deserialize, Serialize};

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
        /// The sequence number up to which the host has the view; 0 asks for the whole view.
        sequence: u64,
    },
    /// The demand that an entry host sees.
    Report(DemandReport),
    /// A target's announcement, received by an entry host.
    Announce(Announcement),
    /// A target's heartbeat, received by an entry host.
    Heartbeat(Heartbeat),
    /// A target's combined announcement and heartbeat, received by an entry host.
    Presence(Box<AnnouncedHeartbeat>),
    /// A target leaves and takes no new work.
    Leaving {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A target failed in a way that suggests that it is gone.
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
    /// Asks to commit a command.
    Propose {
        /// The host's number for this call.
        call: u64,
        /// The encoded command.
        command: Bytes,
    },
    /// Asks a question.
    Ask {
        /// The host's number for this call.
        call: u64,
        /// The question.
        question: Question,
    },
}

/// A question that only the leader can answer; the answer is JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// Is a settings version, or a newer one, in force on all hosts?
    InForce(Version),
    /// Which settings were accepted last, and which version is in force?
    Settings,
    /// What is the leader's state, with its decisions, observations and pending work?
    Status,
    /// Why is a model placed as it is?
    Explain(String),
    /// Asks for a membership change; answered once it is done.
    Members(Membership),
    /// May suspect requests to a target come from the asking host only?
    Reserve {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
}

/// A membership change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Membership {
    /// Add a host as a learner, which replicates the log without a vote.
    Add(ProcessId),
    /// Promote a learner to voter.
    Promote(HostId),
    /// Remove a voter or learner.
    Remove(HostId),
    /// Replace a voter by another host, or by itself with a new disk.
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
    /// The sender does not lead; ask another voter.
    NotLeader {
        /// The leader and its address, if known.
        leader: Option<process::Peer>,
        /// The call that was not carried out, if the host made one.
        call: Option<u64>,
    },
    /// The voters, which are the hosts that may lead from now on, with their addresses.
    Voters {
        /// The term of the leader that sends this.
        term: Term,
        /// The voters whose addresses are known.
        voters: Vec<process::Peer>,
        /// Where the leader takes messages from targets and operators.
        registry: Option<SocketAddr>,
    },
    /// Changes of the view, or the whole view.
    View(View),
    /// The command of a call was committed.
    Committed {
        /// The call.
        call: u64,
        /// The state machine's encoded reply.
        reply: Bytes,
    },
    /// The answer to a question.
    Answer {
        /// The call.
        call: u64,
        /// The answer as JSON.
        json: Bytes,
    },
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
}

/// An event from a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The peer.
    pub from: ProcessId,
    /// What happened.
    pub event: PeerEvent,
}

/// What can come from a peer.
#[derive(Debug)]
pub enum PeerEvent {
    /// This host opened a link to the peer; messages on it arrive in order.
    Linked,
    /// A message over a link.
    Message(Message),
    /// A datagram, with the address to answer.
    Datagram(Datagram, std::net::SocketAddr),
}
