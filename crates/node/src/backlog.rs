//! The messages that wait for the control task, in the order in which it handles them.
//!
//! Messages of the replicated log come before all others. Of those that only tell the newest level
//! of a sender (renewals, heartbeats, reports of demand and of quotas) the newest of each sender is
//! kept, so that an overloaded host handles them less often and not later and later. The classes take
//! turns, so that none of them waits for ever.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use cornelhitch_target::inbound;
use cornelhitch_types::demand::DemandReport;
use cornelhitch_types::id::{HostId, Incarnation, Name, TargetId};
use cornelhitch_types::quota;
use cornelhitch_types::target::AnnouncedHeartbeat;
use strum::{Display, EnumCount, EnumIter};

use crate::control::TaskMessage;
use crate::message::{Datagram, Incoming, Message, PeerEvent, Upward};

/// A message for the control task.
#[derive(Debug)]
pub enum Item {
    /// From a peer.
    Peer(Incoming),
    /// From another task of this process.
    Task(TaskMessage),
}

/// The classes of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// Messages of the replicated log, and what its disk has written.
    Consensus,
    /// What callers, operators, targets or workers wait for, and what is said only once.
    Command,
    /// What entry hosts hold of teams' quotas, and the requests that wait for more.
    Quota,
    /// Renewals of entry hosts' leases.
    Renewal,
    /// Heartbeats of targets.
    Heartbeat,
    /// Demand reports of entry hosts.
    Report,
}

/// The order in which the classes other than [`Class::Consensus`] take turns; one without messages
/// loses its turn.
const TURNS: [Class; 11] = [
    Class::Command,
    Class::Quota,
    Class::Renewal,
    Class::Command,
    Class::Quota,
    Class::Heartbeat,
    Class::Command,
    Class::Quota,
    Class::Renewal,
    Class::Report,
    Class::Heartbeat,
];

/// The newest message of each sender, in the order in which the senders began to wait.
#[derive(Debug)]
struct Levels<K> {
    order: VecDeque<K>,
    newest: HashMap<K, Item>,
}

