//! Tests that a group on a cluster with seeds returns to its number of live voters after members,
//! disks and leaders are lost, with the membership policy of the product.

mod schedule;

use std::time::Duration;

use cornelhitch_quorum::membership_policy::MembershipPolicy;
use cornelhitch_quorum::message::Message;
use cornelhitch_quorum::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rayon::prelude::*;

use schedule::simulation::{SEEDED_ELECTION_TIMEOUT, Seeded, Simulation};
use schedule::{Direction, Operation, Schedule};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);

/// Time after which a host that was lost, or its successor, no longer counts as lost (the users'
/// `catchUpS`).
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Maximum message delay in milliseconds; the users' regions are 30 ms apart.
const DELAY_MS: u16 = 40;

/// Time for which messages are lost after a trouble that includes it.
const LOSS_TIME: Duration = Duration::from_secs(2);

/// What is left of the time to catch up after the messages were lost.
const REPAIR_TIME: Duration = CATCH_UP_TIME.saturating_sub(LOSS_TIME);

/// Time from the loss of a host to the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(100);

/// Number of hosts that may replace lost ones during a test.
const SPARES: usize = 24;

/// A group whose hosts come and go.
struct Group {
    sim: Simulation,
    /// The number of voters that the policy keeps.
    target: usize,
    /// The hosts that have started and are not lost for good.
    hosts: Vec<usize>,
    /// The next host that replaces a lost one.
    spare: usize,
    /// Whether the leader gets a proposal every [`LOAD_INTERVAL`].
    loaded: bool,
}

/// Interval between proposals to a leader under load.
const LOAD_INTERVAL: Duration = Duration::from_millis(20);

/// Creates a stable group on `hosts` hosts that tolerates the loss of `losses` of them, with the
/// policy of the product.
fn group(seed: u64, hosts: usize, losses: usize) -> Group {
    let policy = MembershipPolicy::for_losses(losses, SEEDED_ELECTION_TIMEOUT);
    group_with(policy, seed, hosts)
}

fn group_with(policy: MembershipPolicy, seed: u64, hosts: usize) -> Group {
    let target = policy.target_voters;
    let schedule = Schedule {
        seed,
        voters: u8::try_from(target).unwrap(),
        joiners: u8::try_from(hosts - target + SPARES).unwrap(),
        loss: 0,
        duplicated: 0,
        delay: DELAY_MS,
        steps: Vec::new(),
        fault: None,
    };
    let seeds = vec![0, 1, 2];
    let mut sim = Simulation::seeded(schedule, Seeded { policy, seeds });
    for spare in hosts..hosts + SPARES {
        sim.lose(spare);
    }
    let mut group = Group {
        sim,
        target,
        hosts: (0..hosts).collect(),
        spare: hosts,
        loaded: false,
    };
    group.run(10 * SECOND);
    assert!(group.is_repaired(), "{}", group.describe("not founded"));
    group
}

