//! Simulates a small fleet of cores with fake control and targets in virtual time and checks the
//! invariants.

mod attempt_script;
mod fake_control;
mod invariants;
mod plan;
mod request_log;
mod simulation;
mod targets;
