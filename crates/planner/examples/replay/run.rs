//! Replays one trace with one planner and returns its statistics.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_planner::Planner;
use cornelhitch_settings::fleet::FleetSettings;

use super::stats::Stats;
use super::trace::{Fault, LENGTH, Trace, WARM_UP};
use super::world::World;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(250);
/// Steps between calls of the planner while nothing happens.
const IDLE_STEPS_PER_PLAN: u32 = 4;

/// Replays a trace with a planner.
pub fn run(fleet: &Arc<FleetSettings>, trace: &Trace, planner: &mut dyn Planner) -> Stats {
    let mut world = World::new(fleet);
    world.stats.from = WARM_UP;
    for (worker, model) in &trace.copies {
        if let Some(model) = fleet.model(model) {
            world.cache(*worker, model);
        }
    }
    let mut calls = trace.calls.iter().peekable();
    let mut faults = trace.faults.iter().peekable();
    let mut steps = 0;
    while world.now < LENGTH {
        let mut event = world.busy();
        while let Some(call) = calls.next_if(|call| call.at <= world.now) {
            world.arrive(call.clone());
            event = true;
        }
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= world.now) {
            inject(&mut world, *fault);
            event = true;
        }
        world.step(STEP);
        steps += 1;
        if event || steps % IDLE_STEPS_PER_PLAN == 0 {
            let fleet_state = world.fleet_state();
            for decision in planner.plan(&fleet_state, world.now) {
                world.apply(&decision);
            }
        }
    }
    world.stats
}

/// Applies a fault to the simulated fleet.
fn inject(world: &mut World, fault: Fault) {
    match fault {
        Fault::Fail(worker) => world.fail(worker),
        Fault::Return(worker) => world.restore(worker),
        Fault::Slow(slowness) => world.slowness = slowness,
    }
}
