//! Registered targets, each with its incarnation.

use std::collections::{BTreeMap, VecDeque};

use cornelhitch_types::id::{Incarnation, TargetId, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::Announcement;
use serde::{Deserialize, Serialize};

/// The maximum number of targets remembered after they were dismissed or left unregistered.
pub const MAX_DISMISSED: usize = 16_384;

/// A registered target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The target's newest announcement.
    pub announcement: Announcement,
    /// When this incarnation was registered.
    pub since: Time,
    /// Whether it has been silent for long; its replicas then do not count against their model's
    /// limit, but its memory stays reserved.
    pub silent: bool,
    /// Whether it announced that it is leaving; this lasts for the rest of its incarnation.
    pub leaving: bool,
    /// The models last held by a worker that counts its orders, so that a new leader has them
    /// before the first heartbeat.
    pub held: Vec<Reference>,
}

/// The result of a command about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It was registered; an earlier incarnation and its reservations ended.
    Registered,
    /// The announcement is the same as before.
    Unchanged,
    /// Its address, location or services changed within the same incarnation.
    Changed,
    /// It was dismissed, or the change was recorded.
    Done,
    /// A newer incarnation is known, or this one has ended.
    Ended {
        /// The lowest incarnation that would be accepted.
        next: Incarnation,
    },
    /// Its memory, kind or fencing changed within the same incarnation; that needs a new one.
    Inconsistent,
    /// It has reservations, and no operator attests that the machine no longer runs.
    Reserved,
    /// There is no such target.
    Unknown,
}

/// A target that was dismissed, or that left unregistered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Dismissed {
    target: TargetId,
    next: Incarnation,
}

/// All registered targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    targets: BTreeMap<TargetId, Target>,
    dismissed: VecDeque<Dismissed>,
}

impl Fleet {
    /// Returns a target.
    #[must_use]
    pub fn get(&self, target: &str) -> Option<&Target> {
        self.targets.get(target)
    }

    /// Returns all targets in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there is no target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns a target if it is registered with this incarnation.
    #[must_use]
    pub fn get_incarnation(&self, target: &str, incarnation: Incarnation) -> Option<&Target> {
        self.get(target)
            .filter(|known| known.announcement.incarnation == incarnation)
    }

    /// Returns whether an incarnation has ended or left and will not be registered again.
    #[must_use]
    pub fn has_ended(&self, target: &str, incarnation: Incarnation) -> bool {
        let newer = self
            .get(target)
            .is_some_and(|known| incarnation < known.announcement.incarnation);
        newer
            || self
                .min_incarnation(target)
                .is_some_and(|next| incarnation < next)
    }

    /// Registers a target; on [`Answer::Registered`] the caller ends the reservations of the
    /// earlier incarnation.
    pub(crate) fn register(&mut self, announcement: Announcement, now: Time) -> Answer {
        if let Some(known) = self.targets.get_mut(&announcement.target) {
            let incarnation = known.announcement.incarnation;
            if announcement.incarnation < incarnation {
                return Answer::Ended { next: incarnation };
            }
            if announcement.incarnation == incarnation {
                return known.update(announcement);
            }
        }
        if let Some(next) = self.min_incarnation(&announcement.target)
            && announcement.incarnation < next
        {
            return Answer::Ended { next };
        }
        if let Some(next) = self.min_incarnation_at(&announcement) {
            return Answer::Ended { next };
        }
        self.dismiss_others_at(&announcement);
        let target = Target {
            announcement,
            since: now,
            silent: false,
            leaving: false,
            held: Vec::new(),
        };
        let name = target.announcement.target.clone();
        self.targets.insert(name, target);
        Answer::Registered
    }

    /// Removes a target; on [`Answer::Done`] the caller ends its reservations.
    pub(crate) fn deregister(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        attested: bool,
        reserved: bool,
    ) -> Answer {
        let Some(known) = self.get(target) else {
            return Answer::Unknown;
        };
        let current = known.announcement.incarnation;
        if incarnation < current {
            return Answer::Ended { next: current };
        }
        if reserved && !attested {
            return Answer::Reserved;
        }
        self.targets.remove(target);
        self.require_incarnation(target, current.saturating_add(u64::from(attested)));
        Answer::Done
    }

