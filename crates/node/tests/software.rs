//! What the leader knows of the targets' software and of the streams that they began.

mod common;

use std::time::Duration;

use cornelhitch_entry::software::{ORIGIN_RETENTION, StreamBegun, VERSION_RETENTION};
use cornelhitch_node::software::SoftwareRegister;
use cornelhitch_types::id::Time;
use cornelhitch_types::target::{AnnouncedHeartbeat, Kind, Load};
use cornelhitch_types::view::{Change, Target, View};

use common::SERVICE;

fn at(seconds: u64) -> Time {
    Time::from_secs(seconds)
}

/// Returns a heartbeat of a target that states its software, if any.
fn presence(target: &str, incarnation: u64, software: Option<&str>) -> AnnouncedHeartbeat {
    AnnouncedHeartbeat {
        software: software.map(Into::into),
        ..common::presence(target, incarnation, 1)
    }
}

/// Returns the record of a stream.
fn stream(attempt: u64, version: &str) -> StreamBegun {
    let version = Some(version.into());
    StreamBegun { attempt, version }
}

#[test]
fn software_is_told_once_for_each_incarnation() {
    // A heartbeat's incarnation and version, and whether the hosts are told of it.
    let rows = [
        (5, Some("v1"), true),
        (5, Some("v1"), false),
        (4, Some("v0"), false),
        (6, Some("v1"), true),
        (6, Some("v2"), true),
        (7, None, false),
    ];
    let mut register = SoftwareRegister::new(at(0));
    for (incarnation, version, told) in rows {
        let new = register.hear(&presence("w1", incarnation, version), at(1));
        assert_eq!(new.is_some(), told, "{incarnation} {version:?}");
    }
}