impl Group {
    fn run(&mut self, time: Duration) {
        if !self.loaded {
            return self.sim.run_for(time).unwrap();
        }
        let end = self.sim.now + time;
        while self.sim.now < end {
            self.sim
                .run_for(LOAD_INTERVAL.min(end.saturating_sub(self.sim.now)))
                .unwrap();
            if let Some(leader) = self.sim.leader() {
                self.sim.propose(leader).unwrap();
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        self.sim.leader_with_lease()
    }

    fn members(&self) -> Membership {
        self.leader()
            .map(|leader| self.sim.members(leader))
            .unwrap_or_default()
    }

    /// Whether a member leads, and as many voters as asked for are there and alive.
    fn is_repaired(&self) -> bool {
        let members = self.members();
        let lives = |id: &MemberId| {
            let node = &self.sim.nodes[usize::try_from(*id).unwrap()];
            node.core.is_some() && members.admits(node.peer)
        };
        let voters: Vec<MemberId> = members.voters().collect();
        voters.len() == self.target && voters.iter().all(lives)
    }

    /// Runs until the group is repaired, for at most the given time.
    fn repair(&mut self, within: Duration, what: &str) {
        let end = self.sim.now + within;
        while !self.is_repaired() {
            assert!(self.sim.now < end, "{}", self.describe(what));
            self.run(STEP);
        }
    }

    fn describe(&self, what: &str) -> String {
        let at = self.sim.now;
        self.sim.describe(&format!("{what}, at {at:?}"))
    }

    /// Seeds from a list that lags, so that it still has hosts that have just been lost.
    fn current_seeds(&self) -> Vec<MemberId> {
        let seeds = self.hosts.iter().take(3);
        seeds.map(|seed| u64::try_from(*seed).unwrap()).collect()
    }

    /// Loses a host for good; another one starts in its place.
    fn replace(&mut self, host: usize) {
        self.replace_after(host, SUCCESSOR_DELAY);
    }

    /// As [`Self::replace`], with the time until the other host starts.
    fn replace_after(&mut self, host: usize, delay: Duration) {
        let seeds = self.current_seeds();
        self.sim.lose(host);
        self.hosts.retain(|other| *other != host);
        self.run(delay);
        self.sim.start_with_seeds(self.spare, seeds);
        self.hosts.push(self.spare);
        self.spare += 1;
    }

    /// Wipes the disk of a host, which starts with the seeds of its settings.
    fn lose_disk(&mut self, host: usize) {
        let seeds = self.current_seeds();
        self.sim.lose_disk_with_seeds(host, seeds);
    }

    /// Takes the lead from the leader by cutting it off for a while.
    fn end_lead(&mut self) {
        let leader = self.leader().unwrap();
        self.sim.isolate(leader, Direction::Both);
        self.run(Duration::from_millis(800));
        self.sim.execute(&Operation::Heal).unwrap();
    }

    /// A voter that doesn't lead.
    fn follower(&self) -> usize {
        let leader = self.leader().unwrap();
        let members = self.members();
        let is_follower =
            |host: &&usize| **host != leader && members.is_voter(u64::try_from(**host).unwrap());
        *self.hosts.iter().find(is_follower).unwrap()
    }
}

/// Guards against an empty host that is never admitted because the seeds that it asks do not lead.
#[test]
fn wiped_members_are_admitted_while_a_member_leads_that_is_no_seed() {
    for seed in 0..20 {
        let mut group = group(seed, 6, 2);
        while group.leader().is_none_or(|leader| leader < 3) {
            if let Some(leader) = group.leader() {
                group.sim.restart(leader);
            }
            group.run(2 * SECOND);
        }
        group.sim.lose_disk(1);
        group.sim.lose_disk(2);
        group.repair(CATCH_UP_TIME, "the disks of two seeds were lost");
    }
}

/// Guards against an empty host that is never admitted because all of its seeds are gone.
#[test]
fn a_wiped_member_is_admitted_when_its_seeds_are_gone() {
    let mut group = group(1, 9, 2);
    for seed in 0..3 {
        group.replace(seed);
        group.run(CATCH_UP_TIME + 2 * SECOND);
        group.repair(SECOND, "a seed was replaced");
    }
    let wiped = group.follower();
    group.sim.lose_disk(wiped);
    group.repair(CATCH_UP_TIME, "a disk was lost after all seeds");
}

/// Guards against a replacement that the next leader does not finish.
#[test]
fn the_next_leader_finishes_a_replacement_that_was_cut_in_half() {
    for seed in 0..20 {
        let mut group = group(seed, 3, 1);
        let lost = group.follower();
        group.replace(lost);
        let start = group.sim.now;
        while group.members().is_empty() || group.members().voters().count() == 3 {
            group.run(STEP / 10);
            assert!(
                group.sim.now < start + 10 * SECOND,
                "{}",
                group.describe("no change")
            );
        }
        group.end_lead();
        group.repair(CATCH_UP_TIME, "the leader was cut off");
    }
}

/// Guards against a learner that is never promoted because something is committed all the time, and
/// its disk is slower than those of the voters.
#[test]
fn a_lost_voter_is_replaced_under_a_steady_load() {
    let mut group = group(3, 3, 1);
    let lost = group.follower();
    group.replace(lost);
    let successor = group.spare - 1;
    group.sim.nodes[successor].disk.sync = 10 * STEP;
    let end = group.sim.now + CATCH_UP_TIME;
    while !group.is_repaired() {
        assert!(group.sim.now < end, "{}", group.describe("under load"));
        if let Some(leader) = group.leader() {
            group.sim.propose(leader).unwrap();
        }
        group.run(2 * STEP);
    }
}

/// Guards against a lost voter that is never replaced because no leader leads for long enough.
#[test]
fn a_lost_voter_is_replaced_while_leads_are_shorter_than_the_wait() {
    const LEAD: Duration = Duration::from_millis(1500);
    let policy = MembershipPolicy {
        replace_after: 2 * LEAD,
        ..MembershipPolicy::for_losses(1, SEEDED_ELECTION_TIMEOUT)
    };
    for seed in 0..20 {
        let mut group = group_with(policy, seed, 3);
        let lost = group.follower();
        group.replace(lost);
        for _ in 0..4 {
            group.await_leader();
            group.run(LEAD);
            if group.is_repaired() {
                break;
            }
            group.end_lead();
        }
        let what = format!("seed {seed}, after four leads");
        assert!(group.is_repaired(), "{}", group.describe(&what));
    }
}

/// Guards against a voter that is replaced for a silence that has ended.
#[test]
fn a_voter_that_responds_again_is_not_replaced_by_a_later_leader() {
    const SHORT: Duration = Duration::from_millis(700);
    for seed in 0..20 {
        let mut group = group(seed, 6, 2);
        let silent = group.follower();
        let peer = group.sim.nodes[silent].peer;
        group.sim.isolate(silent, Direction::Both);
        group.run(SHORT);
        group.sim.execute(&Operation::Heal).unwrap();
        group.run(5 * SECOND);
        let leader = group.await_leader();
        group.sim.isolate(silent, Direction::Both);
        group.sim.isolate(leader, Direction::Both);
        while group.leader().is_none_or(|now| now == leader) {
            group.run(STEP);
        }
        group.run(SHORT);
        group.sim.execute(&Operation::Heal).unwrap();
        group.run(STEP * 20);
        let members = group.members();
        let stays = members.admits(peer) && members.is_voter(peer.id);
        assert!(stays, "seed {seed}: {}", group.describe("removed"));
    }
}

/// Guards against a new leader that removes a voter before it could respond.
#[test]
fn a_new_leader_waits_for_a_voter_that_earlier_ones_missed() {
    for seed in 0..20 {
        let mut group = group(seed, 6, 2);
        let silent = group.follower();
        let peer = group.sim.nodes[silent].peer;
        let leader = group.await_leader();
        group.sim.isolate(silent, Direction::Both);
        group.run(Duration::from_millis(750));
        group.sim.isolate(leader, Direction::Both);
        while group.leader().is_none_or(|now| now == leader) {
            group.run(STEP / 10);
        }
        // Less than an election timeout, and with the earlier silence more than the wait.
        group.run(25 * STEP);
        group.sim.execute(&Operation::Heal).unwrap();
        group.run(SECOND);
        let members = group.members();
        let stays = members.admits(peer) && members.is_voter(peer.id);
        assert!(stays, "seed {seed}: {}", group.describe("removed"));
    }
}

/// Guards against a request to join of an earlier incarnation, which a member passes on late.
#[test]
fn a_late_request_of_an_earlier_incarnation_removes_no_sound_member() {
    let mut group = group(5, 6, 2);
    let wiped = group.follower();
    group.sim.sent = Some(Vec::new());
    group.sim.lose_disk(wiped);
    let between = group.sim.nodes[wiped].peer;
    group.run(SUCCESSOR_DELAY);
    let sent = group.sim.sent.take().unwrap();
    let is_late = |envelope: &&Envelope| matches!(envelope.message, Message::ForwardedJoin(joiner) if joiner == between);
    let late = sent
        .iter()
        .find(is_late)
        .expect("a request is passed on")
        .clone();
    group.sim.lose_disk(wiped);
    group.run(CATCH_UP_TIME);
    assert!(group.members().admits(group.sim.nodes[wiped].peer));
    let members = group.members();
    let leader = group.leader().unwrap();
    let from = late.from.id;
    group
        .sim
        .handle(
            leader,
            Event::Receive {
                from,
                message: late,
            },
        )
        .unwrap();
    group.run(CATCH_UP_TIME);
    assert_eq!(group.members(), members);
}

/// Guards against a repair during which the group bears fewer losses than it should: a voter is
/// silent without being lost, and as many others as the group bears lose their disks at any moment
/// of its replacement.
#[test]
fn losses_during_the_replacement_of_a_sound_voter_are_borne() {
    let cases: Vec<u32> = (0..80).collect();
    cases.into_par_iter().for_each(|case| {
        let mut group = group(11, 6, 2);
        let leader = group.await_leader();
        let silent = group.follower();
        group.sim.isolate(silent, Direction::Both);
        group.run(900 * STEP / 10);
        group.run(5 * case * STEP / 10);
        group.sim.execute(&Operation::Heal).unwrap();
        let members = group.members();
        let others = members.voters().map(|id| usize::try_from(id).unwrap());
        let others: Vec<usize> = others
            .filter(|host| ![silent, leader].contains(host))
            .collect();
        for host in others.into_iter().take(2) {
            group.sim.lose_disk(host);
        }
        let what = format!("two disks lost {} ms after the silence", 5 * case);
        group.repair(CATCH_UP_TIME, &what);
    });
}

/// What happens to a group in [`each_pair_of_events_is_repaired`].
#[derive(Clone, Copy, Debug, strum::EnumIter)]
enum Trouble {
    /// A follower is replaced by an empty host at another address.
    Replaced,
    /// The leader is replaced likewise.
    LeaderReplaced,
    /// A follower loses its disk.
    DiskLost,
    /// The leader loses its disk.
    LeaderDiskLost,
    /// The leader restarts.
    LeaderRestarted,
    /// The leader is cut off for a while.
    LeaderCutOff,
    /// Messages are lost for a while.
    Lossy,
}

impl Group {
    /// Waits for a leader for at most the time that the group may take to elect one.
    fn await_leader(&mut self) -> usize {
        let end = self.sim.now + CATCH_UP_TIME;
        while self.leader().is_none() {
            assert!(self.sim.now < end, "{}", self.describe("no leader"));
            self.run(STEP);
        }
        self.leader().unwrap()
    }

    fn apply(&mut self, trouble: Trouble) {
        let leader = self.await_leader();
        match trouble {
            Trouble::Replaced => self.replace(self.follower()),
            Trouble::LeaderReplaced => self.replace(leader),
            Trouble::DiskLost => self.sim.lose_disk(self.follower()),
            Trouble::LeaderDiskLost => self.sim.lose_disk(leader),
            Trouble::LeaderRestarted => self.sim.restart(leader),
            Trouble::LeaderCutOff => self.end_lead(),
            Trouble::Lossy => self.sim.set_loss(40),
        }
    }
}

/// Guards against states of the membership from which no rule of the policy leads back.
#[test]
fn each_pair_of_events_is_repaired() {
    use strum::IntoEnumIterator;
    let gaps = (0..24).map(|gap| Duration::from_millis(130 * gap));
    let gaps: Vec<Duration> = gaps.collect();
    let mut cases = Vec::new();
    for first in Trouble::iter() {
        for second in Trouble::iter() {
            cases.extend(gaps.iter().map(|gap| (first, second, *gap)));
        }
    }
    cases.into_par_iter().for_each(|(first, second, gap)| {
        let mut group = group(7, 6, 2);
        group.apply(first);
        group.run(gap);
        group.apply(second);
        group.run(LOSS_TIME);
        group.sim.set_loss(0);
        let what = format!("{first:?}, {second:?} {gap:?} later");
        group.repair(REPAIR_TIME, &what);
    });
}

/// The hosts of a fleet, how many of them may be lost at once, and the time after which those no
/// longer count as lost (the users' `catchUpS`).
#[derive(Clone, Copy, Debug)]
struct Fleet {
    hosts: usize,
    losses: usize,
    catch_up: Duration,
}

/// As the users' deployments have them, and one with more hosts.
const FLEETS: [Fleet; 3] = [
    Fleet {
        hosts: 3,
        losses: 1,
        catch_up: CATCH_UP_TIME,
    },
    Fleet {
        hosts: 6,
        losses: 2,
        catch_up: Duration::from_secs(6),
    },
    Fleet {
        hosts: 9,
        losses: 2,
        catch_up: Duration::from_secs(6),
    },
];

/// Guards against a group that is worn down by losses of which each is within its tolerance.
#[test]
fn a_long_series_of_losses_is_repaired_each_time() {
    const SEEDS: u64 = 64;
    const LOSSES: u32 = 16;
    let cases = FLEETS
        .into_iter()
        .flat_map(|fleet| (0..SEEDS).map(move |seed| (fleet, seed)));
    let cases: Vec<(Fleet, u64)> = cases.collect();
    cases.into_par_iter().for_each(|(fleet, seed)| {
        let mut group = group(seed, fleet.hosts, fleet.losses);
        let mut rng = SmallRng::seed_from_u64(seed);
        for number in 1..=LOSSES {
            let first = rng.random_range(0..group.hosts.len());
            for at in 0..fleet.losses {
                let host = group.hosts[(first + at) % group.hosts.len()];
                match rng.random_range(0..3) {
                    0 => group.replace(host),
                    1 => group.lose_disk(host),
                    _ => group.sim.restart(host),
                }
            }
            // The hosts count as lost until then, so that no others may be lost.
            let caught_up = group.sim.now + fleet.catch_up;
            group.sim.set_loss(rng.random_range(0..60));
            group.run(LOSS_TIME);
            group.sim.set_loss(0);
            let what = format!("{fleet:?}, seed {seed}, loss {number}");
            let left = fleet.catch_up.saturating_sub(LOSS_TIME);
            group.repair(left, &what);
            group.run(caught_up.saturating_sub(group.sim.now));
        }
    });
}

/// Time within which a group has to be whole again after all of its hosts lost power (the users'
/// `recoveryS`).
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Longest time for which a host is away before it comes back with an empty disk.
const MAX_AWAY: Duration = Duration::from_secs(15);

impl Group {
    /// Whether each living host belongs to the group, as a voter or a learner.
    fn has_admitted_all(&self) -> bool {
        let members = self.members();
        let mut hosts = self.hosts.iter();
        hosts.all(|host| members.admits(self.sim.nodes[*host].peer))
    }

    /// All hosts lose power at the same moment and start again within a second; `losses` of them come
    /// back with empty disks, and as many others with the seeds of the day.
    fn lose_power(&mut self, losses: usize, rng: &mut SmallRng) {
        let hosts = self.hosts.clone();
        for host in &hosts {
            self.sim.nodes[*host].crash(rng.random_range(0..3));
        }
        let seeds = self.current_seeds();
        let first = rng.random_range(0..hosts.len());
        for at in 0..hosts.len() {
            let host = hosts[(first + at) % hosts.len()];
            self.run(
                SECOND.mul_f64(rng.random_range(0.0..1.0)) / u32::try_from(hosts.len()).unwrap(),
            );
            if at < losses {
                self.sim.lose_disk_with_seeds(host, seeds.clone());
            } else if at < 2 * losses {
                self.sim.start_with_seeds(host, seeds.clone());
            } else {
                self.sim.restart(host);
            }
        }
    }
}

/// Guards against a group whose configuration does not come back after all hosts lost power in the
/// middle of a repair, or together with as many disks as may be lost at once.
#[test]
fn a_series_of_losses_is_repaired_though_all_hosts_lose_power_in_it() {
    const SEEDS: u64 = 64;
    const ROUNDS: u32 = 8;
    let seeds = std::env::var("POWER_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok());
    let cases = FLEETS
        .into_iter()
        .flat_map(|fleet| (0..seeds.unwrap_or(SEEDS)).map(move |seed| (fleet, seed)));
    let cases: Vec<(Fleet, u64)> = cases.collect();
    cases.into_par_iter().for_each(|(fleet, seed)| {
        let mut group = group(seed, fleet.hosts, fleet.losses);
        group.loaded = seed % 8 == 1;
        let mut rng = SmallRng::seed_from_u64(seed);
        for round in 1..=ROUNDS {
            let with_disks = rng.random_bool(0.5);
            if with_disks {
                group.lose_power(fleet.losses, &mut rng);
            } else {
                let mut away = Vec::new();
                let first = rng.random_range(0..group.hosts.len());
                for at in 0..fleet.losses {
                    let host = group.hosts[(first + at) % group.hosts.len()];
                    match rng.random_range(0..3) {
                        0 => group.sim.lose_disk(host),
                        1 => {
                            group.sim.lose(host);
                            away.push(host);
                        }
                        _ => group.replace(host),
                    }
                }
                if !away.is_empty() {
                    group.run(MAX_AWAY.mul_f64(rng.random_range(0.0..1.0)));
                }
                for host in away.drain(..) {
                    group.sim.lose_disk(host);
                }
                group.run(fleet.catch_up.mul_f64(rng.random_range(0.0..1.0)));
                group.lose_power(0, &mut rng);
            }
            let what = format!("{fleet:?}, seed {seed}, round {round}, disks lost: {with_disks}");
            let left = group.sim.now + RECOVERY_TIME;
            group.repair(RECOVERY_TIME, &what);
            group.run(left.saturating_sub(group.sim.now));
            assert!(group.has_admitted_all(), "{}", group.describe(&what));
        }
    });
}

/// Guards against a demoted voter that is elected after a loss of all power, leads on as a learner, and
/// lets every repair wait for its own promotion.
#[test]
fn a_demoted_voter_that_is_elected_does_not_lead_on_as_a_learner() {
    let cases = [0, 30, 120].into_iter();
    let cases = cases.flat_map(|entries| (0..64).map(move |seed| (entries, seed)));
    let cases: Vec<(u32, u64)> = cases.collect();
    cases.into_par_iter().for_each(|(entries, seed)| {
        let mut group = group(seed, 6, 2);
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..entries {
            let leader = group.await_leader();
            group.sim.propose(leader).unwrap();
            group.run(STEP);
        }
        let cut_off = group.follower();
        group.sim.isolate(cut_off, Direction::Both);
        group.run(4 * SECOND);
        group.sim.execute(&Operation::Heal).unwrap();
        group.run(4 * SECOND);
        group.lose_power(0, &mut rng);
        group.run(RECOVERY_TIME);
        let leader = u64::try_from(group.await_leader()).unwrap();
        let what = format!("seed {seed}, {entries} entries before");
        let leads_as_voter = group.members().is_voter(leader);
        assert!(leads_as_voter, "{}", group.describe(&what));
        for _ in 0..3 {
            let lost = group.follower();
            group.replace_after(lost, SECOND);
            group.repair(CATCH_UP_TIME, &what);
            group.run(CATCH_UP_TIME);
        }
    });
}
