//! A small fleet of cores with fake control and targets in virtual time, and what must always hold.

mod control;
mod fleet;
mod invariants;
mod ledger;
mod outcome;
mod plan;
mod traffic;
