//! Heartbeats of targets.

use cornelhitch_types::target::{AnnouncedHeartbeat, Announcement, Heartbeat, Kind, Load};

/// The service of all targets.
pub const SERVICE: &str = "engines";

/// Returns a heartbeat of a worker that holds nothing and states no software.
pub fn presence(target: &str, incarnation: u64, sequence: u64) -> AnnouncedHeartbeat {
    AnnouncedHeartbeat {
        announcement: Announcement {
            target: target.into(),
            incarnation,
            kind: Kind::Worker,
            address: ([10, 0, 0, 1], 80).into(),
            region: "perth".into(),
            zone: "a".into(),
            memory: 0,
            accelerators: 1,
            fencing: true,
            services: vec![SERVICE.into()],
            slots: Some(8),
            incarnation_is_start_time: true,
        },
        heartbeat: Heartbeat {
            target: target.into(),
            incarnation,
            sequence,
            fence: 0,
            inventory: Vec::new(),
            load: Load::default(),
            cache: Vec::new(),
            leaving: false,
        },
        software: None,
    }
}
