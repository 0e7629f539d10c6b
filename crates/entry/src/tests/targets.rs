//! Attempts on the fake targets, and the disturbances of the fleet.

use cornelhitch_types::id::TargetId;
use cornelhitch_types::view::State;
use rand::Rng;

use super::attempt_script::{Step, steps};
use super::plan::{Disturbance, Kind};
use super::request_log::Violation;
use super::simulation::{DOWNTIME, MAX_TIME, POISON, Simulation, Task, WritingAttempt};
use crate::action::Destination;
use crate::event::{Attempt, CallId, Event, Failure};

impl Simulation {
    pub(super) fn connect(
        &mut self,
        core: usize,
        id: CallId,
        attempt: Attempt,
        to: Destination,
        resumes: bool,
    ) -> Result<(), Violation> {
        self.check_open(core, id, &to)?;
        let before = self.sends.get(&(id, attempt - 1));
        let same = resumes && before.is_some_and(|before| *before == to);
        let call = self.cores[core].calls.get(&id);
        let struck = call.is_some_and(|call| {
            let fingerprint = call.request.fingerprint;
            self.cores[core].quarantine.strikes(fingerprint) > 0
        });
        if struck && !same {
            self.suspects.insert((id, attempt));
        }
        let target = self.targets.iter().find(|fake| fake.name == to.target);
        let up = target.is_some_and(|target| target.alive && target.incarnation == to.incarnation);
        self.sends.insert((id, attempt), to);
        let event = if up {
            Event::Sent { id, attempt }
        } else {
            let failure = Failure::Connect;
            Event::Failed {
                id,
                attempt,
                failure,
            }
        };
        self.schedule_soon(Task::Event(core, event));
        Ok(())
    }

    /// Checks that nothing is sent to a closed target or a retiring replica, as far as the core
    /// knows.
    fn check_open(&self, core: usize, id: CallId, to: &Destination) -> Result<(), Violation> {
        let fleet_view = &self.cores[core].fleet_view;
        if !fleet_view.is_open(&to.target, to.incarnation) {
            return Err(format!(
                "request {id} was sent to the closed target {}",
                to.target
            ));
        }
        if to
            .replica
            .is_some_and(|replica| !fleet_view.is_ready(replica))
        {
            return Err(format!(
                "request {id} was sent to a replica that is not ready"
            ));
        }
        Ok(())
    }

    pub(super) fn proceed(
        &mut self,
        core: usize,
        id: CallId,
        attempt: Attempt,
    ) -> Result<(), Violation> {
        self.request_log.on_proceed(id)?;
        let Some(to) = self.sends.get(&(id, attempt)).cloned() else {
            return Err(format!("attempt {attempt} of request {id} was never sent"));
        };
        self.check_open(core, id, &to)?;
        self.check_suspect_alone(id, attempt, &to.target)?;
        let planned = self.plan.requests[usize::try_from(id).unwrap_or_default()];
        let poison = planned.kind == Kind::Poison;
        let streaming = planned.kind == Kind::Stream;
        let up = self
            .targets
            .iter()
            .any(|fake| fake.alive && fake.name == to.target && fake.incarnation == to.incarnation);
        let running = WritingAttempt {
            core,
            id,
            attempt,
            begun: false,
        };
        if !up {
            let step = Step::Fail(Failure::Broken);
            self.schedule_soon(Task::Step(core, id, attempt, step));
            return Ok(());
        }
        self.in_flight.entry(to.target).or_default().push(running);
        for (after, step) in steps(
            poison,
            streaming,
            self.plan.failure_percent,
            &mut self.random,
        ) {
            let event = Task::Step(core, id, attempt, step);
            self.schedule(self.now + after, event);
        }
        Ok(())
    }

    /// Checks that at most one suspect runs on a target, over all cores. Resumed responses are
    /// exempt.
    fn check_suspect_alone(
        &self,
        id: CallId,
        attempt: Attempt,
        target: &TargetId,
    ) -> Result<(), Violation> {
        let in_flight = self.in_flight.get(target).into_iter().flatten();
        let mut others =
            in_flight.filter(|running| self.suspects.contains(&(running.id, running.attempt)));
        if !self.suspects.contains(&(id, attempt)) {
            return Ok(());
        }
        match others.next() {
            Some(other) => Err(format!(
                "suspects {id} and {} run on {target} at the same time",
                other.id
            )),
            None => Ok(()),
        }
    }

