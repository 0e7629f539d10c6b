//! The leader's state of each replica's orders.

use std::collections::BTreeMap;

use cornelhitch_types::id::{Name, ReplicaId, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::mutation::{self, Mutation};
use crate::replicas::{QUIET_HEARTBEATS, Replica};

/// The minimum interval between counted heartbeats, so that each one represents running time of the
/// worker: a worker also sends a heartbeat at each change of its inventory.
const MIN_HEARTBEAT_SPACING: Time = Time::from_millis(800);

/// The delivery status of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderStatus {
    /// This leader has not sent it.
    NotSent,
    /// It was sent, and its outcome is not known yet.
    InFlight {
        /// When it was sent.
        at: Time,
    },
    /// It may have arrived.
    Unknown {
        /// When its outcome became unknown.
        at: Time,
    },
    /// The worker answered it.
    Answered,
    /// It was never sent or was refused, and will not be sent again.
    Withheld,
}

impl OrderStatus {
    /// Returns the name shown to operators.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NotSent => "never sent",
            Self::InFlight { .. } => "out",
            Self::Unknown { .. } => "unknown",
            Self::Answered => "answered",
            Self::Withheld => "withheld",
        }
    }
}

/// The state of one replica's orders.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaOrders {
    /// Whether an earlier leader decided the replica, and may have sent any order for it.
    pub(crate) inherited: bool,
    /// The load order.
    pub(crate) load: OrderStatus,
    /// The unload order.
    pub(crate) unload: OrderStatus,
    /// Whether an order for the replica may still arrive.
    pub(crate) may_arrive: bool,
    /// Heartbeats without the replica since an order was last sent or answered, or since the start
    /// of this term.
    pub(crate) absent_heartbeats: u64,
    /// When the last of them was counted.
    pub(crate) last_absent: Option<Time>,
    /// The newest heartbeat when the unload was last sent.
    pub(crate) unload_sequence: u64,
    /// The newest heartbeat that showed the replica.
    pub(crate) last_seen: Option<u64>,
    /// When it was retired.
    pub(crate) retired: Option<Time>,
    /// When a request was last in progress on it.
    pub(crate) last_used: Time,
    /// The storage tier from which its weights were loaded.
    pub(crate) from: Stage,
    /// The adapters ready on it.
    pub(crate) adapters: Vec<Name>,
}

impl ReplicaOrders {
    /// Creates the state of a replica that this leader decided.
    pub(crate) fn new(from: Stage, now: Time) -> Self {
        Self {
            inherited: false,
            load: OrderStatus::NotSent,
            unload: OrderStatus::NotSent,
            may_arrive: false,
            absent_heartbeats: 0,
            last_absent: None,
            unload_sequence: 0,
            last_seen: None,
            retired: None,
            last_used: now,
            from,
            adapters: Vec::new(),
        }
    }

    /// Creates the state of a replica that an earlier leader decided.
    pub(crate) fn inherit(replica: &Replica, now: Time) -> Self {
        Self {
            inherited: true,
            may_arrive: replica.state != State::Ready,
            retired: (replica.state == State::Retiring).then_some(now),
            ..Self::new(Stage::Remote, now)
        }
    }

    /// Returns whether no load order was ever sent.
    pub(crate) fn is_unsent(&self, replica: &Replica) -> bool {
        let unseen = self.last_seen.is_none() && replica.ready.is_none();
        let unsent = matches!(self.load, OrderStatus::NotSent | OrderStatus::Withheld);
        unseen && !replica.adopted && !self.inherited && unsent
    }

    /// Returns whether a heartbeat without the replica proves that it is gone and stays gone.
    ///
    /// `fencing` means that the worker refuses orders with an old fencing number, so that a load
    /// order is sent again until it is answered.
    pub(crate) fn is_gone(&self, replica: &Replica, fencing: bool, sequence: u64) -> bool {
        if !replica.is_proven_absent(sequence) || mutation::is(Mutation::NoRelease) {
            return false;
        }
        if let Some(seen) = self.last_seen {
            return sequence > seen;
        }
        if replica.ready.is_some() {
            return true;
        }
        let resending = fencing && replica.state == State::Loading && !replica.adopted;
        let quiet =
            self.absent_heartbeats >= QUIET_HEARTBEATS || mutation::is(Mutation::EarlyRelease);
        match self.load {
            OrderStatus::InFlight { .. } | OrderStatus::Withheld => false,
            OrderStatus::Unknown { .. } => quiet && !resending,
            OrderStatus::NotSent => quiet && (replica.adopted || self.inherited && !resending),
            OrderStatus::Answered => quiet,
        }
    }

    /// Restarts the count of heartbeats without the replica.
    pub(crate) fn reset_absence(&mut self) {
        self.absent_heartbeats = 0;
    }

    /// Counts a heartbeat without the replica; several in quick succession count as one.
    pub(crate) fn count_absence(&mut self, now: Time) {
        if self
            .last_absent
            .is_none_or(|last_absent| now >= last_absent + MIN_HEARTBEAT_SPACING)
        {
            self.last_absent = Some(now);
            self.absent_heartbeats += 1;
        }
    }

    /// Treats orders in flight since before a time as having an unknown outcome.
    pub(crate) fn expire_in_flight(&mut self, before: Time, now: Time) {
        for status in [&mut self.load, &mut self.unload] {
            if matches!(status, OrderStatus::InFlight { at } if *at < before) {
                *status = OrderStatus::Unknown { at: now };
                self.may_arrive = true;
            }
        }
    }
}

/// The order state of all replicas, by id.
#[derive(Debug, Default)]
pub(crate) struct OrdersByReplica(BTreeMap<ReplicaId, ReplicaOrders>);

impl std::ops::Deref for OrdersByReplica {
    type Target = BTreeMap<ReplicaId, ReplicaOrders>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl std::ops::DerefMut for OrdersByReplica {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}
