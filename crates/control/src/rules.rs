//! The rules that a decision must pass before memory is reserved.

use cornelhitch_settings::fleet::FleetSettings as Settings;
use cornelhitch_types::id::Incarnation;
use cornelhitch_types::target::Kind;

use crate::fleet::{Fleet, Target};
use crate::mutation::{self, Mutation};
use crate::replicas::{Decide, Refusal, Replica, Replicas};

impl Replicas {
    /// Checks a decision against every rule; returns the first one that it violates.
    pub(crate) fn check(
        &self,
        decide: &Decide,
        settings: &Settings,
        fleet: &Fleet,
    ) -> Result<(), Refusal> {
        let target = fleet.get(&decide.target).ok_or(Refusal::Target)?;
        usable(target, decide.incarnation)?;
        let model = settings.model(&decide.model).ok_or(Refusal::Model)?;
        require(settings.managed(model), Refusal::Unmanaged)?;
        require(decide.bytes >= model.bytes.max(1), Refusal::Bytes)?;
        let present = self
            .on_target(&decide.target)
            .any(|it| it.model == decide.model);
        require(!present, Refusal::Present)?;
        let free = target.announcement.memory;
        let free = free.saturating_sub(self.reserved(&decide.target));
        let fits = decide.bytes <= free || mutation::is(Mutation::NoMemoryCheck);
        require(fits, Refusal::Memory)?;
        let counted = self.of_model(&decide.model).filter(|it| counts(it, fleet));
        let limit = settings.rules(&decide.model).replicas as usize;
        let allowed = counted.count() < limit || mutation::is(Mutation::NoLimitCheck);
        require(allowed, Refusal::Limit)?;
        require(!self.is_quiet(decide), Refusal::Quiet)
    }

    /// Returns whether an order for the model may still arrive at the worker.
    fn is_quiet(&self, decide: &Decide) -> bool {
        let mut quiet = self.quiet();
        quiet.any(|quiet| {
            quiet.target == decide.target
                && quiet.incarnation == decide.incarnation
                && quiet.model == decide.model
                && decide.after < quiet.until
                && !decide.adopted
                && !mutation::is(Mutation::NoQuiet)
        })
    }
}

/// Returns whether a replica counts against its model's limit.
fn counts(replica: &Replica, fleet: &Fleet) -> bool {
    let target = fleet.get_incarnation(&replica.target, replica.incarnation);
    target.is_some_and(|target| !target.silent)
}

/// Checks that models may be loaded on a target.
fn usable(target: &Target, incarnation: Incarnation) -> Result<(), Refusal> {
    let announcement = &target.announcement;
    require(announcement.kind == Kind::Worker, Refusal::Service)?;
    require(
        announcement.incarnation == incarnation,
        Refusal::Incarnation,
    )?;
    require(!target.silent, Refusal::Silent)
}

/// Returns the refusal unless the rule holds.
fn require(holds: bool, refusal: Refusal) -> Result<(), Refusal> {
    if holds { Ok(()) } else { Err(refusal) }
}
