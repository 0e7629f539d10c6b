//! One request that ends the targets that run it, sent by many callers, each of whom has a
//! fingerprint of its own.

use std::collections::BTreeSet;

use cornelhitch_entry::event::CallId;
use cornelhitch_types::id::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::HOSTS;
use crate::simulation::{End, Fleet};

/// The number of ends after which the request must not reach targets any more.
const ENDS: usize = 3;
/// How long after the last of these ends further sends do not count.
const CONTACT: Time = Time::from_secs(4);
/// The number of sends that may reach targets later than that.
const TOLERATED: usize = 3;
/// How long a schedule lasts.
const LENGTH: Time = Time::from_mins(1);
/// The step in which requests arrive.
const STEP: Time = Time::from_millis(10);
/// The content of the request that ends targets.
const CRASHING: u64 = 7;
/// The content of a sound request that many callers ask for.
const POLLED: u64 = 8;

/// What else happens besides requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    Restarts,
    Leaders,
    Ends,
}

/// A fleet whose callers send a crashing request, one that many ask for, and others.
struct Schedule {
    random: SmallRng,
    fleet: Fleet,
    targets: usize,
    trouble: Trouble,
    next_trouble: Time,
    crashing: BTreeSet<CallId>,
    polled: Vec<CallId>,
}

impl Schedule {
    fn new(seed: u64, trouble: Trouble) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let targets = random.random_range(3..13);
        let mut fleet = Fleet::new(HOSTS, targets);
        fleet.downtime = Time::from_millis(random.random_range(1_000..5_000));
        fleet.publication = Time::from_millis(random.random_range(20..300));
        fleet.crash_targets_with(CRASHING);
        let next_trouble = fleet.now;
        Self {
            random,
            fleet,
            targets,
            trouble,
            next_trouble,
            crashing: BTreeSet::new(),
            polled: Vec::new(),
        }
    }

    /// Sends one caller's request for a content through any host.
    fn send(&mut self, content: u64) -> CallId {
        let host = self.random.random_range(0..HOSTS);
        let fingerprint = self.random.random();
        self.fleet.request_content(host, fingerprint, content)
    }

    /// Brings about what is due besides requests.
    fn trouble(&mut self) {
        if self.fleet.now < self.next_trouble {
            return;
        }
        let pause = self.random.random_range(500..6_000);
        self.next_trouble = self.fleet.now + Time::from_millis(pause);
        match self.trouble {
            Trouble::None => {}
            Trouble::Restarts => self.fleet.restart_host(self.random.random_range(0..HOSTS)),
            Trouble::Leaders => self.fleet.elect_leader(),
            Trouble::Ends => self
                .fleet
                .kill_target(self.random.random_range(0..self.targets)),
        }
    }

    /// Plays the schedule; the crashing request comes from a given time after its start, some copies
    /// of it at once.
    fn run(&mut self, crashing_after: Time, copies: usize) {
        let start = self.fleet.now;
        let intervals = [200, 100, 150].map(|mean| self.random.random_range(mean / 2..mean * 3));
        let mut steps = 0_u64;
        while self.fleet.now < start + LENGTH {
            self.trouble();
            let due = intervals.map(|interval| (steps * 10).is_multiple_of(interval / 10 * 10));
            if due[0] && self.fleet.now >= start + crashing_after {
                for _ in 0..copies {
                    let id = self.send(CRASHING);
                    self.crashing.insert(id);
                }
            }
            if due[1] {
                let id = self.send(POLLED);
                self.polled.push(id);
            }
            if due[2] {
                let content = self.random.random();
                self.send(content);
            }
            self.fleet.run(STEP);
            steps += 1;
        }
    }

    /// Returns how many sends of the crashing request reached targets too late.
    fn late(&self) -> usize {
        let Some(last) = self.fleet.crashes.get(ENDS - 1) else {
            return 0;
        };
        let arrivals = self.fleet.arrivals.iter();
        let arrivals = arrivals
            .filter(|arrival| arrival.at > *last + CONTACT && self.crashing.contains(&arrival.id));
        arrivals.count()
    }

    /// Returns the share of the polled requests since a time that were answered.
    fn polled_share(&self, from: Time) -> f64 {
        let polled = self.polled.iter();
        let polled: Vec<&CallId> = polled.filter(|id| self.fleet.sent[*id] >= from).collect();
        let is_answered = |id: &&&CallId| {
            let end = self.fleet.ends.get(**id);
            end.is_some_and(|(_, end)| *end == End::Answered)
        };
        let answered = polled.iter().filter(is_answered).count();
        let [answered, all] = [answered, polled.len()].map(|it| u32::try_from(it).expect("few"));
        f64::from(answered) / f64::from(all.max(1))
    }
}

const TROUBLES: [Trouble; 4] = [
    Trouble::None,
    Trouble::Restarts,
    Trouble::Leaders,
    Trouble::Ends,
];

/// Returns what broke the bound on late sends, with some copies of the request at once.
fn too_late(copies: usize) -> Vec<String> {
    let mut broken = Vec::new();
    for trouble in TROUBLES {
        for seed in 0..20 {
            let mut schedule = Schedule::new(seed, trouble);
            schedule.run(Time::from_secs(5), copies);
            let (ends, late) = (schedule.fleet.crashes.len(), schedule.late());
            if late > TOLERATED {
                broken.push(format!(
                    "{trouble:?}, seed {seed}: {ends} ends, {late} too late"
                ));
            }
        }
    }
    broken
}

#[test]
fn a_request_that_crashed_three_targets_is_sent_no_more_for_any_caller() {
    let broken = too_late(1);
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn copies_of_a_crashing_request_that_come_at_once_are_sent_no_more() {
    let broken = too_late(5);
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn a_request_of_many_callers_stays_served_beside_a_crashing_one() {
    let mut broken = Vec::new();
    for trouble in TROUBLES {
        for seed in 0..20 {
            let mut schedule = Schedule::new(seed, trouble);
            let start = schedule.fleet.now;
            schedule.run(Time::from_secs(5), 1);
            let share = schedule.polled_share(start + LENGTH / 2);
            if share < 0.5 {
                broken.push(format!("{trouble:?}, seed {seed}: {share:.2} answered"));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
