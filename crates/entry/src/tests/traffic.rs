//! What happens to attempts on the fake targets, and what goes wrong with them.

use cornelhitch_types::id::TargetId;
use cornelhitch_types::view::State;
use rand::Rng;

use super::fleet::{AWAY, END, Fleet, Flight, Happening, POISON};
use super::ledger::Violation;
use super::outcome::{Step, steps};
use super::plan::{Kind, Trouble};
use crate::action::Destination;
use crate::event::{Attempt, CallId, Event, Failure};

impl Fleet {
    pub(super) fn connect(
        &mut self,
        core: usize,
        id: CallId,
        attempt: Attempt,
        to: Destination,
        resumes: bool,
    ) -> Result<(), Violation> {
        self.allowed(core, id, &to)?;
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
        let fake = self.targets.iter().find(|fake| fake.name == to.target);
        let up = fake.is_some_and(|fake| fake.alive && fake.incarnation == to.incarnation);
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
        self.soon(Happening::Event(core, event));
        Ok(())
    }

    /// Nothing goes to a closed target or a retiring replica, as far as the core knows.
    fn allowed(&self, core: usize, id: CallId, to: &Destination) -> Result<(), Violation> {
        let fleet_view = &self.cores[core].fleet_view;
        if !fleet_view.is_open(&to.target, to.incarnation) {
            return Err(format!(
                "request {id} went to the closed target {}",
                to.target
            ));
        }
        if to
            .replica
            .is_some_and(|replica| !fleet_view.is_ready(replica))
        {
            return Err(format!("request {id} went to a replica that is not ready"));
        }
        Ok(())
    }

    pub(super) fn proceed(
        &mut self,
        core: usize,
        id: CallId,
        attempt: Attempt,
    ) -> Result<(), Violation> {
        self.ledger.proceeds(id)?;
        let Some(to) = self.sends.get(&(id, attempt)).cloned() else {
            return Err(format!("attempt {attempt} of request {id} was never sent"));
        };
        self.allowed(core, id, &to)?;
        self.alone(id, attempt, &to.target)?;
        let ask = self.plan.asks[usize::try_from(id).unwrap_or_default()];
        let poison = ask.kind == Kind::Poison;
        let streaming = ask.kind == Kind::Stream;
        let up = self
            .targets
            .iter()
            .any(|fake| fake.alive && fake.name == to.target && fake.incarnation == to.incarnation);
        let flight = Flight {
            core,
            id,
            attempt,
            begun: false,
        };
        if !up {
            let step = Step::Fail(Failure::Broken);
            self.soon(Happening::Step(core, id, attempt, step));
            return Ok(());
        }
        self.flights.entry(to.target).or_default().push(flight);
        for (after, step) in steps(poison, streaming, self.plan.sick, &mut self.random) {
            let happening = Happening::Step(core, id, attempt, step);
            self.at(self.now + after, happening);
        }
        Ok(())
    }

    /// At most one suspect runs on a target, over all cores; an answer that is continued counts not.
    fn alone(&self, id: CallId, attempt: Attempt, target: &TargetId) -> Result<(), Violation> {
        let flights = self.flights.get(target).into_iter().flatten();
        let mut others =
            flights.filter(|flight| self.suspects.contains(&(flight.id, flight.attempt)));
        if !self.suspects.contains(&(id, attempt)) {
            return Ok(());
        }
        match others.next() {
            Some(other) => Err(format!("suspects {id} and {} share {target}", other.id)),
            None => Ok(()),
        }
    }

    /// One step of an attempt; late ones come all the same.
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
        let flights = self.flights.entry(to.target.clone()).or_default();
        let known = flights
            .iter_mut()
            .find(|flight| (flight.id, flight.attempt) == (id, attempt));
        let event = match step {
            Step::Begin => {
                if let Some(flight) = known {
                    flight.begun = true;
                }
                Event::Begun { id, attempt }
            }
            Step::Move(offset) => {
                self.moved(core, id, attempt);
                Event::Progress {
                    id,
                    attempt,
                    offset,
                }
            }
            Step::End => {
                flights.retain(|flight| (flight.id, flight.attempt) != (id, attempt));
                if let Some(entry) = self.ledger.entries.get_mut(&id) {
                    entry.whole.insert(attempt);
                }
                Event::Ended { id, attempt }
            }
            Step::Fail(failure) => {
                flights.retain(|flight| (flight.id, flight.attempt) != (id, attempt));
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
                let life = (to.target.clone(), to.incarnation);
                self.ledger.takes_down(POISON, life)?;
                let index = self.targets.iter().position(|fake| fake.name == to.target);
                self.die(index.unwrap_or_default());
                return Ok(());
            }
        };
        let doubled = self.random.random_range(0..20) == 0;
        if doubled {
            self.soon(Happening::Event(core, event.clone()));
        }
        self.tell(core, event)
    }

    /// Notes that the answer of the attempt in progress moved.
    fn moved(&mut self, core: usize, id: CallId, attempt: Attempt) {
        let call = self.cores[core].calls.get(&id);
        let current = call.is_some_and(|call| call.run(attempt).is_some());
        if let Some(entry) = self.ledger.entries.get_mut(&id).filter(|_| current) {
            entry.moved = entry.moved.map(|_| self.now);
        }
    }

    /// A target dies with everything on it, and comes back in another life.
    fn die(&mut self, index: usize) {
        let fake = &mut self.targets[index];
        if !fake.alive {
            return;
        }
        fake.alive = false;
        fake.open = false;
        fake.incarnation += 1;
        let name = fake.name.clone();
        for flight in self.flights.remove(&name).unwrap_or_default() {
            let failure = if flight.begun {
                Failure::Truncated
            } else {
                Failure::Broken
            };
            let step = Step::Fail(failure);
            self.soon(Happening::Step(
                flight.core,
                flight.id,
                flight.attempt,
                step,
            ));
        }
        self.at(self.now + AWAY, Happening::Back(index));
    }

    pub(super) fn trouble(&mut self, trouble: Trouble) -> Result<(), Violation> {
        let (cores, targets) = (self.plan.cores, self.plan.targets);
        match trouble {
            Trouble::Death(index) => {
                self.die(index % targets);
                Ok(())
            }
            Trouble::Leave(index) => {
                self.targets[index % targets].open = false;
                self.publish(index % targets);
                self.at(self.now + AWAY, Happening::Back(index % targets));
                Ok(())
            }
            Trouble::Retire(index) => {
                let fake = &mut self.targets[index % targets];
                fake.state = State::Retiring;
                self.publish(index % targets);
                self.targets[index % targets].replica += 100;
                self.targets[index % targets].state = State::Ready;
                self.at(self.now + AWAY, Happening::Back(index % targets));
                Ok(())
            }
            Trouble::Isolated(core) => {
                let core = core % cores;
                self.cores[core].lease = crate::lease::Lease::default();
                let lease = Event::Lease {
                    until: END,
                    version: 1,
                };
                self.at(self.now + AWAY, Happening::Event(core, lease));
                Ok(())
            }
            Trouble::Drain(core) => self.tell(core % cores, Event::Drain),
            Trouble::LostView(core) => {
                self.lost_views[core % cores] = true;
                Ok(())
            }
        }
    }
}
