//! Several entry hosts, the leader that tells them of one another, and targets that turn requests away.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_entry::event::{Attempt, Failure, Terms};
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::{Isolated, Serving};
use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, Time};
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Target, View};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::judge::{Judge, RATIO, SLACK, WINDOW};

/// The services, the first with most requests.
pub const SERVICES: [&str; 2] = ["engines", "booking"];
/// Targets of each service.
const TARGETS: usize = 4;
/// Time of one step.
pub const STEP: Time = Time::from_millis(10);
/// Time between two renewals of a host.
const RENEWAL: Time = Time::from_millis(500);
/// How long a host may act on a lease, and how long the leader counts it.
const LEASE: Time = Time::from_secs(4);
const GUARDED: Time = Time::from_millis(4_400);
/// Time of an attempt at a target.
const ATTEMPT: Time = Time::from_millis(20);
/// The number of the host at position 0.
const FIRST: HostId = 100;

/// How one service is asked and answers.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Requests of one host in a second.
    pub rate: f64,
    /// The part of the sends that targets decline.
    pub declined: f64,
    /// The part of the sends for which no connection stands.
    pub unreached: f64,
}

/// One send of one request.
#[derive(Debug)]
struct Flight {
    at: Time,
    id: u64,
    attempt: Attempt,
    service: usize,
    sent: bool,
}

/// One life of an entry host.
struct Host {
    core: Core,
    flights: Vec<Flight>,
    seen: BTreeSet<u64>,
    renewed: Time,
}

/// The leader's word on one host.
#[derive(Debug, Clone, Copy)]
struct Grant {
    incarnation: u64,
    until: Time,
}

/// All of it.
pub struct World {
    pub now: Time,
    pub judge: Judge,
    pub traffic: [Traffic; 2],
    random: SmallRng,
    hosts: Vec<Option<Host>>,
    /// Hosts that neither reach the leader nor hear of it.
    cut: BTreeSet<usize>,
    /// Hosts that callers ask, where they do not ask all.
    asked: Option<Vec<usize>>,
    term: u64,
    sequence: u64,
    grants: BTreeMap<usize, Grant>,
    published: Vec<(usize, u64)>,
    lives: u64,
    next: u64,
}

impl World {
    /// Hosts that all start now.
    pub fn new(hosts: usize, traffic: [Traffic; 2], seed: u64) -> Self {
        let mut world = Self {
            now: Time::from_secs(100),
            judge: Judge::default(),
            traffic,
            random: SmallRng::seed_from_u64(seed),
            hosts: (0..hosts).map(|_| None).collect(),
            cut: BTreeSet::new(),
            asked: None,
            term: 1,
            sequence: 1,
            grants: BTreeMap::new(),
            published: Vec::new(),
            lives: 0,
            next: 1,
        };
        (0..hosts).for_each(|at| world.start(at));
        world
    }

    /// The number of positions for hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Adds hosts that do not run.
    pub fn add(&mut self, count: usize) {
        self.hosts.extend((0..count).map(|_| None));
    }

    /// Starts a host, with nothing known.
    pub fn start(&mut self, at: usize) {
        if self.hosts[at].is_some() {
            return;
        }
        self.lives += 1;
        let serving = Serving {
            isolated: Isolated::Serve,
            strikes: 3,
            quarantine: false,
            retry_ratio: RATIO,
            retry_slack: SLACK,
            retry_window_ms: WINDOW.as_secs_f64() * 1e3,
            ..Serving::default()
        };
        let config = Config::new(number(at))
            .incarnation(self.lives)
            .place("perth", "a")
            .serving(serving);
        let wait = Time::from_millis(self.random.random_range(0..300));
        let renewed = self.now.saturating_sub(RENEWAL) + wait;
        self.hosts[at] = Some(Host {
            core: Core::new(config, self.now),
            flights: Vec::new(),
            seen: BTreeSet::new(),
            renewed,
        });
    }

