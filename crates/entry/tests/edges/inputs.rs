//! Inputs of a core whose numbers are at their edges.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_entry::event::{Identity, RouteLimits};
use cornelhitch_entry::newest_table::Statement as NewestTable;
use cornelhitch_entry::peer_load::{PeerReport, PeerRow, ReceivedReport};
use cornelhitch_entry::prelude::*;
use cornelhitch_entry::warm::IdleConnections;
use cornelhitch_settings::process::{Routing, Serving};
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::{Name, Time};
use cornelhitch_types::target::{Kind, Load, LoadReport, Pace, RequestRate, Statement};
use cornelhitch_types::team::{Quota, QuotaUnit, Team, TokenUsage};
use cornelhitch_types::view::{Change, Replica, State, Target, View};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

const SETTINGS: &str = "models: [{ name: report, bytes: 1000, adapters: [a1] }]";

/// Number of targets; the odd ones run the model and the others a plain service.
const TARGETS: u64 = 4;

/// Returns one of some values.
fn one_of<T: Copy>(random: &mut SmallRng, values: &[T]) -> T {
    *values.choose(random).expect("some values")
}

/// Returns a count from none to the largest.
pub fn count(random: &mut SmallRng) -> u64 {
    one_of(random, &[0, 1, 7, 64, 10_000, u64::MAX - 1, u64::MAX])
}

fn small_count(random: &mut SmallRng) -> u32 {
    one_of(random, &[0, 1, 6, 64, u32::MAX - 1, u32::MAX])
}

/// Returns a time from none to the largest.
fn time(random: &mut SmallRng) -> Duration {
    let millis = [0, 1, 100, 600, 4_000, 3_600_000].map(Duration::from_millis);
    let others = [
        Duration::from_nanos(1),
        Duration::from_micros(10),
        Duration::MAX,
    ];
    one_of(random, &[&millis[..], &others].concat())
}

/// Returns a time that passes between two events.
pub fn pause(random: &mut SmallRng) -> Duration {
    let millis = one_of(random, &[0, 0, 1, 20, 150, 1_000, 12_000]);
    Duration::from_millis(millis) + Duration::from_nanos(one_of(random, &[0, 1]))
}

/// Returns the configuration of a host, with settings that the schema allows.
pub fn config(random: &mut SmallRng) -> Config {
    let serving = Serving {
        table_lag_ms: one_of(random, &[200.0, 3e3, 86.4e6]),
        max_age_ms: one_of(random, &[100, 86_400_000]),
        leave_ms: one_of(random, &[0, 4_500, 86_400_000]),
        grace_ms: one_of(random, &[100.0, 8e3, 86.4e6]),
        strikes: one_of(random, &[1, 3, 100_000]),
        section_strikes: one_of(random, &[1, 4]),
        quarantine: random.random(),
        retry_ratio: one_of(random, &[0.0, 1e-300, 0.2, 10.0]),
        retry_slack: one_of(random, &[0.0, 0.5, 64.0, 1e5]),
        retry_window_ms: one_of(random, &[0.0, 1e-300, 1e-6, 10e3, 86.4e6]),
        routing: one_of(
            random,
            &[Routing::Load, Routing::ExpectedTime, Routing::Auto],
        ),
        ..Serving::default()
    };
    Config::new(1).place("perth", "a").serving(serving)
}

fn target_name(number: u64) -> Name {
    format!("w{number}").into()
}

