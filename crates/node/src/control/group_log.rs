//! Log lines of every control host about its group: the members whenever they change, and what a
//! host without a leader waits for.

use std::collections::BTreeSet;
use std::time::Duration;

use cornelhitch_quorum::status::GroupView;
use cornelhitch_types::id::Time;

use super::Control;

/// Interval between two looks at the group.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time without a leader after which the first line is written; later ones follow after twice the
/// time each.
const FIRST_WAIT: Duration = Duration::from_secs(2);

/// What was last logged about the group.
#[derive(Debug, Default)]
pub(super) struct GroupLog {
    looked_at: Time,
    logged: Option<GroupView>,
    /// When this host last followed a leader or led.
    led_until: Time,
    /// Time without a leader after which the next line is due.
    next_wait: Option<Duration>,
}

impl GroupLog {
    /// Whether a look is due at `now`; notes that it is made.
    fn look(&mut self, now: Time) -> bool {
        let is_due = now >= self.looked_at + INTERVAL;
        if is_due {
            self.looked_at = now;
        }
        is_due
    }

    /// Notes the members; returns whether they differ from those of the last line.
    fn note_members(&mut self, view: &GroupView) -> bool {
        let members = GroupView {
            votes: BTreeSet::new(),
            asked: BTreeSet::new(),
            without_group: BTreeSet::new(),
            ..view.clone()
        };
        let differs = self.logged.as_ref() != Some(&members);
        self.logged = Some(members);
        differs
    }

    /// Notes whether this host knows a leader; returns for how long it has known none if that is
    /// to be logged.
    fn note_leader(&mut self, known: bool, now: Time) -> Option<Duration> {
        if known {
            self.led_until = now;
            self.next_wait = None;
            return None;
        }
        let waited = now.saturating_sub(self.led_until);
        let due = self.next_wait.unwrap_or(FIRST_WAIT);
        if waited < due {
            return None;
        }
        self.next_wait = Some(2 * due);
        Some(waited)
    }
}

impl Control {
    /// Logs the members if they have changed, and how long this host has known no leader.
    pub(super) fn log_group(&mut self) {
        let now = self.now();
        if !self.group_log.look(now) {
            return;
        }
        let view = self.setup.core.group_view();
        let (role, term) = (self.role, self.term);
        if self.group_log.note_members(&view) {
            tracing::info!(
                voters = ?view.voters, learners = ?view.learners, silent = ?view.silent,
                change = ?view.change, asking = ?self.join_requests.hosts(now), %role, term,
                "members changed"
            );
        }
        let Some(waited) = self.group_log.note_leader(self.known_leader.is_some(), now) else {
            return;
        };
        let waited_s = waited.as_secs_f32();
        if view.voters.is_empty() {
            tracing::warn!(
                waited_s, asked = ?view.asked, without_group = ?view.without_group,
                "this host belongs to no group and waits to be admitted; reads and changes are refused"
            );
        } else {
            let status = self.setup.core.status();
            tracing::warn!(
                waited_s, voters = ?view.voters, votes = ?view.votes, learners = ?view.learners,
                silent = ?view.silent, last = status.last, disk_unhealthy = status.disk_unhealthy,
                %role, term, "no leader is known; reads and changes are refused"
            );
        }
    }
}
