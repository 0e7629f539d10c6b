//! The events that the leader handles.

use std::time::Duration;

use cornelhitch_types::demand::DemandReport;
use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, Incarnation, TargetId, Term};
use cornelhitch_types::order::{Order, Outcome};
use cornelhitch_types::target::{
    AnnouncedHeartbeat, Announcement, Heartbeat, Inspection, RequestRate,
};

use crate::command::{Command, Reply};

/// An event for the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// This host leads from now on, and its state holds every entry of earlier terms.
    Elected {
        /// The term that it leads.
        term: Term,
    },
    /// This host no longer leads.
    LeadershipLost,
    /// A committed command was applied to the state that is passed with this input.
    Applied {
        /// The command that was applied.
        command: Command,
        /// Its reply.
        reply: Reply,
    },
    /// A target announces its identity, address and capacity.
    Announcement(Announcement),
    /// A target reports its inventory and load.
    Heartbeat(Heartbeat),
    /// A target announces itself and reports its inventory and load.
    Presence(Box<AnnouncedHeartbeat>),
    /// An entry host reports its waiting and running requests.
    Report(DemandReport),
    /// An entry host renews its lease, and names the settings it acts on.
    Renewal(entry::Host),
    /// An order has an outcome.
    OrderDone {
        /// The order that was sent.
        order: Order,
        /// Its outcome, as far as it is known.
        outcome: Outcome,
    },
    /// An inspection has ended.
    Inspected {
        /// The worker that was inspected.
        target: TargetId,
        /// The incarnation that was inspected.
        incarnation: Incarnation,
        /// The answer; `None` if there was none.
        inspection: Option<Inspection>,
    },
    /// An entry host lost its connections to a target.
    ConnectionLost {
        /// The target that was lost.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A target names a limit in its answers to an entry host, or no longer does.
    LimitNamed {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The requests that it takes from all entry hosts together.
        limit: Option<RequestRate>,
    },
    /// A target states to the entry role of this host that it wants no requests from it for a time.
    TargetPaused {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The time, from now on.
        pause: Duration,
    },
    /// An entry host requests the changes to the view after a sequence number; 0 for the full view.
    Subscribe {
        /// The entry host.
        host: HostId,
        /// The term of the view that it has.
        term: Term,
        /// The sequence number that it has.
        sequence: u64,
    },
    /// The control host that took the heartbeats of these targets has fallen silent.
    HeartbeatsDelayed {
        /// The targets.
        targets: Vec<TargetId>,
    },
    /// Time has passed; due at least every 100 ms.
    Tick,
}