    /// Carries out one step of an attempt; steps of attempts that are already over still happen.
    pub(super) fn step(
        &mut self,
        core: usize,
        id: CallId,
        attempt: Attempt,
        step: Step,
    ) -> Result<(), Violation> {
        let Some(to) = self.sends.get(&(id, attempt)).cloned() else {
            return Ok(());
        };
        let up = self
            .targets
            .iter()
            .any(|fake| fake.alive && fake.name == to.target && fake.incarnation == to.incarnation);
        if !up && !matches!(step, Step::Fail(_)) {
            return Ok(());
        }
        let in_flight = self.in_flight.entry(to.target.clone()).or_default();
        let known = in_flight
            .iter_mut()
            .find(|running| (running.id, running.attempt) == (id, attempt));
        let event = match step {
            Step::Begin => {
                if let Some(running) = known {
                    running.begun = true;
                }
                Event::ResponseStarted { id, attempt }
            }
            Step::Progress(offset) => {
                self.moved(core, id, attempt);
                Event::Progress {
                    id,
                    attempt,
                    offset,
                }
            }
            Step::End => {
                in_flight.retain(|running| (running.id, running.attempt) != (id, attempt));
                if let Some(record) = self.request_log.records.get_mut(&id) {
                    record.terminated.insert(attempt);
                }
                Event::ResponseEnded { id, attempt }
            }
            Step::Fail(failure) => {
                in_flight.retain(|running| (running.id, running.attempt) != (id, attempt));
                Event::Failed {
                    id,
                    attempt,
                    failure,
                }
            }
            Step::Die => {
                if known.is_none() {
                    return Ok(());
                }
                let instance = (to.target.clone(), to.incarnation);
                self.request_log.on_target_lost(POISON, instance)?;
                let index = self.targets.iter().position(|fake| fake.name == to.target);
                self.die(index.unwrap_or_default());
                return Ok(());
            }
        };
        let doubled = self.random.random_range(0..20) == 0;
        if doubled {
            self.schedule_soon(Task::Event(core, event.clone()));
        }
        self.deliver(core, event)
    }

    /// Records that the response of the attempt in progress advanced.
    fn moved(&mut self, core: usize, id: CallId, attempt: Attempt) {
        let call = self.cores[core].calls.get(&id);
        let current = call.is_some_and(|call| call.run(attempt).is_some());
        if let Some(record) = self.request_log.records.get_mut(&id).filter(|_| current) {
            record.moved = record.moved.map(|_| self.now);
        }
    }

    /// Kills a target with everything on it; it restarts with a new incarnation.
    fn die(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if !target.alive {
            return;
        }
        target.alive = false;
        target.open = false;
        target.incarnation += 1;
        let name = target.name.clone();
        for running in self.in_flight.remove(&name).unwrap_or_default() {
            let failure = if running.begun {
                Failure::Truncated
            } else {
                Failure::Broken
            };
            let step = Step::Fail(failure);
            self.schedule_soon(Task::Step(running.core, running.id, running.attempt, step));
        }
        self.schedule(self.now + DOWNTIME, Task::Restart(index));
    }

    pub(super) fn disturbance(&mut self, disturbance: Disturbance) -> Result<(), Violation> {
        let (cores, targets) = (self.plan.cores, self.plan.targets);
        match disturbance {
            Disturbance::Death(index) => {
                self.die(index % targets);
                Ok(())
            }
            Disturbance::Leave(index) => {
                self.targets[index % targets].open = false;
                self.publish(index % targets);
                self.schedule(self.now + DOWNTIME, Task::Restart(index % targets));
                Ok(())
            }
            Disturbance::Retire(index) => {
                let target = &mut self.targets[index % targets];
                target.state = State::Retiring;
                self.publish(index % targets);
                self.targets[index % targets].replica += 100;
                self.targets[index % targets].state = State::Ready;
                self.schedule(self.now + DOWNTIME, Task::Restart(index % targets));
                Ok(())
            }
            Disturbance::Isolated(core) => {
                let core = core % cores;
                self.cores[core].lease = crate::lease::Lease::default();
                let lease = Event::Lease {
                    until: MAX_TIME,
                    version: 1,
                };
                self.schedule(self.now + DOWNTIME, Task::Event(core, lease));
                Ok(())
            }
            Disturbance::Drain(core) => self.deliver(core % cores, Event::Drain),
            Disturbance::LostView(core) => {
                self.lost_views[core % cores] = true;
                Ok(())
            }
        }
    }
}
