//! Unloads: what the settings no longer allow, and what is not worth its accelerators.

use cornelhitch_types::view::State;

use crate::catalog::Entry;
use crate::decision::Reason;
use crate::history::History;
use crate::need::Key;
use crate::picture::Replica;
use crate::policy::seconds;
use crate::round::Round;

impl Round<'_> {
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
    fn outdated(&self, replica: &Replica, entry: &Entry) -> Option<(Reason, &'static str)> {
        if self.staying(&replica.model) > entry.rules.replicas {
            return Some((Reason::Settings, "the settings allow fewer replicas"));
        }
        let current = replica.version == entry.model.version;
        let asked = self
            .needs
            .iter()
            .any(|need| need.key.model == replica.model && need.key.version == replica.version);
        let quiet = self.now.saturating_sub(replica.used) >= entry.rules.minimum;
        if !current && !asked && quiet && replica.running == 0 {
            return Some((Reason::Version, "another version is in force"));
        }
        None
    }

    /// Replicas of a model that stay, in any version.
    fn staying(&self, model: &str) -> u32 {
        let of = self.scene.of(model);
        let staying = of.filter(|replica| !self.scene.leaving(replica));
        u32::try_from(staying.count()).unwrap_or(u32::MAX)
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
            if surplus.is_some_and(|after| facts.idle >= after) && self.others(replica) {
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

    /// Whether other ready replicas of the model have room for its requests.
    fn others(&self, replica: &Replica) -> bool {
        let key = Key {
            model: replica.model.clone(),
            version: replica.version.clone(),
        };
        let mut others = self
            .scene
            .staying(&key)
            .filter(|other| other.replica != replica.replica && other.state == State::Ready);
        others.next().is_some()
    }
}
