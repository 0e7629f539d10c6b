//! What targets state of themselves in answers to this host: that they leave, or want no requests from
//! it for a time.
//!
//! Both belong to the incarnation that stated them and hold whatever the view says of it. A target
//! that leaves does so for the rest of its incarnation; a pause ends by itself.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelhitch_types::id::{Incarnation, TargetId, Time};
use serde::Serialize;

/// The longest pause that is kept to.
pub const MAX_PAUSE: Duration = Duration::from_mins(5);

/// Interval at which control is told again that a target leaves while the view says otherwise.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long the notices of a target are kept at least, even if the view has lost it: the same
/// incarnation may register again.
const RETENTION: Duration = Duration::from_mins(15);

/// What one incarnation of a target has stated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Notice {
    incarnation: Incarnation,
    /// When an answer last stated anything.
    stated_at: Time,
    /// Whether it leaves.
    leaving: bool,
    /// When control was last told that it leaves.
    reported_at: Option<Time>,
    /// Until when it wants no requests from this host.
    paused_until: Time,
}

/// What the current incarnations of targets have stated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct TargetNotices {
    notices: BTreeMap<TargetId, Notice>,
}

impl TargetNotices {
    /// Records that a target leaves. Returns whether that is new.
    ///
    /// ```
    /// use cornelhitch_entry::target_notices::TargetNotices;
    /// use std::time::Duration;
    ///
    /// let mut notices = TargetNotices::default();
    /// assert!(notices.leave(&"worker-1".into(), 7, Duration::ZERO));
    /// assert!(notices.is_leaving("worker-1", 7));
    /// assert!(!notices.is_leaving("worker-1", 8));
    /// ```
    pub fn leave(&mut self, target: &TargetId, incarnation: Incarnation, now: Time) -> bool {
        let Some(notice) = self.notice(target, incarnation, now) else {
            return false;
        };
        !std::mem::replace(&mut notice.leaving, true)
    }

    /// Records that a target wants no requests from this host for a time, of which [`MAX_PAUSE`] at
    /// most is kept to. Returns when the pause ends if that is later than known so far.
    ///
    /// ```
    /// use cornelhitch_entry::target_notices::TargetNotices;
    /// use std::time::Duration;
    ///
    /// let mut notices = TargetNotices::default();
    /// let (pause, now) = (Duration::from_secs(2), Duration::from_secs(10));
    /// notices.pause(&"worker-1".into(), 7, pause, now);
    /// assert_eq!(notices.pause_left("worker-1", 7, now), Some(pause));
    /// assert_eq!(notices.pause_left("worker-1", 7, now + pause), None);
    /// ```
    pub fn pause(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        pause: Duration,
        now: Time,
    ) -> Option<Time> {
        let until = now + pause.min(MAX_PAUSE);
        let notice = self.notice(target, incarnation, now)?;
        let later = until > notice.paused_until.max(now);
        notice.paused_until = notice.paused_until.max(until);
        later.then_some(until)
    }

    /// Whether an incarnation of a target has stated that it leaves.
    #[must_use]
    pub fn is_leaving(&self, target: &str, incarnation: Incarnation) -> bool {
        let notice = self.of(target, incarnation);
        notice.is_some_and(|notice| notice.leaving)
    }

    /// Returns how long an incarnation of a target still wants no requests from this host.
    #[must_use]
    pub fn pause_left(
        &self,
        target: &str,
        incarnation: Incarnation,
        now: Time,
    ) -> Option<Duration> {
        let until = self.of(target, incarnation)?.paused_until;
        let left = until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether any target pauses.
    #[must_use]
    pub fn any_paused(&self, now: Time) -> bool {
        let mut notices = self.notices.values();
        notices.any(|notice| notice.paused_until > now)
    }

    /// Whether control is to be told, again or for the first time, that a target leaves.
    pub fn take_report(&mut self, target: &str, incarnation: Incarnation, now: Time) -> bool {
        let notice = self.notices.get_mut(target);
        let leaving = notice.filter(|notice| notice.incarnation == incarnation && notice.leaving);
        let Some(notice) = leaving else {
            return false;
        };
        let reported_at = notice.reported_at;
        let due = reported_at.is_none_or(|at| at + REPORT_INTERVAL <= now);
        if due {
            notice.reported_at = Some(now);
        }
        due
    }

    /// Drops what an earlier incarnation of a target has stated.
    pub fn forget_before(&mut self, target: &str, incarnation: Incarnation) {
        let known = self.notices.get(target);
        if known.is_some_and(|notice| notice.incarnation < incarnation) {
            self.notices.remove(target);
        }
    }

    /// Drops old notices of targets that are not `known`.
    pub fn prune(&mut self, known: impl Fn(&TargetId) -> bool, now: Time) {
        self.notices
            .retain(|target, notice| known(target) || notice.stated_at + RETENTION > now);
    }

    /// Returns the notice of an incarnation.
    fn of(&self, target: &str, incarnation: Incarnation) -> Option<&Notice> {
        let notice = self.notices.get(target);
        notice.filter(|notice| notice.incarnation == incarnation)
    }

    /// Returns the notice of an incarnation to be changed, or `None` if a later one is known.
    fn notice(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        now: Time,
    ) -> Option<&mut Notice> {
        self.forget_before(target, incarnation);
        let notice = self.notices.entry(target.clone()).or_insert(Notice {
            incarnation,
            stated_at: now,
            leaving: false,
            reported_at: None,
            paused_until: Time::ZERO,
        });
        notice.stated_at = now;
        (notice.incarnation == incarnation).then_some(notice)
    }
}
