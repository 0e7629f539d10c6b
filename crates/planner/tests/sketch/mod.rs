//! Small pictures for tests of single decisions.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::decision::{Action, Decision};
use cornelhitch_planner::picture::{Demand, Picture, Replica, Worker};
use cornelhitch_types::id::Time;
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::State;

pub const GIB: u64 = 1 << 30;
pub const NOW: Time = Duration::from_secs(1_000);
pub const DECIDED: Time = Duration::from_secs(940);
pub const READY: Time = Duration::from_secs(950);
pub const USED: Time = Duration::from_secs(999);
pub const SETTINGS: &str = "
groups: [{ name: old, managed: false }]
classes: [{ name: long, weight: 2, patient: true }]
models:
  - { name: report, bytes: 10737418240, adapters: [dealer-1] }
  - { name: review, bytes: 10737418240 }
  - { name: legacy, bytes: 10737418240, group: old }
  - { name: single, bytes: 10737418240 }
  - { name: long, bytes: 10737418240, class: long }
exceptions: [{ reason: one is enough, model: single, replicas: 1 }]
";

pub fn worker(name: &str, gib: u64) -> Worker {
    Worker {
        target: name.into(),
        region: "perth-a".into(),
        zone: name.into(),
        memory: 16 * GIB,
        free: gib * GIB,
        accelerators: 2,
        open: true,
        copies: Vec::new(),
        quiet: Vec::new(),
    }
}

pub fn picture(workers: Vec<Worker>) -> Picture {
    Picture {
        settings: Arc::new(SETTINGS.parse().expect("settings")),
        workers,
        ..Picture::default()
    }
}

pub fn demand(model: &str, waiting: u32) -> Demand {
    Demand {
        model: model.into(),
        version: None,
        region: "perth-a".into(),
        waiting,
        running: 0,
        deadline: NOW + Duration::from_secs(30),
        weight: 1,
        arrivals: u64::from(waiting),
        adapters: Vec::new(),
    }
}

pub fn replica(id: u64, model: &str, target: &str, state: State) -> Replica {
    Replica {
        replica: id,
        model: model.into(),
        version: None,
        target: target.into(),
        bytes: 10 * GIB,
        state,
        decided: DECIDED,
        ready: Some(READY),
        from: Stage::Remote,
        running: 0,
        used: USED,
        adapters: Vec::new(),
    }
}

/// Decisions as short texts.
pub fn texts(decisions: &[Decision]) -> Vec<String> {
    let text = |decision: &Decision| match &decision.action {
        Action::Load { model, target, .. } => format!("load {model} {target}"),
        Action::Unload { replica } => format!("unload {replica}"),
        Action::Adapter { replica, adapter } => format!("adapter {adapter} {replica}"),
        Action::Warm { model, target } => format!("warm {model} {target}"),
    };
    decisions.iter().map(text).collect()
}