fn target(random: &mut SmallRng, number: u64) -> Target {
    let runs_models = number % 2 == 1;
    Target {
        target: target_name(number),
        incarnation: 1,
        kind: if runs_models {
            Kind::Worker
        } else {
            Kind::Service
        },
        address: ([10, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: "a".into(),
        services: if runs_models {
            Vec::new()
        } else {
            vec!["auction".into()]
        },
        open: true,
        load: load(random),
        slots: one_of(random, &[None, Some(0), Some(1), Some(6), Some(u32::MAX)]),
    }
}

fn replica(random: &mut SmallRng, number: u64) -> Replica {
    Replica {
        replica: number,
        model: "report".into(),
        version: None,
        target: target_name(number),
        state: one_of(random, &[State::Ready, State::Ready, State::Loading]),
        ready_in_ms: small_count(random),
        adapters: vec!["a1".into()],
    }
}

fn load(random: &mut SmallRng) -> Load {
    Load {
        running: small_count(random),
        queued: small_count(random),
        age_ms: small_count(random),
    }
}

fn host(number: u64) -> Host {
    Host {
        host: number,
        incarnation: 1,
        address: ([127, 0, 0, 1], 80).into(),
        region: "perth".into(),
        zone: "a".into(),
        load: 0,
        draining: false,
        settings: 1,
    }
}

/// Returns a change of the view.
fn change(random: &mut SmallRng, name: &Name) -> Change {
    let number = random.random_range(0..TARGETS);
    match random.random_range(0..5) {
        0 => Change::Target(target(random, number)),
        1 => Change::Replica(replica(random, number | 1)),
        2 => Change::ColdStartEstimate("report".into(), small_count(random)),
        3 => Change::StrikeCount(7, small_count(random)),
        _ => {
            let limit = random.random_bool(0.7).then(|| RequestRate(count(random)));
            Change::TargetLimit(name.clone(), 1, limit)
        }
    }
}

/// Makes events, and numbers those that need one.
#[derive(Debug, Default)]
pub struct Inputs {
    requests: u64,
    view: u64,
    reports: u64,
}

impl Inputs {
    /// Returns the events with which a host begins.
    pub fn start(&mut self, random: &mut SmallRng) -> Vec<Event> {
        let settings = Change::Settings(1, SETTINGS.into());
        let hosts = (1..=2).map(|number| Change::Entry(host(number)));
        let mut changes: Vec<Change> = std::iter::once(settings).chain(hosts).collect();
        for number in 0..TARGETS {
            changes.push(Change::Target(target(random, number)));
            if number % 2 == 1 {
                changes.push(Change::Replica(replica(random, number)));
            }
        }
        let until = Duration::from_hours(1_000);
        vec![self.view(changes), Event::Lease { until, version: 1 }]
    }

    /// Returns a view that applies changes to the last one.
    fn view(&mut self, changes: Vec<Change>) -> Event {
        self.view += 1;
        Event::View(View {
            term: 1,
            from: self.view - 1,
            to: self.view,
            changes,
        })
    }

    /// Returns an event.
    pub fn event(&mut self, random: &mut SmallRng, now: Time) -> Event {
        let target = target_name(random.random_range(0..TARGETS));
        let incarnation = 1;
        match random.random_range(0..16) {
            0..7 => Event::Arrived(self.request(random)),
            7 => Event::Loaded {
                target,
                incarnation,
                load: LoadReport {
                    load: load(random),
                    slots: one_of(random, &[None, Some(1), Some(u32::MAX)]),
                    pace: one_of(random, &[None, Some(Pace(1)), Some(Pace(u32::MAX))]),
                },
            },
            8 => Event::Stated {
                target,
                incarnation,
                statement: Statement {
                    limit: random.random_bool(0.5).then(|| RequestRate(count(random))),
                    leaving: random.random_bool(0.02),
                    pause: random.random_bool(0.5).then(|| time(random)),
                },
            },
            9 => self.peer_report(random, target),
            10 => Event::IdleConnections(IdleConnections {
                address: ([10, 0, 0, 1], 80).into(),
                count: u32::MAX,
                stated: one_of(random, &[0, u32::MAX]),
                until: time(random),
            }),
            11 => Event::NewestTable(NewestTable {
                version: one_of(random, &[0, 1, u64::MAX]),
                asked: now,
                leads: random.random(),
            }),
            12 => Event::Connected {
                id: self.requests,
                reused: random.random(),
            },
            13 if random.random_bool(0.05) => Event::Drain,
            _ => {
                let change = change(random, &target);
                self.view(vec![change])
            }
        }
    }

    /// Returns a report of the other host.
    fn peer_report(&mut self, random: &mut SmallRng, target: Name) -> Event {
        self.reports += 1;
        let row = PeerRow {
            target,
            tokens: small_count(random),
            requests: small_count(random),
            pace: one_of(
                random,
                &[None, Some((Pace(0), 0)), Some((Pace(u32::MAX), u32::MAX))],
            ),
        };
        Event::PeerReport(ReceivedReport {
            host: 2,
            incarnation: 1,
            report: PeerReport {
                sequence: self.reports,
                complete: random.random(),
                rows: vec![row],
            },
        })
    }

    /// Returns a request on a route, for the model or the service.
    fn request(&mut self, random: &mut SmallRng) -> Request {
        self.requests += 1;
        let service = RequestedResource::Service {
            name: "auction".into(),
            method: "POST".into(),
        };
        let model = one_of(random, &["report", "report+a1"]);
        let model = RequestedResource::Model(model.parse().expect("a reference"));
        let what = if random.random() { service } else { model };
        let mut request = Request::new(self.requests, "dealer", what);
        request.repeatable = random.random_bool(0.8);
        request.streaming = random.random();
        request.deadline = random.random_bool(0.7).then(|| time(random));
        request.fingerprint = random.random_range(0..20);
        request.identity = Some(Box::new(Identity::default()));
        request.bytes = count(random);
        request.prefixes = vec![1, self.requests];
        request.usage = random.random_bool(0.5).then(|| TokenUsage {
            prompt: count(random),
            output: count(random),
        });
        request.terms = Some(Box::new(RouteLimits {
            route: "lookup".into(),
            attempts: one_of(random, &[1, 2, u32::MAX]),
            limit: time(random),
            objective: random.random_bool(0.7).then(|| time(random)),
            rank: one_of(random, &[0, 1, 9, u8::MAX]),
            sizes: vec![small_count(random), u32::MAX],
        }));
        request.team = random.random_bool(0.2).then(|| Arc::new(team(random)));
        request
    }
}

fn team(random: &mut SmallRng) -> Team {
    let plain = count(random);
    Team {
        name: "night-desk".into(),
        keys: Vec::new(),
        priority: one_of(random, &[None, Some(0), Some(9)]),
        quota: random.random_bool(0.5).then(|| Quota {
            unit: one_of(random, &[QuotaUnit::Requests, QuotaUnit::Tokens { plain }]),
            rate: one_of(random, &[1, 29_000_000, u64::MAX]),
            burst: count(random),
        }),
    }
}
