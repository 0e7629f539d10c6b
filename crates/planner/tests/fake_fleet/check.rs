//! Invariants that are checked on each decision as it is made.

use std::time::Duration;

use cornelhitch_planner::decision::{Action, Decision, Reason};
use cornelhitch_planner::fleet_state::{LoadCooldown, Replica};
use cornelhitch_types::id::ModelId;
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

use super::{FakeFleet, from};

impl FakeFleet {
    /// Asserts that a decision keeps every invariant.
    pub fn check(&self, decision: &Decision) {
        match &decision.action {
            Action::Load {
                model,
                target,
                bytes,
                ..
            } => self.check_load(model, target, *bytes),
            Action::Unload { replica } => self.check_unload(*replica, decision.reason),
            Action::Adapter { .. } => {
                let limit = self.fleet.loading.adapters_in_flight;
                assert!(
                    self.adapters_in_flight < limit,
                    "too many adapters in flight"
                );
            }
            Action::Warm { .. } => {}
        }
    }

    fn check_load(&self, model: &ModelId, target: &str, bytes: u64) {
        let known = self.fleet.model(model).expect("model is in the settings");
        assert!(self.fleet.managed(known), "{model} is not managed");
        assert_eq!(bytes, known.bytes);
        let worker = self
            .workers
            .iter()
            .find(|w| *w.target == *target)
            .expect("worker exists");
        assert!(worker.accepts_loads, "{target} accepts no loads");
        let quiet = |quiet: &LoadCooldown| quiet.model == *model && quiet.until > self.now;
        assert!(
            !worker.cooldowns.iter().any(quiet),
            "{model} must not be loaded on {target} yet"
        );
        let reserved: u64 = self
            .decided()
            .filter(|r| *r.target == *target)
            .map(|r| r.bytes)
            .sum();
        assert!(
            reserved + bytes <= worker.memory,
            "{target} is overcommitted"
        );
        let replicas = self.decided().filter(|r| r.model == *model).count();
        assert!(
            replicas < self.fleet.rules(model).replicas as usize,
            "too many replicas of {model}"
        );
        if from(worker, model) == Stage::Remote {
            self.check_start();
        }
    }

    /// Asserts the limits of the weight store: starts in any window, and loads in flight.
    fn check_start(&self) {
        let loading = &self.fleet.loading;
        let window = Duration::from_secs_f64((1.0 / loading.starts_per_second).max(1.0));
        let lately = self
            .starts
            .iter()
            .filter(|at| self.now.saturating_sub(**at) < window)
            .count();
        let most = loading.starts_per_second.floor().max(1.0);
        assert!(
            f64::from(u32::try_from(lately).expect("count fits into u32")) + 1.0 <= most,
            "{lately} earlier starts within {window:?}"
        );
        let remote = |r: &&Replica| r.state == State::Loading && r.from == Stage::Remote;
        let in_flight = self.decided().filter(remote).count();
        assert!(
            in_flight < loading.concurrency as usize,
            "{in_flight} loads in flight"
        );
    }

    fn check_unload(&self, id: u64, reason: Reason) {
        let replica = self
            .replicas
            .iter()
            .find(|r| r.replica == id)
            .expect("replica exists");
        assert_eq!(replica.state, State::Ready);
        let Some(model) = self.fleet.model(&replica.model) else {
            assert_eq!(reason, Reason::Settings);
            return;
        };
        assert!(self.fleet.managed(model), "{} is not managed", model.name);
        let class = model.class.as_ref().and_then(|name| self.fleet.class(name));
        let patient = class.is_some_and(|class| class.patient);
        let movable = reason == Reason::Settings || (patient && reason == Reason::Preempted);
        assert!(
            replica.running == 0 || movable,
            "busy replica unloaded ({reason})"
        );
        let idle = self
            .now
            .saturating_sub(replica.last_used.max(replica.ready_at.unwrap_or_default()));
        if matches!(reason, Reason::Idle | Reason::Surplus) {
            assert!(
                idle >= self.fleet.rules(&model.name).minimum,
                "unloaded after only {idle:?} idle"
            );
        }
    }
}
