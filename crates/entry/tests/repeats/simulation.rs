//! Simulates entry hosts, the leader that lists them, and targets that decline requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelhitch_entry::event::{Attempt, Failure, RouteLimits};
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::{IsolationPolicy, Serving};
use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, Time};
use cornelhitch_types::target::{Kind, Load};
use cornelhitch_types::view::{Change, Target, View};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::budget_checker::{BudgetChecker, RATIO, SLACK, WINDOW};

/// The services; the first one has the most requests.
pub const SERVICES: [&str; 2] = ["engines", "booking"];
/// Number of targets of each service.
const TARGETS: usize = 4;
/// Duration of one simulation step.
pub const STEP: Time = Time::from_millis(10);
/// Time between two lease renewals of a host.
const RENEWAL: Time = Time::from_millis(500);
/// How long a host may use a lease, and how long the leader lists it.
const LEASE: Time = Time::from_secs(4);
const LISTED: Time = Time::from_millis(4_400);
/// Duration of an attempt at a target.
const ATTEMPT: Time = Time::from_millis(20);
/// The number of the host at index 0.
const FIRST: HostId = 100;

/// The request rate and failure rates of one service.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Requests per second at each host.
    pub rate: f64,
    /// Fraction of the sends that targets decline.
    pub declined: f64,
    /// Fraction of the sends for which no connection can be established.
    pub unreachable: f64,
}

/// One send of one request.
#[derive(Debug)]
struct PendingSend {
    at: Time,
    id: u64,
    attempt: Attempt,
    service: usize,
    sent: bool,
}

/// One incarnation of an entry host.
struct Host {
    core: Core,
    sends: Vec<PendingSend>,
    observed: BTreeSet<u64>,
    renewed: Time,
}

/// The leader's record of one host.
#[derive(Debug, Clone, Copy)]
struct ListedHost {
    incarnation: u64,
    until: Time,
}

/// The state of the simulation.
pub struct Simulation {
    pub now: Time,
    pub checker: BudgetChecker,
    pub traffic: [Traffic; 2],
    random: SmallRng,
    hosts: Vec<Option<Host>>,
    /// Hosts that are partitioned from the leader in both directions.
    partitioned: BTreeSet<usize>,
    /// Hosts that callers use, if not all.
    used_hosts: Option<Vec<usize>>,
    term: u64,
    sequence: u64,
    listed_hosts: BTreeMap<usize, ListedHost>,
    published: Vec<(usize, u64)>,
    incarnations: u64,
    last_number: u64,
}

impl Simulation {
    /// Creates a simulation in which all hosts start now.
    pub fn new(hosts: usize, traffic: [Traffic; 2], seed: u64) -> Self {
        let mut simulation = Self {
            now: Time::from_secs(100),
            checker: BudgetChecker::default(),
            traffic,
            random: SmallRng::seed_from_u64(seed),
            hosts: (0..hosts).map(|_| None).collect(),
            partitioned: BTreeSet::new(),
            used_hosts: None,
            term: 1,
            sequence: 1,
            listed_hosts: BTreeMap::new(),
            published: Vec::new(),
            incarnations: 0,
            last_number: 1,
        };
        (0..hosts).for_each(|at| simulation.start(at));
        simulation
    }

    /// Returns the number of hosts, running or not.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Adds hosts that do not run yet.
    pub fn add(&mut self, count: usize) {
        self.hosts.extend((0..count).map(|_| None));
    }

    /// Starts a host with no prior state, if it is not running.
    pub fn start(&mut self, at: usize) {
        if self.hosts[at].is_some() {
            return;
        }
        self.incarnations += 1;
        let serving = Serving {
            isolated: IsolationPolicy::Serve,
            strikes: 3,
            quarantine: false,
            retry_ratio: RATIO,
            retry_slack: f64::from(SLACK),
            retry_window_ms: WINDOW.as_secs_f64() * 1e3,
            ..Serving::default()
        };
        let config = Config::new(number(at))
            .incarnation(self.incarnations)
            .place("perth", "a")
            .serving(serving);
        let wait = Time::from_millis(self.random.random_range(0..300));
        let renewed = self.now.saturating_sub(RENEWAL) + wait;
        self.hosts[at] = Some(Host {
            core: Core::new(config, self.now),
            sends: Vec::new(),
            observed: BTreeSet::new(),
            renewed,
        });
    }

    /// Kills a host.
    pub fn kill(&mut self, at: usize) {
        self.hosts[at] = None;
    }

    /// Restarts all hosts.
    pub fn restart_all(&mut self) {
        for at in 0..self.len() {
            self.kill(at);
            self.start(at);
        }
    }

    /// Partitions a host from the leader, or reconnects it.
    pub fn set_partitioned(&mut self, at: usize, partitioned: bool) {
        if partitioned {
            self.partitioned.insert(at);
        } else {
            self.partitioned.remove(&at);
        }
    }

    /// Directs all callers to some of the hosts.
    pub fn direct_callers_to(&mut self, hosts: &[usize]) {
        self.used_hosts = Some(hosts.to_vec());
    }

    /// Elects another leader, which has received no lease renewals yet.
    pub fn elect_leader(&mut self) {
        self.term += 1;
        self.sequence = 1;
        self.listed_hosts.clear();
        self.published.clear();
    }

