//! Unloads: what the settings no longer allow, and what is not worth its accelerators.

use cornelhitch_types::view::State;

use crate::catalog::Entry;
use crate::decision::Reason;
use crate::history::History;
use crate::picture::Replica;
use crate::policy::seconds;
use crate::round::Round;

impl<'a> Round<'a> {
    /// Unloads what the settings no longer allow.
    pub fn settings(&mut self) {
        let picture = self.scene.picture;
        for replica in &picture.replicas {
            if self.scene.leaving(replica) || replica.state != State::Ready {
                continue;
            }
            let reason = match self.policy.catalog.get(&replica.model) {
                None => Some((Reason::Settings, "the model is no longer in the settings")),
                Some(entry) if entry.managed => self.outdated(replica, entry),
                Some(_) => None,
            };
            if let Some((reason, detail)) = reason {
                self.unload(replica, reason, detail.into());
            }
        }
    }

    /// Why the settings no longer allow a replica, if they do not.
    fn outdated(&self, replica: &'a Replica, entry: &Entry) -> Option<(Reason, &'static str)> {
        if self.scene.stays(&replica.model) > entry.rules.replicas && self.idlest(replica) {
            return Some((Reason::Settings, "the settings allow fewer replicas"));
        }
        let current = replica.version == entry.model.version;
        let quiet = self.now.saturating_sub(replica.used) >= entry.rules.minimum;
        if !current && !self.named(replica) && quiet && replica.running == 0 {
            return Some((Reason::Version, "another version is in force"));
        }
        None
    }

    /// Whether no other replica of the model that stays has less to do.
    fn idlest(&self, replica: &Replica) -> bool {
        let mut others = self.scene.of(&replica.model);
        !others.any(|other| !self.scene.leaving(other) && other.running < replica.running)
    }

    /// Unloads idle replicas that are not worth their accelerators.
    pub fn idle(&mut self) {
        let picture = self.scene.picture;
        for replica in &picture.replicas {
            let idle = replica.state == State::Ready && replica.running == 0;
            if !idle || self.scene.leaving(replica) || self.asked(replica) {
                continue;
            }
            let Some(entry) = self.policy.catalog.get(&replica.model) else {
                continue;
            };
            if !entry.managed {
                continue;
            }
            let unknown = History::default();
            let history = self.history(&replica.model).unwrap_or(&unknown);
            let facts = self.facts(replica, entry, history);
            if facts.idle < facts.rules.minimum {
                continue;
            }
            let surplus = self.policy.keep.surplus();
            if surplus.is_some_and(|after| facts.idle >= after) && self.scene.others(replica) {
                let detail = format!("idle for {}, others stand in", seconds(facts.idle));
                self.unload(replica, Reason::Surplus, detail.into());
                continue;
            }
            let verdict = self.policy.keep.verdict(&facts);
            if verdict.keep.is_zero() {
                let detail = format!(
                    "idle for {}, its next cold start would take {}",
                    seconds(facts.idle),
                    seconds(facts.cold),
                );
                self.unload(replica, Reason::Idle, detail.into());
            }
        }
    }
}
