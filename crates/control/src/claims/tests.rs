//! Claims under random resends, host failures, small limits and restarts.

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::*;

/// The number of schedules.
const CASES: u32 = 1_000;

/// How long outcomes are kept.
const RETENTION: Duration = Duration::from_secs(100);

/// Limits small enough for schedules to reach.
const SMALL: Limits = Limits {
    bodies: 60,
    records: 4,
    tombstones: 3,
};

#[derive(Debug, Clone)]
#[rustfmt::skip]
enum Step {
    Claim { key: u8, digest: u8, host: u64, issued: Option<u64>, repeated: bool },
    Finish { key: u8, host: u64, body: u8 },
    Abandon { key: u8, host: u64, late: bool },
    HostEnded { host: u64 },
    Pass(u64),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (
            0..12_u8,
            prop::bool::weighted(0.1),
            0..3_u64,
            prop::option::of(0..150_u64),
            prop::bool::weighted(0.2),
        )
            .prop_map(|(key, other, host, issued, repeated)| {
                Step::Claim { key, digest: u8::from(other), host, issued, repeated }
            }),
        5 => (0..12_u8, 0..3_u64, 0..40_u8)
            .prop_map(|(key, host, body)| Step::Finish { key, host, body }),
        1 => (0..12_u8, 0..3_u64, any::<bool>())
            .prop_map(|(key, host, late)| Step::Abandon { key, host, late }),
        1 => (0..3_u64).prop_map(|host| Step::HostEnded { host }),
        2 => (1..40_u64).prop_map(Step::Pass),
        1 => Just(Step::Restart),
    ]
}

/// Returns the only incarnation of an entry host.
fn holder(host: HostId) -> Holder {
    Holder {
        host,
        incarnation: 1,
    }
}

/// The last grant of a key.
#[derive(Debug, Clone)]
struct Grant {
    holder: Holder,
    call: u64,
    digest: u8,
    outcome: Option<Outcome>,
    ended: Option<Time>,
}

#[derive(Default)]
struct World {
    claims: Claims,
    now: Time,
    grants: BTreeMap<u8, Grant>,
    calls: u64,
    granted: usize,
    forgotten: usize,
}

impl World {
    fn key(key: u8) -> Key {
        Key {
            caller: "ann".into(),
            key: format!("bid-{key}").into(),
        }
    }

    fn run(&mut self, step: &Step) -> Result<(), String> {
        self.claims.expire(RETENTION, self.now);
        match *step {
            Step::Claim {
                key,
                digest,
                host,
                issued,
                repeated,
            } => {
                let (holder, call) = self.caller(key, host, repeated);
                let issued = issued.map(|age| self.now.saturating_sub(Duration::from_secs(age)));
                self.claim(key, digest, holder, call, issued)?;
            }
            Step::Finish { key, host, body } => self.finish(key, host, body),
            Step::Abandon { key, host, late } => {
                let (holder, call) = self.caller(key, host, true);
                let call = call.saturating_sub(u64::from(late));
                if self.claims.abandon(&Self::key(key), holder, call) == ClaimResult::Done {
                    let grant = self.grants.remove(&key);
                    let held = grant.is_some_and(|it| it.holder == holder && it.ended.is_none());
                    let held = held && !late;
                    return held
                        .then_some(())
                        .ok_or("freed a claim of another holder or call".into());
                }
            }
            Step::HostEnded { host } => {
                self.claims.host_ended(host, 1, &SMALL, self.now);
                for grant in self.grants.values_mut() {
                    if grant.holder.host == host && grant.ended.is_none() {
                        grant.outcome = Some(Outcome::Unknown);
                        grant.ended = Some(self.now);
                    }
                }
            }
            Step::Pass(seconds) => self.now += Duration::from_secs(seconds),
            Step::Restart => self.restart()?,
        }
        self.bounds()
    }

    /// Returns the holder and call number of a claim, either new or those of the last grant.
    fn caller(&mut self, key: u8, host: u64, repeated: bool) -> (Holder, u64) {
        let grant = self.grants.get(&key).filter(|_| repeated);
        let holder = holder(grant.map_or(host, |it| it.holder.host));
        self.calls += 2;
        (holder, grant.map_or(self.calls, |it| it.call))
    }

