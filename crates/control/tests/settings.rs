//! Settings with racing operators, isolated hosts, drifting clocks and leader changes.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{DemandPlanner, entry_host};
use cornelhitch_control::current_settings::ApplyResult;
use cornelhitch_control::mutation::{self, Mutation};
use cornelhitch_control::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The number of schedules.
const CASES: u32 = 400;

/// The number of entry hosts.
const HOSTS: u64 = 4;

/// One step of a schedule.
#[derive(Debug, Clone)]
#[rustfmt::skip]
enum Step {
    /// Time passes, in units of 100 ms.
    Pass(u32),
    /// A host renews its lease; the answer is lost or delayed.
    Renew { host: u64, lost: bool, delay: u32 },
    /// An operator applies a text based on a version that may be older than the one in force.
    Apply { operator: u8, request: u8, behind: u64, valid: bool },
    /// Another host is elected leader, from a snapshot.
    Elect,
    /// An entry host restarts without settings.
    Restart(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..30_u32).prop_map(Step::Pass),
        8 => (0..HOSTS, prop::bool::weighted(0.2), 0..40_u32)
            .prop_map(|(host, lost, delay)| Step::Renew { host, lost, delay }),
        3 => (0..2_u8, 0..6_u8, 0..2_u64, prop::bool::weighted(0.8)).prop_map(
            |(operator, request, behind, valid)| Step::Apply { operator, request, behind, valid }
        ),
        1 => Just(Step::Elect),
        1 => (0..HOSTS).prop_map(Step::Restart),
    ]
}

/// An entry host's view of its lease; its clock runs slow by up to 9%.
#[derive(Debug, Clone, Default)]
struct Host {
    incarnation: u64,
    acts_on: u64,
    until: Duration,
}

/// A lease in flight.
#[derive(Debug, Clone)]
struct Grant {
    host: u64,
    incarnation: u64,
    sent: Duration,
    arrives: Duration,
    version: u64,
    length: Duration,
}

struct Simulation {
    state: State,
    leader: Leader,
    now: Duration,
    term: u64,
    index: u64,
    hosts: Vec<Host>,
    grants: Vec<Grant>,
    answers: BTreeMap<(u8, u8), (Apply, Reply)>,
    newest: u64,
    accepted: u64,
    announced: u64,
}

impl Simulation {
    fn new() -> Self {
        let host = Host {
            incarnation: 1,
            ..Host::default()
        };
        let mut simulation = Self {
            state: State::default(),
            leader: Leader::new(Box::new(DemandPlanner)),
            now: common::START,
            term: 0,
            index: 0,
            hosts: vec![host; usize::try_from(HOSTS).unwrap_or_default()],
            grants: Vec::new(),
            answers: BTreeMap::new(),
            newest: 0,
            accepted: 0,
            announced: 0,
        };
        simulation.elect();
        simulation
    }

    fn elect(&mut self) {
        self.state = State::restore(&self.state.snapshot()).expect("a readable snapshot");
        self.term += 1;
        self.leader = Leader::new(Box::new(DemandPlanner));
        self.handle(Input::Elected { term: self.term });
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        let outputs = self.leader.handle(input, &self.state, self.now);
        for output in &outputs {
            if let Output::InForce { version } = output {
                self.announced = self.announced.max(*version);
            }
        }
        outputs
    }

    fn run(&mut self, step: &Step) -> Result<(), String> {
        match step.clone() {
            Step::Pass(count) => {
                for _ in 0..count {
                    self.now += Duration::from_millis(100);
                    self.deliver_grants();
                    self.handle(Input::Tick);
                    self.check()?;
                }
            }
            Step::Renew { host, lost, delay } => self.renew(host, lost, delay),
            Step::Apply {
                operator,
                request,
                behind,
                valid,
            } => {
                self.apply(operator, request, behind, valid)?;
            }
            Step::Elect => self.elect(),
            Step::Restart(host) => {
                let host = &mut self.hosts[usize::try_from(host).unwrap_or_default()];
                *host = Host {
                    incarnation: host.incarnation + 1,
                    ..Host::default()
                };
            }
        }
        self.check()
    }

    fn renew(&mut self, host: u64, lost: bool, delay: u32) {
        let known = &self.hosts[usize::try_from(host).unwrap_or_default()];
        let mut renewal = entry_host(host, known.acts_on);
        renewal.incarnation = known.incarnation;
        let sent = self.now;
        for output in self.handle(Input::Renewal(renewal)) {
            if let Output::Lease {
                host,
                incarnation,
                length,
                version,
            } = output
                && !lost
            {
                let arrives = sent + Duration::from_millis(100) * delay;
                self.grants.push(Grant {
                    host,
                    incarnation,
                    sent,
                    arrives,
                    version,
                    length,
                });
            }
        }
        self.deliver_grants();
    }