    /// Ends a host at once.
    pub fn kill(&mut self, at: usize) {
        self.hosts[at] = None;
    }

    /// Ends and starts all hosts.
    pub fn restart_all(&mut self) {
        for at in 0..self.len() {
            self.kill(at);
            self.start(at);
        }
    }

    /// Cuts a host off from the leader, or joins it again.
    pub fn cut(&mut self, at: usize, cut: bool) {
        if cut {
            self.cut.insert(at);
        } else {
            self.cut.remove(&at);
        }
    }

    /// All callers turn to some hosts.
    pub fn turn_to(&mut self, hosts: &[usize]) {
        self.asked = Some(hosts.to_vec());
    }

    /// Another host leads, and has heard of nobody yet.
    pub fn elect(&mut self) {
        self.term += 1;
        self.sequence = 1;
        self.grants.clear();
        self.published.clear();
    }

    /// Lets time pass.
    pub fn run(&mut self, length: Time) {
        let until = self.now + length;
        while self.now < until {
            self.now += STEP;
            self.lead();
            for at in 0..self.len() {
                self.ask(at);
                self.attempts(at);
                self.tell(at, Event::Tick);
            }
        }
    }

    /// The leader takes renewals and tells all hosts of changes.
    fn lead(&mut self) {
        for at in 0..self.len() {
            let Some(host) = self.hosts[at].as_mut() else {
                continue;
            };
            if self.cut.contains(&at) || host.renewed + RENEWAL > self.now {
                continue;
            }
            host.renewed = self.now;
            let (until, version) = (self.now + LEASE, 1);
            let grant = Grant {
                incarnation: self.lives,
                until: self.now + GUARDED,
            };
            let known = self.grants.insert(at, grant).is_some();
            if !known {
                self.sequence += 1;
            }
            self.tell(at, Event::Lease { until, version });
        }
        let now = self.now;
        self.grants.retain(|_, grant| grant.until >= now);
        let listed = self.grants.iter();
        let listed: Vec<(usize, u64)> = listed.map(|(at, it)| (*at, it.incarnation)).collect();
        let changed = listed.iter().map(|it| it.0).collect::<Vec<_>>()
            != self.published.iter().map(|it| it.0).collect::<Vec<_>>();
        if changed {
            self.sequence += 1;
            self.published = listed;
        }
        for at in 0..self.len() {
            let Some(host) = &self.hosts[at] else {
                continue;
            };
            let behind = host.core.seen() < (self.term, self.sequence);
            if behind && !self.cut.contains(&at) && self.grants.contains_key(&at) {
                let view = self.view();
                self.tell(at, Event::View(view));
            }
        }
    }

    /// The whole view.
    fn view(&self) -> View {
        let settings = Change::Settings(1, "models: []".into());
        let hosts = self.grants.iter().map(|(at, grant)| {
            Change::Entry(entry::Host {
                host: number(*at),
                incarnation: grant.incarnation,
                address: ([10, 0, 0, 1], 80).into(),
                region: "perth".into(),
                zone: "a".into(),
                load: 0,
                draining: false,
                settings: 1,
            })
        });
        let targets = SERVICES.iter().flat_map(|service| {
            (0..TARGETS).map(move |number| {
                Change::Target(Target {
                    target: format!("{service}-{number}").into(),
                    incarnation: 1,
                    kind: Kind::Service,
                    address: ([10, 0, 1, 1], 80).into(),
                    region: "perth".into(),
                    zone: "a".into(),
                    services: vec![(*service).into()],
                    open: true,
                    load: Load::default(),
                    slots: Some(64),
                })
            })
        });
        View {
            term: self.term,
            from: 0,
            to: self.sequence,
            changes: std::iter::once(settings)
                .chain(hosts)
                .chain(targets)
                .collect(),
        }
    }

