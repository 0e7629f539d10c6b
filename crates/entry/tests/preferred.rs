//! Routing of prompts that share their first part, over several entry hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_entry::event::RouteLimits;
use cornelhitch_entry::prelude::*;
use cornelhitch_types::id::Time;
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Replica, State, Target, View};

const SETTINGS: &str = "models: [{ name: report, bytes: 1000 }]";

/// Numbers of entry hosts, replicas, shared prompt parts, and requests of each host for each part.
const HOSTS: u64 = 8;
const REPLICAS: u64 = 4;
const PARTS: u64 = 24;
const REQUESTS: u64 = 3;

/// Number of tokens of a shared part, and of a whole prompt.
const SHARED: u32 = 6_300;
const WHOLE: u32 = 9_190;

/// Returns a replica on a worker of its own.
fn replica(number: u64) -> [Change; 2] {
    let name = format!("w{number}");
    let target = Target {
        target: name.as_str().into(),
        incarnation: 1,
        kind: Kind::Worker,
        address: ([10, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: "a".into(),
        services: Vec::new(),
        open: true,
        load: Load::default(),
        slots: Some(64),
    };
    let replica = Replica {
        replica: number,
        model: "report".into(),
        version: None,
        target: name.as_str().into(),
        state: State::Ready,
        ready_in_ms: 0,
        adapters: Vec::new(),
    };
    [Change::Target(target), Change::Replica(replica)]
}

/// Creates a host that knows these replicas, in an order that depends on its number.
fn host(number: u64, replicas: &[u64]) -> Core {
    let config = Config::new(number).place("perth", "a").seed(number);
    let mut core = Core::new(config, Time::ZERO);
    let settings = Change::Settings(1, SETTINGS.into());
    let mut replicas = replicas.to_vec();
    let first = usize::try_from(number).expect("few hosts") % replicas.len();
    replicas.rotate_left(first);
    let replicas = replicas.into_iter().flat_map(replica);
    let view = View {
        term: 1,
        from: 0,
        to: 1,
        changes: std::iter::once(settings).chain(replicas).collect(),
    };
    core.handle(Event::View(view), Time::ZERO);
    let until = Duration::from_hours(1);
    core.handle(Event::Lease { until, version: 1 }, Time::ZERO);
    core
}

/// Sends and answers a request with a shared part; returns its target.
fn send(core: &mut Core, id: u64, part: u64) -> String {
    let what = RequestedResource::Model("report".parse().expect("a reference"));
    let mut request = Request::new(id, "dealer", what);
    request.streaming = true;
    request.prefixes = vec![part, 1_000 + id];
    request.terms = Some(Box::new(RouteLimits {
        route: "lookup".into(),
        attempts: 2,
        limit: Duration::from_secs(4),
        objective: Some(Duration::from_millis(800)),
        rank: 1,
        sizes: vec![SHARED, WHOLE],
    }));
    let now = Time::from_millis(10 * id);
    let actions = core.handle(Event::Arrived(request), now);
    let sent = actions.iter().find_map(|action| match action {
        Action::Send { to, .. } => Some(to.target.to_string()),
        _ => None,
    });
    let attempt = 1;
    core.handle(Event::Sent { id, attempt }, now);
    core.handle(Event::ResponseStarted { id, attempt }, now);
    let ended = core.handle(Event::ResponseEnded { id, attempt }, now);
    assert!(!ended.is_empty(), "its end is told");
    sent.expect("a send")
}

/// Returns the targets that each shared part was sent to.
fn targets(hosts: &mut [Core]) -> BTreeMap<u64, BTreeSet<String>> {
    let mut targets: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    let mut id = 0;
    for _ in 0..REQUESTS {
        for core in hosts.iter_mut() {
            for part in 0..PARTS {
                id += 1;
                let target = send(core, id, part);
                targets.entry(part).or_default().insert(target);
            }
        }
    }
    targets
}

/// Guards against hosts that choose independently: with many shared parts and few requests for each
/// part at any one host, every worker would prefill every part, more than its cache can hold.
#[test]
fn hosts_send_prompts_that_share_a_part_to_the_same_replica() {
    let all: Vec<u64> = (1..=REPLICAS).collect();
    let mut hosts: Vec<Core> = (1..=HOSTS).map(|number| host(number, &all)).collect();
    let targets = targets(&mut hosts);
    for (part, targets) in &targets {
        assert_eq!(targets.len(), 1, "part {part} goes to {targets:?}");
    }
    let used: BTreeSet<&String> = targets.values().flatten().collect();
    assert_eq!(used.len() as u64, REPLICAS, "every replica gets some parts");
}

#[test]
fn only_the_parts_of_a_removed_replica_move() {
    let with: Vec<u64> = (1..=REPLICAS).collect();
    let before = targets(&mut [host(1, &with)]);
    let after = targets(&mut [host(1, &with[1..])]);
    for (part, targets) in &before {
        if !targets.contains("w1") {
            assert_eq!(after[part], *targets, "part {part} moved");
        }
    }
}
