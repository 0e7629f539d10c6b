//! Which route table control has as its newest, and when the one in force here was last known to be it.
//!
//! A table comes with the view, whose delivery has no bound. Control hosts name the version of their
//! newest table in their answers to renewals, as datagrams. A host that knows of a newer table acts on its
//! own only for a limited time after its own was last known to be the newest.

use std::time::Duration;

use cornelhitch_types::id::{Time, Version};
use serde::{Deserialize, Serialize};

/// Time by which a host stops earlier than its limit says: timers and tasks run late under load.
const MARGIN: Time = Time::from_millis(100);

/// How long a newer table may take to come with the view before it is asked for.
const DELIVERY_TIME: Time = Time::from_millis(400);

/// When a table that is refused for its age is expected to have been replaced.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a control host states of its newest route table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The version of the table; 0 if there is none.
    pub version: Version,
    /// When the question left, on this core's clock.
    pub asked: Time,
    /// Whether the control host leads, so that no newer table was committed when it answered.
    pub leads: bool,
}

/// What this host knows of the newest route table.
#[derive(Debug, Clone, Default)]
pub struct NewestTable {
    /// The newest version that a control host has named.
    version: Version,
    /// Since when a newer version than the one in force here is known.
    behind_since: Option<Time>,
    /// The leader's last statement: the version, and when the question left.
    stated: Option<(Version, Time)>,
    /// When the table in force here was last known to be the newest.
    confirmed: Option<Time>,
    /// How long a newer table was known before the one in force here came.
    delay: Time,
}

impl NewestTable {
    /// Records a statement, while the table of version `held` is in force here.
    pub fn learn(&mut self, statement: Statement, held: Version, now: Time) {
        self.version = self.version.max(statement.version);
        if self.version > held {
            self.behind_since = self.behind_since.or(Some(now));
        }
        let earlier = self.stated.map_or(Time::ZERO, |(_, asked)| asked);
        if statement.leads && statement.asked >= earlier {
            self.stated = Some((statement.version, statement.asked));
            self.confirm(held);
        }
    }

    /// Whether the newest table is to be asked for: none newer than version `held` has come with the view
    /// in time, or that one must not be acted on any more.
    #[must_use]
    pub fn is_missing(&self, held: Version, limit: Duration, now: Time) -> bool {
        let since = self.behind_since.unwrap_or(now);
        let late = now >= since + DELIVERY_TIME;
        self.version > held && (late || self.is_outdated(held, limit, now))
    }

    /// Records that the table of version `held` is now in force here.
    pub fn adopt(&mut self, held: Version, now: Time) {
        self.confirm(held);
        let since = self.behind_since.unwrap_or(now);
        self.delay = now.saturating_sub(since);
        self.behind_since = (self.version > held).then_some(now);
    }

    /// Returns how long this host knew of a newer table before the one in force here came; zero if the
    /// table itself came first.
    #[must_use]
    pub fn delay(&self) -> Time {
        self.delay
    }

    /// Returns the newest version that a control host has named.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns when the table in force here was last known to be the newest.
    #[must_use]
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Whether a host on which the table of version `held` is in force has to stop acting on it: it is
    /// not the newest, and was last known to be so longer than `limit` ago.
    ///
    /// ```
    /// use cornelhitch_entry::newest_table::{NewestTable, Statement};
    /// use std::time::Duration;
    ///
    /// let at = Duration::from_secs;
    /// let stated = |version, asked| Statement { version, asked, leads: true };
    /// let mut newest = NewestTable::default();
    /// newest.learn(stated(7, at(1)), 7, at(1));
    /// newest.learn(stated(8, at(2)), 7, at(2));
    /// assert!(!newest.is_outdated(7, at(3), at(3)));
    /// assert!(newest.is_outdated(7, at(3), at(4)));
    /// assert!(!newest.is_outdated(8, at(3), at(4)));
    /// ```
    #[must_use]
    pub fn is_outdated(&self, held: Version, limit: Duration, now: Time) -> bool {
        self.version > held && self.outdated_at(limit) <= now
    }

    /// Returns when the table of version `held` has to be given up, if a newer one is known.
    #[must_use]
    pub fn expiry(&self, held: Version, limit: Duration) -> Option<Time> {
        (self.version > held).then(|| self.outdated_at(limit))
    }

    /// Returns when a table that is not the newest is given up.
    fn outdated_at(&self, limit: Duration) -> Time {
        let confirmed = self.confirmed;
        confirmed.map_or(Time::ZERO, |at| at + limit.saturating_sub(MARGIN))
    }

    /// Confirms the table of version `held`, unless the leader's last statement names a newer one.
    fn confirm(&mut self, held: Version) {
        if let Some((version, asked)) = self.stated
            && held >= version
        {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }
}