impl<K> Default for Levels<K> {
    fn default() -> Self {
        Self {
            order: VecDeque::new(),
            newest: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Levels<K> {
    /// Keeps a sender's newest message; returns whether it replaces one.
    fn insert(&mut self, sender: K, item: Item) -> bool {
        let replaced = self.newest.insert(sender.clone(), item).is_some();
        if !replaced {
            self.order.push_back(sender);
        }
        replaced
    }

    /// Takes the message of the sender that has waited longest.
    fn pop(&mut self) -> Option<Item> {
        while let Some(sender) = self.order.pop_front() {
            if let Some(item) = self.newest.remove(&sender) {
                return Some(item);
            }
        }
        None
    }
}

/// The messages that wait for the control task.
#[derive(Debug, Default)]
pub struct Backlog {
    consensus: VecDeque<Item>,
    commands: VecDeque<Item>,
    quotas: Levels<HostId>,
    renewals: Levels<HostId>,
    heartbeats: Levels<TargetId>,
    reports: Levels<HostId>,
    turn: usize,
    superseded: u64,
}

impl Backlog {
    /// Adds a message.
    pub fn push(&mut self, item: Item) {
        match class(&item) {
            Class::Consensus => self.consensus.push_back(item),
            Class::Command => self.push_command(item),
            Class::Quota => self.push_quota(item),
            Class::Renewal => self.push_renewal(item),
            Class::Heartbeat => self.push_heartbeat(item),
            Class::Report => self.push_report(item),
        }
    }

    /// Takes the next message of the replicated log.
    pub fn pop_consensus(&mut self) -> Option<Item> {
        self.consensus.pop_front()
    }

    /// Takes the next message: one of the replicated log, or one of the class whose turn it is.
    pub fn pop(&mut self) -> Option<Item> {
        if let Some(item) = self.pop_consensus() {
            return Some(item);
        }
        for _ in TURNS {
            let class = TURNS[self.turn];
            self.turn = (self.turn + 1) % TURNS.len();
            if let Some(item) = self.pop_class(class) {
                return Some(item);
            }
        }
        None
    }

    /// Returns the number of messages that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        let queued = self.consensus.len() + self.commands.len();
        let levels = self.renewals.newest.len() + self.heartbeats.newest.len();
        queued + levels + self.reports.newest.len() + self.quotas.newest.len()
    }

    /// Returns whether no message waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many messages were replaced by newer ones since the last call.
    pub fn take_superseded(&mut self) -> u64 {
        std::mem::take(&mut self.superseded)
    }

    /// Takes the next message of a class.
    fn pop_class(&mut self, class: Class) -> Option<Item> {
        match class {
            Class::Consensus => self.consensus.pop_front(),
            Class::Command => self.commands.pop_front(),
            Class::Quota => self.quotas.pop(),
            Class::Renewal => self.renewals.pop(),
            Class::Heartbeat => self.heartbeats.pop(),
            Class::Report => self.reports.pop(),
        }
    }

    /// Adds a command. A target that leaves has said so last, whatever heartbeat of it waits.
    fn push_command(&mut self, item: Item) {
        if let Some(presence) = presence(&item) {
            let target = presence.heartbeat.target.clone();
            self.heartbeats.newest.remove(&target);
            self.heartbeats.order.retain(|waiting| *waiting != target);
        }
        self.commands.push_back(item);
    }

    /// Keeps the newest quota report of a host, with the accounts of those that it replaces: each account
    /// states totals and all its requests that wait.
    fn push_quota(&mut self, mut item: Item) {
        let Some((host, newer)) = quota_report_mut(&mut item) else {
            return;
        };
        let position = |it: &quota::Report| (it.incarnation, it.sequence);
        if let Some(waiting) = self.quotas.newest.get_mut(&host)
            && let Some((_, waiting)) = quota_report_mut(waiting)
        {
            self.superseded += 1;
            if position(newer) < position(waiting) {
                return;
            }
            if (newer.incarnation, newer.term) == (waiting.incarnation, waiting.term) {
                let older = std::mem::take(&mut waiting.accounts);
                let is_known = |team: &Name| newer.accounts.iter().any(|it| it.team == *team);
                let missing: Vec<_> = older.into_iter().filter(|it| !is_known(&it.team)).collect();
                newer.accounts.extend(missing);
            }
        }
        self.quotas.insert(host, item);
    }

    /// Keeps the newest renewal of a host.
    fn push_renewal(&mut self, item: Item) {
        let Some(newer) = renewal(&item) else {
            return;
        };
        let host = newer.host;
        let waiting = self.renewals.newest.get(&host).and_then(renewal);
        if waiting.is_some_and(|waiting| newer < waiting) {
            self.superseded += 1;
            return;
        }
        self.superseded += u64::from(self.renewals.insert(host, item));
    }

    /// Keeps the newest heartbeat of a target, with the cache events of those that it replaces.
    fn push_heartbeat(&mut self, mut item: Item) {
        let Some(newer) = presence(&item) else {
            return;
        };
        let target = newer.heartbeat.target.clone();
        let position = |it: &AnnouncedHeartbeat| (it.heartbeat.incarnation, it.heartbeat.sequence);
        let newer = position(newer);
        if let Some(waiting) = self
            .heartbeats
            .newest
            .get_mut(&target)
            .and_then(presence_mut)
        {
            self.superseded += 1;
            if newer < position(waiting) {
                return;
            }
            let mut cache = std::mem::take(&mut waiting.heartbeat.cache);
            let same = waiting.heartbeat.incarnation == newer.0;
            if let Some(newer) = presence_mut(&mut item).filter(|_| same) {
                cache.append(&mut newer.heartbeat.cache);
                newer.heartbeat.cache = cache;
            }
        }
        self.heartbeats.insert(target, item);
    }

    /// Keeps the newest report of a host.
    fn push_report(&mut self, item: Item) {
        let Some(newer) = report(&item) else {
            return;
        };
        let host = newer.host;
        let position = |it: &DemandReport| (it.incarnation, it.sequence);
        let waiting = self.reports.newest.get(&host).and_then(report);
        if waiting.is_some_and(|waiting| position(newer) < position(waiting)) {
            self.superseded += 1;
            return;
        }
        self.superseded += u64::from(self.reports.insert(host, item));
    }
}

/// Returns the class of a message.
#[must_use]
pub fn class(item: &Item) -> Class {
    match item {
        Item::Peer(incoming) => match &incoming.event {
            PeerEvent::Message(Message::Quorum(_)) => Class::Consensus,
            PeerEvent::Message(Message::Upward(Upward::Report(_))) => Class::Report,
            PeerEvent::Message(Message::Upward(Upward::Quota(_))) => Class::Quota,
            PeerEvent::Datagram(Datagram::Renew { .. }, _) => Class::Renewal,
            _ => presence_class(item),
        },
        Item::Task(TaskMessage::Written(_)) => Class::Consensus,
        Item::Task(_) => presence_class(item),
    }
}

/// Returns the class of a message that may be a heartbeat; one that says that its target leaves is
/// a command.
fn presence_class(item: &Item) -> Class {
    let presence = presence(item);
    if presence.is_some_and(|presence| !presence.heartbeat.leaving) {
        Class::Heartbeat
    } else {
        Class::Command
    }
}

/// Returns the heartbeat with its announcement, if the message is one.
fn presence(item: &Item) -> Option<&AnnouncedHeartbeat> {
    match item {
        Item::Peer(incoming) => match &incoming.event {
            PeerEvent::Message(Message::Upward(Upward::Presence(presence))) => Some(presence),
            _ => None,
        },
        Item::Task(TaskMessage::Target(message, _)) => match &**message {
            inbound::Message::Presence(presence) => Some(presence),
            _ => None,
        },
        Item::Task(_) => None,
    }
}

/// As [`presence`], to be changed.
fn presence_mut(item: &mut Item) -> Option<&mut AnnouncedHeartbeat> {
    match item {
        Item::Peer(incoming) => match &mut incoming.event {
            PeerEvent::Message(Message::Upward(Upward::Presence(presence))) => Some(presence),
            _ => None,
        },
        Item::Task(TaskMessage::Target(message, _)) => match &mut **message {
            inbound::Message::Presence(presence) => Some(presence),
            _ => None,
        },
        Item::Task(_) => None,
    }
}

/// The position of a renewal among those of its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RenewalPosition {
    host: HostId,
    incarnation: Incarnation,
    sequence: u64,
}

/// Returns the position of a renewal.
fn renewal(item: &Item) -> Option<RenewalPosition> {
    let Item::Peer(incoming) = item else {
        return None;
    };
    let PeerEvent::Datagram(Datagram::Renew { sequence, .. }, _) = &incoming.event else {
        return None;
    };
    Some(RenewalPosition {
        host: incoming.from.host,
        incarnation: incoming.from.incarnation,
        sequence: *sequence,
    })
}

/// Returns the report in a message.
fn report(item: &Item) -> Option<&DemandReport> {
    let Item::Peer(incoming) = item else {
        return None;
    };
    match &incoming.event {
        PeerEvent::Message(Message::Upward(Upward::Report(report))) => Some(report),
        _ => None,
    }
}

/// Returns the quota report in a message, with the host that sent it.
fn quota_report_mut(item: &mut Item) -> Option<(HostId, &mut quota::Report)> {
    let Item::Peer(incoming) = item else {
        return None;
    };
    match &mut incoming.event {
        PeerEvent::Message(Message::Upward(Upward::Quota(report))) => {
            Some((incoming.from.host, report))
        }
        _ => None,
    }
}