    /// Advances the simulation.
    pub fn run(&mut self, length: Time) {
        let until = self.now + length;
        while self.now < until {
            self.now += STEP;
            self.run_leader();
            for at in 0..self.len() {
                self.send_requests(at);
                self.advance_attempts(at);
                self.deliver(at, Event::Tick);
            }
        }
    }

    /// Processes renewals at the leader and publishes changes of the list of hosts.
    fn run_leader(&mut self) {
        for at in 0..self.len() {
            let Some(host) = self.hosts[at].as_mut() else {
                continue;
            };
            if self.partitioned.contains(&at) || host.renewed + RENEWAL > self.now {
                continue;
            }
            host.renewed = self.now;
            let (until, version) = (self.now + LEASE, 1);
            let listed_host = ListedHost {
                incarnation: self.incarnations,
                until: self.now + LISTED,
            };
            let known = self.listed_hosts.insert(at, listed_host).is_some();
            if !known {
                self.sequence += 1;
            }
            self.deliver(at, Event::Lease { until, version });
        }
        let now = self.now;
        self.listed_hosts
            .retain(|_, listed_host| listed_host.until >= now);
        let listed = self.listed_hosts.iter();
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
            let behind = host.core.view_position() < (self.term, self.sequence);
            if behind && !self.partitioned.contains(&at) && self.listed_hosts.contains_key(&at) {
                let view = self.view();
                self.deliver(at, Event::View(view));
            }
        }
    }

    /// Returns the complete view.
    fn view(&self) -> View {
        let settings = Change::Settings(1, "models: []".into());
        let hosts = self.listed_hosts.iter().map(|(at, listed_host)| {
            Change::Entry(entry::Host {
                host: number(*at),
                incarnation: listed_host.incarnation,
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

    /// Sends the callers' requests to a host.
    fn send_requests(&mut self, at: usize) {
        if self.hosts[at].is_none() {
            return;
        }
        let share = match &self.used_hosts {
            Some(used_hosts) if !used_hosts.contains(&at) => return,
            Some(used_hosts) => {
                f64::from(u32::try_from(self.len()).expect("few"))
                    / f64::from(u32::try_from(used_hosts.len()).expect("few"))
            }
            None => 1.0,
        };
        for (service, name) in SERVICES.into_iter().enumerate() {
            let chance = self.traffic[service].rate * STEP.as_secs_f64() * share;
            if self.random.random::<f64>() < chance {
                self.last_number += 1;
                self.checker.request(name, self.now);
                let request = request(self.last_number, service);
                self.deliver(at, Event::Arrived(request));
            }
        }
    }

    /// Advances the attempts of a host.
    fn advance_attempts(&mut self, at: usize) {
        let Some(host) = self.hosts[at].as_mut() else {
            return;
        };
        let now = self.now;
        let due = host.sends.extract_if(.., |send| send.at <= now);
        let due: Vec<PendingSend> = due.collect();
        for send in due {
            let (id, attempt) = (send.id, send.attempt);
            let traffic = self.traffic[send.service];
            if send.sent {
                let declined = self.random.random::<f64>() < traffic.declined;
                if declined {
                    let failure = Failure::Refused;
                    self.deliver(
                        at,
                        Event::Failed {
                            id,
                            attempt,
                            failure,
                        },
                    );
                } else {
                    self.deliver(at, Event::ResponseStarted { id, attempt });
                    self.deliver(at, Event::ResponseEnded { id, attempt });
                }
            } else if self.random.random::<f64>() < traffic.unreachable {
                let failure = Failure::Connect;
                self.deliver(
                    at,
                    Event::Failed {
                        id,
                        attempt,
                        failure,
                    },
                );
            } else {
                self.deliver(at, Event::Sent { id, attempt });
            }
        }
    }

    /// Hands an event to a host and carries out its actions.
    fn deliver(&mut self, at: usize, event: Event) {
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
                    host.sends.push(PendingSend {
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
                    if !host.observed.insert(id) {
                        self.checker.repeat(SERVICES[service], now);
                    }
                    host.sends.push(PendingSend {
                        at,
                        id,
                        attempt,
                        service,
                        sent: true,
                    });
                }
                Action::Cancel { id, attempt, .. } => {
                    host.sends
                        .retain(|send| (send.id, send.attempt) != (id, attempt));
                }
                Action::Probe { target, .. } => probed.push(target),
                _ => {}
            }
        }
        for target in probed {
            let connected = true;
            self.deliver(at, Event::Probed { target, connected });
        }
    }
}

/// Returns the number of the host at an index.
fn number(at: usize) -> HostId {
    FIRST + HostId::try_from(at).expect("few hosts")
}

/// Returns the service of a request: ids of the second service are odd.
fn service_of(id: u64) -> usize {
    usize::from(id & 1 == 1)
}

/// Returns a repeatable request.
fn request(number: u64, service: usize) -> Request {
    let what = RequestedResource::Service {
        name: SERVICES[service].into(),
        method: "GET".into(),
    };
    let id = number * 2 + u64::from(service == 1);
    let mut request = Request::new(id, format!("caller {id}"), what);
    request.deadline = Some(Duration::from_secs(4));
    request.terms = Some(Box::new(RouteLimits {
        route: "lookup".into(),
        attempts: 2,
        limit: Duration::from_secs(4),
        objective: Some(Duration::from_millis(400)),
        rank: 0,
        sizes: Vec::new(),
    }));
    request
}
