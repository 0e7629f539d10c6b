//! What the leader is told.

use cornelhitch_types::demand::Report;
use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, Incarnation, TargetId, Term};
use cornelhitch_types::order::{Order, Outcome};
use cornelhitch_types::target::{Announcement, Heartbeat, Inspection, Presence};

use crate::command::{Command, Reply};

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// This host leads from now on, and its state holds every entry of earlier terms.
    Elected {
        /// The term.
        term: Term,
    },
    /// This host no longer leads.
    Deposed,
    /// A committed command was applied to the state that comes with this input.
    Applied {
        /// The command.
        command: Command,
        /// What became of it.
        reply: Reply,
    },
    /// A target says what it is.
    Announcement(Announcement),
    /// A target says how it is.
    Heartbeat(Heartbeat),
    /// A target says what it is and how it is.
    Presence(Box<Presence>),
    /// An entry host says what waits and runs.
    Report(Report),
    /// An entry host asks for its lease, and says which settings it acts on.
    Renewal(entry::Host),
    /// An order that was given out has an outcome.
    OrderDone {
        /// The order.
        order: Order,
        /// What is known of it.
        outcome: Outcome,
    },
    /// A worker was asked about its orders.
    Inspected {
        /// The worker.
        target: TargetId,
        /// The life that was asked.
        incarnation: Incarnation,
        /// Its answer, if it gave one.
        inspection: Option<Inspection>,
    },
    /// An entry host lost its connections to a target.
    Lost {
        /// The target.
        target: TargetId,
        /// Its life.
        incarnation: Incarnation,
    },
    /// An entry host wants the view from a sequence number on; 0 for the whole.
    Subscribe {
        /// The entry host.
        host: HostId,
        /// The term of the view that it has.
        term: Term,
        /// The sequence number that it has.
        sequence: u64,
    },
    /// Time has passed; at least every 100 ms.
    Tick,
}