/// Returns a view that has a target.
fn view(target: &str, incarnation: u64) -> View {
    let target = Target {
        target: target.into(),
        incarnation,
        kind: Kind::Worker,
        address: ([10, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: "a".into(),
        services: vec![SERVICE.into()],
        open: true,
        load: Load::default(),
        slots: Some(8),
    };
    View {
        term: 1,
        from: 1,
        to: 2,
        changes: vec![Change::Target(target)],
    }
}

#[test]
fn all_hosts_are_told_of_an_incarnation_with_its_first_view_alone() {
    let mut register = SoftwareRegister::new(at(0));
    for incarnation in [1, 2] {
        register.hear(&presence("w1", incarnation, Some("v1")), at(1));
        let first = view("w1", incarnation);
        // Each later change of its load is a view that has the target.
        let told = [0; 3].map(|_| register.of_first_view(&first).len());
        assert_eq!(told, [1, 0, 0], "incarnation {incarnation}");
        assert_eq!(register.of_view(&first).len(), 1, "a host that asks");
    }
}

/// Versions of services that a small host keeps.
const MAX_VERSIONS: usize = 3;

/// Records what a target states if there is room; returns whether there is.
fn hear_within(register: &mut SoftwareRegister, version: &str, seconds: u64) -> bool {
    let presence = presence("w1", 1, Some(version));
    let has_room = register.has_room_for(&presence, MAX_VERSIONS, at(seconds));
    if has_room {
        register.hear(&presence, at(seconds));
    }
    has_room
}

/// Guards against versions without end that are kept, and against known ones that are refused for them.
#[test]
fn versions_beyond_the_limit_wait_until_others_are_forgotten() {
    let hour = VERSION_RETENTION.as_secs();
    // A version, when it is stated, and whether there is room.
    let rows = [
        ("v1", 1, true),
        ("v2", 2, true),
        ("v3", 3, true),
        ("v4", 4, false),
        ("v1", 5, true),
        ("v4", hour, false),
        ("v4", hour + 2, true),
        ("v5", hour + 2, false),
        ("v5", hour + 3, true),
        ("v1", hour + 4, true),
        ("v6", hour + 4, false),
    ];
    let mut register = SoftwareRegister::new(at(0));
    for (version, seconds, has_room) in rows {
        let heard = hear_within(&mut register, version, seconds);
        assert_eq!(heard, has_room, "{version} at {seconds} s");
    }
}

/// Guards against known versions that are refused since a host that begins to lead has heard too many.
#[test]
fn known_versions_go_on_beyond_the_limit() {
    let mut register = SoftwareRegister::new(at(0));
    for version in ["v1", "v2", "v3", "v4", "v5"] {
        register.hear(&presence("w1", 1, Some(version)), at(1));
    }
    assert!(hear_within(&mut register, "v1", 2));
    assert!(!hear_within(&mut register, "v6", 2));
}

/// Guards against targets that are kept after they have gone.
#[test]
fn targets_that_have_gone_are_forgotten() {
    let mut register = SoftwareRegister::new(at(0));
    for number in 0..10_000 {
        register.hear(&presence(&format!("w{number}"), 1, Some("v1")), at(1));
        register.retain(|target| **target == *"w0");
    }
    let targets = register.dump()["targets"]
        .as_object()
        .map(serde_json::Map::len);
    assert!(targets.is_some_and(|it| it < 200), "{targets:?}");
}

#[test]
fn the_versions_that_a_service_runs_are_those_heard_lately() {
    let mut register = SoftwareRegister::new(at(0));
    register.hear(&presence("w1", 1, Some("v1")), at(1));
    register.hear(&presence("w2", 1, Some("v2")), at(3));
    let versions = |register: &SoftwareRegister, now| {
        let answer = register.origin(SERVICE, None, at(now));
        let versions: Vec<_> = answer.versions.into_iter().flatten().collect();
        (versions.join(" "), answer.unchanged_ms)
    };
    assert_eq!(versions(&register, 4), ("v1 v2".to_owned(), 4_000));
    // The first target was last heard 6 s ago: it has ended.
    assert_eq!(versions(&register, 7), ("v2".to_owned(), 6_000));
    assert_eq!(versions(&register, 30), (String::new(), 27_000));
}

#[test]
fn a_target_that_states_no_version_counts_as_one_of_its_own() {
    let mut register = SoftwareRegister::new(at(0));
    register.hear(&presence("w1", 1, Some("v1")), at(1));
    register.hear(&presence("w2", 1, None), at(1));
    assert_eq!(register.origin(SERVICE, None, at(2)).versions.len(), 2);
}

#[test]
fn a_stream_is_on_record_until_nobody_can_take_it_up() {
    let mut register = SoftwareRegister::new(at(0));
    register.record_streams(vec![stream(7, "v1"), stream(8, "v2")], at(1));
    // A caller took one of them up since.
    register.record_streams(vec![stream(7, "v1")], at(20));
    let first = at(1) + ORIGIN_RETENTION;
    // The time, and whether each stream is on record.
    let rows = [
        (at(30), [true, true]),
        (first, [true, false]),
        (at(20) + ORIGIN_RETENTION, [false, false]),
    ];
    for (now, on_record) in rows {
        register.record_streams(Vec::new(), now);
        let recorded = [7, 8].map(|attempt| {
            let answer = register.origin(SERVICE, Some(attempt), now);
            answer.recorded.is_some()
        });
        assert_eq!(recorded, on_record, "{now:?}");
    }
}

#[test]
fn records_are_bounded() {
    let mut register = SoftwareRegister::new(at(0));
    let streams = (0..200_100).map(|attempt| stream(attempt, "v1"));
    register.record_streams(streams.collect(), at(1));
    let recorded = |attempt| {
        let answer = register.origin(SERVICE, Some(attempt), at(2));
        answer.recorded.is_some()
    };
    assert_eq!(
        [0, 99, 100, 200_099].map(recorded),
        [false, false, true, true]
    );
    assert!(ORIGIN_RETENTION > Duration::from_secs(13));
}

/// Streams may last longer than their records: a version that ran since must not be forgotten.
#[test]
fn a_version_that_ran_is_remembered_for_longer_than_records() {
    let mut register = SoftwareRegister::new(at(0));
    register.hear(&presence("w2", 1, Some("v2")), at(200));
    for second in (200..=290).step_by(2) {
        register.hear(&presence("w1", 1, Some("v1")), at(second));
    }
    let answer = register.origin(SERVICE, None, at(290));
    assert_eq!(answer.versions, [Some("v1".into())]);
    assert_eq!(answer.unchanged_ms, 90_000);
    assert_eq!(answer.other_heard_ms, Some(90_000));
    let answer = register.origin("other", None, at(290));
    assert_eq!(answer.other_heard_ms, None);
}