    /// Delivers the leases that are due; hosts fetch the settings that these name.
    fn deliver_grants(&mut self) {
        let now = self.now;
        let (arrived, left): (Vec<Grant>, _) = self
            .grants
            .drain(..)
            .partition(|grant| grant.arrives <= now);
        self.grants = left;
        for grant in arrived {
            let host = &mut self.hosts[usize::try_from(grant.host).unwrap_or_default()];
            if host.incarnation != grant.incarnation || grant.version == 0 {
                continue;
            }
            if host.acts_on <= grant.version {
                host.acts_on = grant.version;
                host.until = host.until.max(grant.sent + grant.length * 109 / 100);
            }
        }
    }

    fn apply(&mut self, operator: u8, request: u8, behind: u64, ok: bool) -> Result<(), String> {
        let version = self.state.current_settings().version();
        let text = if ok { common::MODELS } else { "models: 7" };
        let fresh = Apply {
            operator: format!("o{operator}").into(),
            request: format!("r{request}").into(),
            base: version.saturating_sub(behind),
            text: text.into(),
        };
        let kept = self.answers.get(&(operator, request)).cloned();
        let apply = kept.as_ref().map_or(fresh, |(apply, _)| apply.clone());
        self.index += 1;
        let entry = Entry {
            index: self.index,
            term: self.term,
            time: self.now,
        };
        let command = Command::Apply(apply.clone());
        let reply = self.state.apply(&entry, command.clone());
        self.handle(Input::Applied {
            command,
            reply: reply.clone(),
        });
        if let Some((_, first)) = kept {
            let same = first == reply;
            return same
                .then_some(())
                .ok_or(format!("resend got {reply:?}, first answer was {first:?}"));
        }
        if reply
            == Reply::Settings(ApplyResult::Accepted {
                version: version + 1,
            })
        {
            self.accepted += 1;
            if apply.base != version || !ok {
                return Err(format!("accepted {apply:?} at version {version}"));
            }
        }
        self.answers.insert((operator, request), (apply, reply));
        Ok(())
    }

    fn check(&mut self) -> Result<(), String> {
        let version = self.state.current_settings().version();
        if version < self.newest || version != self.accepted {
            return Err(format!("version {version}, previously {}", self.newest));
        }
        self.newest = version;
        let claimed = (1..=version)
            .filter(|it| self.leader.in_force(*it, self.now))
            .max();
        let dumped = self.leader.dump(&self.state, self.now);
        let dumped = dumped.map_or(0, |dump| dump.in_force);
        if mutation::current().is_none() && dumped != claimed.unwrap_or(0) {
            return Err(format!(
                "dump reports version {dumped} in force, expected {claimed:?}"
            ));
        }
        let claimed = claimed.unwrap_or(0).max(self.announced);
        let acting = self.hosts.iter().filter(|host| self.now <= host.until);
        match acting.clone().find(|host| host.acts_on < claimed) {
            Some(host) => Err(format!(
                "version {claimed} reported as in force, but a host acts on an older one: {host:?}"
            )),
            None => Ok(()),
        }
    }
}

fn run(steps: &[Step]) -> Result<u64, String> {
    let mut simulation = Simulation::new();
    for step in steps {
        simulation.run(step)?;
    }
    Ok(simulation.announced)
}

/// Returns the first fault found in the schedules, and how many settings were announced as in
/// force.
fn search(cases: u32) -> (Option<String>, u64) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let strategy = vec(step(), 1..100);
    let mut announced = 0;
    for _ in 0..cases {
        let steps = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        match run(&steps) {
            Ok(count) => announced += count,
            Err(error) => return (Some(format!("{error}\n{steps:?}")), announced),
        }
    }
    (None, announced)
}

#[test]
fn versions_never_decrease_and_in_force_holds() {
    let (fault, announced) = search(CASES);
    assert_eq!(fault, None);
    assert!(
        announced > 100,
        "only {announced} settings were announced as in force"
    );
}

#[test]
fn every_mutation_of_settings_is_found() {
    for mutation in [
        Mutation::NoBaseCheck,
        Mutation::EarlyInForce,
        Mutation::NoInheritedLeases,
    ] {
        mutation::set(Some(mutation));
        let (fault, _) = search(CASES);
        mutation::set(None);
        assert!(fault.is_some(), "{mutation} was not found");
    }
}
