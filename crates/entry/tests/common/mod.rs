//! Fixtures that several tests share.

#![allow(dead_code)]

use std::time::Duration;

use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::Serving;
use cornelhitch_types::id::Time;
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Target, View};

/// Returns the time this many milliseconds after the start.
pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns a target of this kind in zone `a` that takes this many requests at once.
pub fn target(name: &str, kind: Kind, slots: u32) -> Target {
    let services = match kind {
        Kind::Worker => Vec::new(),
        Kind::Service => vec!["auction".into()],
    };
    Target {
        target: name.into(),
        incarnation: 1,
        kind,
        address: ([10, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: "a".into(),
        services,
        open: true,
        load: Load::default(),
        slots: Some(slots),
    }
}

/// Returns a target of the plain service `auction`.
pub fn service_target(name: &str) -> Change {
    Change::Target(target(name, Kind::Service, 6))
}

/// Creates the core of a host in zone `a` that has its lease and knows these settings of the fleet and these
/// changes.
pub fn core(serving: Serving, settings: &str, changes: Vec<Change>) -> Core {
    let config = Config::new(1).place("perth", "a").serving(serving);
    let mut core = Core::new(config, Time::ZERO);
    let settings = Change::Settings(1, settings.into());
    let view = View {
        term: 1,
        from: 0,
        to: 1,
        changes: std::iter::once(settings).chain(changes).collect(),
    };
    core.handle(Event::View(view), Time::ZERO);
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, Time::ZERO);
    core
}
