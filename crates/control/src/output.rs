//! Actions that the leader returns for its owner to execute.

use std::time::Duration;

use cornelhitch_planner::hosting::PlannedOrder;
use cornelhitch_types::id::{HostId, Incarnation, TargetId, Version};
use cornelhitch_types::order::Order;
use cornelhitch_types::view::View;

use crate::command::Command;

/// The recipients of a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Audience {
    /// Every entry host that has a view of this term.
    All,
    /// One entry host.
    Host(HostId),
    /// Several entry hosts.
    Hosts(Vec<HostId>),
}

/// An action of the leader.
///
/// The owner checks its consensus lease right before it writes an order or a lease to a socket, and
/// drops them if it no longer leads.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Propose a command; a failure need not be reported.
    Propose(Command),
    /// Send an order, close the connection if no answer arrives, and report the outcome with
    /// [`Input::OrderDone`](crate::input::Input::OrderDone).
    Order(Order),
    /// Send a view.
    Publish {
        /// The recipients.
        to: Audience,
        /// The view to send.
        view: View,
    },
    /// Grant an entry host a lease.
    ///
    /// The lease is valid only while the host acts on these settings or newer ones, and counts from
    /// the moment at which the host sent its renewal.
    Lease {
        /// The entry host.
        host: HostId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The length of the lease.
        length: Duration,
        /// The version of the settings that it covers.
        version: Version,
    },
    /// Settings are in force at every entry host, and none can act on older ones.
    InForce {
        /// The version of the settings.
        version: Version,
    },
    /// A placement step was decided, for the log; its order follows separately.
    PlacementStep(PlannedOrder),
    /// Inspect a worker: ask how many orders it has accepted and what it holds.
    Inspect {
        /// The worker to inspect.
        target: TargetId,
        /// The incarnation to inspect.
        incarnation: Incarnation,
    },
    /// Ask a target to announce itself, because its incarnation is not registered.
    RequestAnnouncement {
        /// The target to ask.
        target: TargetId,
    },
}
