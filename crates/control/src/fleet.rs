//! Targets that announced themselves, each with its incarnation.

use std::collections::{BTreeMap, VecDeque};

use cornelhitch_types::id::{Incarnation, TargetId, Time};
use cornelhitch_types::model::Reference;
use cornelhitch_types::target::Announcement;
use serde::{Deserialize, Serialize};

/// Targets that are remembered after they were dismissed, or left before they were known.
pub const DISMISSED: usize = 16_384;

/// A target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// What it said of itself.
    pub announcement: Announcement,
    /// When this life was registered.
    pub since: Time,
    /// Whether it has been silent for long; its replicas then don't count against their model's
    /// limit, but its memory stays reserved.
    pub silent: bool,
    /// Whether it said that it leaves; that lasts for its life.
    pub leaving: bool,
    /// What a worker that counts its orders held last, so that a new leader knows it at once.
    pub held: Vec<Reference>,
}

/// What became of a command about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It was taken in; an earlier life and its reservations ended.
    Registered,
    /// It stands as it was said.
    Unchanged,
    /// Its address, place or services changed within one life.
    Changed,
    /// It was let go, or its silence was noted.
    Done,
    /// A newer life is known, or this one was dismissed as ended.
    Ended {
        /// The first incarnation that would be taken.
        next: Incarnation,
    },
    /// Within one life its memory, kind or fencing changed; that needs a new incarnation.
    Inconsistent,
    /// Reservations stand, and nobody attests that the machine no longer runs.
    Reserved,
    /// No such target.
    Unknown,
}

/// A target that was let go, or that left before it was known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Dismissed {
    target: TargetId,
    next: Incarnation,
}

/// All targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    targets: BTreeMap<TargetId, Target>,
    dismissed: VecDeque<Dismissed>,
}

impl Fleet {
    /// A target.
    #[must_use]
    pub fn get(&self, target: &str) -> Option<&Target> {
        self.targets.get(target)
    }

    /// All targets in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// How many targets there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// A target in one life.
    #[must_use]
    pub fn alive(&self, target: &str, incarnation: Incarnation) -> Option<&Target> {
        self.get(target)
            .filter(|known| known.announcement.incarnation == incarnation)
    }

    /// Whether a life of a target has ended or left, and gets nothing ever more.
    #[must_use]
    pub fn is_over(&self, target: &str, life: Incarnation) -> bool {
        let newer = self
            .get(target)
            .is_some_and(|known| life < known.announcement.incarnation);
        newer || self.first(target).is_some_and(|next| life < next)
    }

    /// Takes a target in; on [`Answer::Registered`] the caller ends the earlier life's reservations.
    pub(crate) fn register(&mut self, announcement: Announcement, now: Time) -> Answer {
        if let Some(known) = self.targets.get_mut(&announcement.target) {
            let incarnation = known.announcement.incarnation;
            if announcement.incarnation < incarnation {
                return Answer::Ended { next: incarnation };
            }
            if announcement.incarnation == incarnation {
                return known.repeat(announcement);
            }
        }
        if let Some(next) = self.first(&announcement.target)
            && announcement.incarnation < next
        {
            return Answer::Ended { next };
        }
        if let Some(next) = self.newer_at(&announcement) {
            return Answer::Ended { next };
        }
        self.vacate(&announcement);
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

    /// Lets a target go; on [`Answer::Done`] the caller ends its reservations.
    pub(crate) fn dismiss(
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
        self.bar(target, current.saturating_add(u64::from(attested)));
        Answer::Done
    }

    /// Takes no life of a target in before one.
    fn bar(&mut self, target: &TargetId, next: Incarnation) {
        let next = self.first(target).map_or(next, |known| known.max(next));
        self.dismissed.retain(|gone| gone.target != *target);
        self.dismissed.push_back(Dismissed {
            target: target.clone(),
            next,
        });
        if self.dismissed.len() > DISMISSED {
            self.dismissed.pop_front();
        }
    }

    /// The first incarnation that could take an address which a newer life of another target has.
    fn newer_at(&self, announcement: &Announcement) -> Option<Incarnation> {
        let mut others = self.others_at(announcement);
        let newer = others.find(|other| other.incarnation > announcement.incarnation);
        newer.map(|other| other.incarnation)
    }

    /// Lets go of older lives at an address that a new life has.
    fn vacate(&mut self, announcement: &Announcement) {
        let gone: Vec<TargetId> = self
            .others_at(announcement)
            .map(|other| other.target.clone())
            .collect();
        for target in gone {
            let life = self
                .get(&target)
                .map_or(0, |it| it.announcement.incarnation);
            self.dismiss(&target, life, true, false);
        }
    }

    /// Other targets at the same address, where lives can be told apart by their start.
    fn others_at<'a>(
        &'a self,
        announcement: &'a Announcement,
    ) -> impl Iterator<Item = &'a Announcement> {
        let all = self.targets.values().map(|known| &known.announcement);
        all.filter(|other| {
            let same = other.address == announcement.address;
            same && announcement.dated && other.dated && other.target != announcement.target
        })
    }

    /// Notes what a worker holds.
    pub(crate) fn hold(&mut self, target: &str, life: Incarnation, held: Vec<Reference>) -> Answer {
        let Some(known) = self.targets.get_mut(target) else {
            return Answer::Unknown;
        };
        let current = known.announcement.incarnation;
        if life != current {
            return Answer::Ended { next: current };
        }
        known.held = held;
        Answer::Done
    }

    /// Notes that a life of a target leaves.
    ///
    /// A life that is not known is never taken in, since what it said before may still come; an
    /// older one that is known has ended.
    pub(crate) fn leave(&mut self, target: &TargetId, life: Incarnation) -> Answer {
        let known = self.targets.get_mut(target);
        let current = known.as_ref().map(|known| known.announcement.incarnation);
        if let Some(next) = current.filter(|current| life < *current) {
            return Answer::Ended { next };
        }
        if let Some(known) = known {
            known.leaving = true;
        }
        if current != Some(life) {
            self.bar(target, life.saturating_add(1));
        }
        Answer::Done
    }

    /// Notes whether a target is silent.
    pub(crate) fn silence(&mut self, target: &str, life: Incarnation, silent: bool) -> Answer {
        let Some(known) = self.targets.get_mut(target) else {
            return Answer::Unknown;
        };
        let current = known.announcement.incarnation;
        if life != current {
            return Answer::Ended { next: current };
        }
        known.silent = silent;
        Answer::Done
    }

    /// The first incarnation that a dismissed target is taken in with again.
    fn first(&self, target: &str) -> Option<Incarnation> {
        let mut gone = self.dismissed.iter();
        gone.find(|gone| &*gone.target == target)
            .map(|gone| gone.next)
    }
}

impl Target {
    /// Takes what the target says again within one life.
    fn repeat(&mut self, announcement: Announcement) -> Answer {
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