    fn claim(
        &mut self,
        key: u8,
        digest: u8,
        holder: Holder,
        call: u64,
        issued: Option<Time>,
    ) -> Result<(), String> {
        let claim = Claim {
            key: Self::key(key),
            digest: [digest; 32],
            holder,
            call,
            issued,
        };
        let answer = self.claims.claim(&claim, &SMALL);
        let over = |ended: Time| ended + RETENTION < self.now;
        let old = self
            .grants
            .get(&key)
            .filter(|it| !it.ended.is_some_and(over));
        let right = match (&answer, old) {
            (ClaimResult::Granted | ClaimResult::Refused(Refusal::Full), None) => true,
            (ClaimResult::InProgress, Some(old)) => {
                old.ended.is_none() && old.digest == digest && old.call != call
            }
            (ClaimResult::Granted, Some(old)) => {
                old.ended.is_none() && (old.holder, old.call, old.digest) == (holder, call, digest)
            }
            (ClaimResult::Recorded(outcome), Some(old)) => {
                let first = old.outcome.as_ref();
                let kept = first.is_some_and(|it| outcome == it || *outcome == it.without_body());
                kept && old.digest == digest
            }
            (ClaimResult::Mismatch, Some(old)) => old.digest != digest,
            (ClaimResult::Forgotten, Some(old)) => old.ended.is_some(),
            (ClaimResult::Forgotten, None) => {
                claim.issued.is_some_and(|it| it < self.claims.watermark)
            }
            _ => false,
        };
        if !right {
            return Err(format!("{claim:?} got {answer:?}, last grant {old:?}"));
        }
        self.forgotten += usize::from(answer == ClaimResult::Forgotten);
        if answer == ClaimResult::Granted {
            self.granted += 1;
            let (outcome, ended) = (None, None);
            self.grants.insert(
                key,
                Grant {
                    holder,
                    call,
                    digest,
                    outcome,
                    ended,
                },
            );
        }
        Ok(())
    }

    fn finish(&mut self, key: u8, host: u64, body: u8) {
        let granted = self.grants.get(&key);
        let call = granted.map_or(0, |it| it.call);
        let holder = holder(host);
        let outcome = Outcome::Answered {
            status: 200,
            content: "text/plain".into(),
            body: vec![body; usize::from(body)].into(),
        };
        let finish = Finish {
            key: Self::key(key),
            holder,
            call,
            outcome: outcome.clone(),
        };
        if self.claims.finish(finish, &SMALL, self.now) == ClaimResult::Done
            && let Some(grant) = self.grants.get_mut(&key)
        {
            grant.outcome = Some(outcome);
            grant.ended = grant.ended.or(Some(self.now));
        }
    }

    fn restart(&mut self) -> Result<(), String> {
        let bytes = postcard::to_stdvec(&self.claims).map_err(|it| it.to_string())?;
        let restored: Claims = postcard::from_bytes(&bytes).map_err(|it| it.to_string())?;
        let same = restored == self.claims;
        self.claims = restored;
        same.then_some(())
            .ok_or("claims differ after a restart".into())
    }

    fn bounds(&self) -> Result<(), String> {
        let claims = &self.claims;
        let running: usize = claims.running.values().map(BTreeSet::len).sum();
        let sizes = claims.records.values().filter_map(|it| it.outcome.as_ref());
        let bodies: usize = sizes.map(Outcome::body_bytes).sum();
        let holds = bodies == claims.bodies
            && bodies <= SMALL.bodies
            && claims.len() <= SMALL.records.max(running)
            && claims.len() + claims.tombstones() <= SMALL.records + SMALL.tombstones;
        holds
            .then_some(())
            .ok_or(format!("limits exceeded or sizes miscounted: {claims:?}"))
    }
}

/// Returns the first fault found in the schedules, and how many claims were granted and forgotten.
fn search() -> (Option<String>, usize, usize) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let strategy = vec(step(), 1..120);
    let (mut granted, mut forgotten) = (0, 0);
    for _ in 0..CASES {
        let steps = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut world = World::default();
        if let Some(error) = steps.iter().find_map(|step| world.run(step).err()) {
            return (Some(format!("{error}\n{steps:?}")), granted, forgotten);
        }
        granted += world.granted;
        forgotten += world.forgotten;
    }
    (None, granted, forgotten)
}

#[test]
fn a_key_is_granted_once_within_the_retention() {
    let (fault, granted, forgotten) = search();
    assert_eq!(fault, None);
    assert!(
        granted > 5_000 && forgotten > 100,
        "{granted} granted, {forgotten} forgotten"
    );
}

#[test]
fn every_mutation_of_claims_is_found() {
    for mutation in [Mutation::FreedClaims, Mutation::LostTombstones] {
        mutation::set(Some(mutation));
        let (fault, ..) = search();
        mutation::set(None);
        assert!(fault.is_some(), "{mutation} was not found");
    }
}
