//! The leader's state of each replica's orders.

use std::collections::BTreeMap;

use cornelhitch_types::id::{Name, ReplicaId, Time};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use crate::mutation::{self, Mutation};
use crate::replicas::{QUIET_BEATS, Replica};

/// The minimum interval between counted heartbeats, so that each stands for running time of the
/// worker: it also sends one at each change of its inventory.
const APART: Time = Time::from_millis(800);

/// The delivery status of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sent {
    /// This leader has not sent it.
    Never,
    /// It was sent, and its outcome is not known yet.
    Out {
        /// When it was sent.
        at: Time,
    },
    /// It may have arrived.
    Unknown {
        /// When its outcome became unknown.
        at: Time,
    },
    /// The worker answered it.
    Settled,
    /// It was never sent or was refused, and will not be sent again.
    Withheld,
}

impl Sent {
    /// Returns the name shown to operators.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Never => "never sent",
            Self::Out { .. } => "out",
            Self::Unknown { .. } => "unknown",
            Self::Settled => "answered",
            Self::Withheld => "withheld",
        }
    }
}

/// The state of one replica's orders.
#[derive(Debug, Clone)]
pub(crate) struct Track {
    /// Whether an earlier leader decided the replica, and may have sent any order for it.
    pub(crate) inherited: bool,
    /// The load order.
    pub(crate) load: Sent,
    /// The unload order.
    pub(crate) unload: Sent,
    /// Whether an order for the replica may still arrive.
    pub(crate) doubtful: bool,
    /// Heartbeats without the replica since an order was last sent or answered, or since the start
    /// of this term.
    pub(crate) calm: u64,
    /// When the last of them was counted.
    pub(crate) calmed: Option<Time>,
    /// The newest heartbeat when the unload was last sent.
    pub(crate) asked: u64,
    /// The newest heartbeat that showed the replica.
    pub(crate) seen: Option<u64>,
    /// When it was retired.
    pub(crate) retired: Option<Time>,
    /// When a request was last in progress on it.
    pub(crate) used: Time,
    /// The storage tier from which its weights were loaded.
    pub(crate) from: Stage,
    /// The adapters ready on it.
    pub(crate) adapters: Vec<Name>,
}

impl Track {
    /// Creates the state of a replica that this leader decided.
    pub(crate) fn new(from: Stage, now: Time) -> Self {
        Self {
            inherited: false,
            load: Sent::Never,
            unload: Sent::Never,
            doubtful: false,
            calm: 0,
            calmed: None,
            asked: 0,
            seen: None,
            retired: None,
            used: now,
            from,
            adapters: Vec::new(),
        }
    }

    /// Creates the state of a replica that an earlier leader decided.
    pub(crate) fn inherit(replica: &Replica, now: Time) -> Self {
        Self {
            inherited: true,
            doubtful: replica.state != State::Ready,
            retired: (replica.state == State::Retiring).then_some(now),
            ..Self::new(Stage::Remote, now)
        }
    }

    /// Returns whether no load order was ever sent.
    pub(crate) fn is_unsent(&self, replica: &Replica) -> bool {
        let unseen = self.seen.is_none() && replica.ready.is_none();
        let unsent = matches!(self.load, Sent::Never | Sent::Withheld);
        unseen && !replica.adopted && !self.inherited && unsent
    }

    /// Returns whether a heartbeat without the replica proves that it is gone and stays gone.
    ///
    /// `fencing` says that the worker refuses orders with an old fencing number, so that a load
    /// order is sent again until it is answered.
    pub(crate) fn is_gone(&self, replica: &Replica, fencing: bool, sequence: u64) -> bool {
        if !replica.absent(sequence) || mutation::is(Mutation::NoRelease) {
            return false;
        }
        if let Some(seen) = self.seen {
            return sequence > seen;
        }
        if replica.ready.is_some() {
            return true;
        }
        let resending = fencing && replica.state == State::Loading && !replica.adopted;
        let quiet = self.calm >= QUIET_BEATS || mutation::is(Mutation::EarlyRelease);
        match self.load {
            Sent::Out { .. } | Sent::Withheld => false,
            Sent::Unknown { .. } => quiet && !resending,
            Sent::Never => quiet && (replica.adopted || self.inherited && !resending),
            Sent::Settled => quiet,
        }
    }

    /// Restarts the count of heartbeats without the replica.
    pub(crate) fn stir(&mut self) {
        self.calm = 0;
    }

    /// Counts a heartbeat without the replica; several in quick succession count as one.
    pub(crate) fn rest(&mut self, now: Time) {
        if self.calmed.is_none_or(|calmed| now >= calmed + APART) {
            self.calmed = Some(now);
            self.calm += 1;
        }
    }

    /// Treats orders in flight since before a time as having an unknown outcome.
    pub(crate) fn lapse(&mut self, before: Time, now: Time) {
        for sent in [&mut self.load, &mut self.unload] {
            if matches!(sent, Sent::Out { at } if *at < before) {
                *sent = Sent::Unknown { at: now };
                self.doubtful = true;
            }
        }
    }
}

/// The order state of all replicas, by id.
#[derive(Debug, Default)]
pub(crate) struct Tracks(BTreeMap<ReplicaId, Track>);

impl std::ops::Deref for Tracks {
    type Target = BTreeMap<ReplicaId, Track>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl std::ops::DerefMut for Tracks {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}