    /// Callers ask a host.
    fn ask(&mut self, at: usize) {
        if self.hosts[at].is_none() {
            return;
        }
        let share = match &self.asked {
            Some(asked) if !asked.contains(&at) => return,
            Some(asked) => {
                f64::from(u32::try_from(self.len()).expect("few"))
                    / f64::from(u32::try_from(asked.len()).expect("few"))
            }
            None => 1.0,
        };
        for (service, name) in SERVICES.into_iter().enumerate() {
            let chance = self.traffic[service].rate * STEP.as_secs_f64() * share;
            if self.random.random::<f64>() < chance {
                self.next += 1;
                self.judge.request(name, self.now);
                let request = request(self.next, service);
                self.tell(at, Event::Arrived(request));
            }
        }
    }

    /// Attempts go on.
    fn attempts(&mut self, at: usize) {
        let Some(host) = self.hosts[at].as_mut() else {
            return;
        };
        let now = self.now;
        let due = host.flights.extract_if(.., |flight| flight.at <= now);
        let due: Vec<Flight> = due.collect();
        for flight in due {
            let (id, attempt) = (flight.id, flight.attempt);
            let traffic = self.traffic[flight.service];
            if flight.sent {
                let declined = self.random.random::<f64>() < traffic.declined;
                if declined {
                    let failure = Failure::Refused;
                    self.tell(
                        at,
                        Event::Failed {
                            id,
                            attempt,
                            failure,
                        },
                    );
                } else {
                    self.tell(at, Event::Begun { id, attempt });
                    self.tell(at, Event::Ended { id, attempt });
                }
            } else if self.random.random::<f64>() < traffic.unreached {
                let failure = Failure::Connect;
                self.tell(
                    at,
                    Event::Failed {
                        id,
                        attempt,
                        failure,
                    },
                );
            } else {
                self.tell(at, Event::Sent { id, attempt });
            }
        }
    }

    /// Tells a host something and carries out what it says.
    fn tell(&mut self, at: usize, event: Event) {
        let now = self.now;
        let Some(host) = self.hosts[at].as_mut() else {
            return;
        };
        let mut probed = Vec::new();
        for action in host.core.handle(event, now) {
            match action {
                Action::Send {
                    id, attempt, to, ..
                } => {
                    let service = SERVICES
                        .iter()
                        .position(|service| to.target.starts_with(service))
                        .expect("a target of a service");
                    host.flights.push(Flight {
                        at: now + STEP,
                        id,
                        attempt,
                        service,
                        sent: false,
                    });
                }
                Action::Proceed { id, attempt } => {
                    let at = now + ATTEMPT;
                    let service = service_of(id);
                    if !host.seen.insert(id) {
                        self.judge.repeat(SERVICES[service], now);
                    }
                    host.flights.push(Flight {
                        at,
                        id,
                        attempt,
                        service,
                        sent: true,
                    });
                }
                Action::Cancel { id, attempt, .. } => {
                    host.flights
                        .retain(|flight| (flight.id, flight.attempt) != (id, attempt));
                }
                Action::Probe { target, .. } => probed.push(target),
                _ => {}
            }
        }
        for target in probed {
            let connected = true;
            self.tell(at, Event::Probed { target, connected });
        }
    }
}

/// The number of the host at a position.
fn number(at: usize) -> HostId {
    FIRST + HostId::try_from(at).expect("few hosts")
}

/// Requests of the second service have odd numbers behind the shift.
fn service_of(id: u64) -> usize {
    usize::from(id & 1 == 1)
}

/// A request that may run again.
fn request(number: u64, service: usize) -> Request {
    let what = What::Service {
        name: SERVICES[service].into(),
        method: "GET".into(),
    };
    let id = number * 2 + u64::from(service == 1);
    let mut request = Request::new(id, format!("caller {id}"), what);
    request.deadline = Some(Duration::from_secs(4));
    request.terms = Some(Box::new(Terms {
        attempts: 2,
        limit: Duration::from_secs(4),
        objective: Duration::from_millis(400),
        rank: 0,
        sizes: Vec::new(),
    }));
    request
}