    /// Rejects incarnations of a target below `next` from now on.
    fn require_incarnation(&mut self, target: &TargetId, next: Incarnation) {
        let next = self
            .min_incarnation(target)
            .map_or(next, |known| known.max(next));
        self.dismissed
            .retain(|dismissed| dismissed.target != *target);
        self.dismissed.push_back(Dismissed {
            target: target.clone(),
            next,
        });
        if self.dismissed.len() > MAX_DISMISSED {
            self.dismissed.pop_front();
        }
    }

    /// Returns the lowest incarnation that could take over the announced address; `None` if no newer
    /// incarnation of another target has it.
    fn min_incarnation_at(&self, announcement: &Announcement) -> Option<Incarnation> {
        let mut others = self.others_at(announcement);
        let newer = others.find(|other| other.incarnation > announcement.incarnation);
        newer.map(|other| other.incarnation)
    }

    /// Deregisters older incarnations of other targets at the address of a new one.
    fn dismiss_others_at(&mut self, announcement: &Announcement) {
        let dismissed: Vec<TargetId> = self
            .others_at(announcement)
            .map(|other| other.target.clone())
            .collect();
        for target in dismissed {
            let incarnation = self
                .get(&target)
                .map_or(0, |it| it.announcement.incarnation);
            self.deregister(&target, incarnation, true, false);
        }
    }

    /// Returns other targets at the same address, where incarnations are ordered by their start.
    fn others_at<'a>(
        &'a self,
        announcement: &'a Announcement,
    ) -> impl Iterator<Item = &'a Announcement> {
        let all = self.targets.values().map(|known| &known.announcement);
        all.filter(|other| {
            let same = other.address == announcement.address;
            same && announcement.incarnation_is_start_time
                && other.incarnation_is_start_time
                && other.target != announcement.target
        })
    }

    /// Records what a worker holds.
    pub(crate) fn record_held(
        &mut self,
        target: &str,
        incarnation: Incarnation,
        held: Vec<Reference>,
    ) -> Answer {
        let Some(known) = self.targets.get_mut(target) else {
            return Answer::Unknown;
        };
        let current = known.announcement.incarnation;
        if incarnation != current {
            return Answer::Ended { next: current };
        }
        known.held = held;
        Answer::Done
    }

    /// Records that an incarnation of a target is leaving.
    ///
    /// An incarnation that is not registered will never be, because its earlier announcements may
    /// still arrive; an incarnation older than the registered one has ended.
    pub(crate) fn record_leaving(&mut self, target: &TargetId, incarnation: Incarnation) -> Answer {
        let known = self.targets.get_mut(target);
        let current = known.as_ref().map(|known| known.announcement.incarnation);
        if let Some(next) = current.filter(|current| incarnation < *current) {
            return Answer::Ended { next };
        }
        if let Some(known) = known {
            known.leaving = true;
        }
        if current != Some(incarnation) {
            self.require_incarnation(target, incarnation.saturating_add(1));
        }
        Answer::Done
    }

    /// Records whether a target is silent.
    pub(crate) fn record_silence(
        &mut self,
        target: &str,
        incarnation: Incarnation,
        silent: bool,
    ) -> Answer {
        let Some(known) = self.targets.get_mut(target) else {
            return Answer::Unknown;
        };
        let current = known.announcement.incarnation;
        if incarnation != current {
            return Answer::Ended { next: current };
        }
        known.silent = silent;
        Answer::Done
    }

    /// Returns the lowest incarnation with which a dismissed target is registered again.
    fn min_incarnation(&self, target: &str) -> Option<Incarnation> {
        let mut dismissed = self.dismissed.iter();
        dismissed
            .find(|dismissed| &*dismissed.target == target)
            .map(|dismissed| dismissed.next)
    }
}

impl Target {
    /// Applies a repeated announcement of the same incarnation.
    fn update(&mut self, announcement: Announcement) -> Answer {
        let old = &self.announcement;
        if *old == announcement {
            return Answer::Unchanged;
        }
        let same = old.memory == announcement.memory
            && old.kind == announcement.kind
            && old.fencing == announcement.fencing;
        if !same {
            return Answer::Inconsistent;
        }
        self.announcement = announcement;
        Answer::Changed
    }
}
