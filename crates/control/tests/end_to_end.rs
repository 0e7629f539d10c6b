//! A single control host from end to end: announcement, decision, order, published replica.

mod common;

use common::{Bench, MODELS, heartbeat, model_copy, report, worker};
use cornelhitch_control::prelude::*;
use cornelhitch_control::{claims, current_settings};
use cornelhitch_types::order::{Action, Outcome, Reply as Answer};
use cornelhitch_types::target::Stage;
use cornelhitch_types::view::{Change, State as ReplicaState};

#[test]
fn model_is_decided_ordered_and_published() {
    let mut bench = Bench::new();
    bench.apply_settings(MODELS);
    bench.handle(Input::Announcement(worker("w1", 1, 100, false)));
    bench.handle(Input::Heartbeat(heartbeat("w1", 1, 1, vec![])));
    bench.advance(1);
    bench.handle(Input::Report(report(1, 1, &[("report", 3, 0)])));
    bench.advance(2);
    let orders = bench.orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert!(matches!(orders[0].action, Action::Load { bytes: 40, .. }));
    let accepted = Outcome::Answered(Answer::Accepted);
    bench.handle(Input::OrderDone {
        order: orders[0].clone(),
        outcome: accepted,
    });
    let held = model_copy("report", Some(orders[0].replica), Stage::Ready, 40);
    bench.handle(Input::Heartbeat(heartbeat("w1", 1, 2, vec![held])));
    bench.advance(1);
    let changes = bench.changes();
    let ready = changes.iter().any(|change| {
        matches!(change, Change::Replica(it) if it.state == ReplicaState::Ready && &*it.model == "report")
    });
    assert!(ready, "{changes:?}");
    assert!(bench.orders().is_empty());
}

#[test]
fn resend_gets_the_first_answer_after_a_restart() {
    let mut bench = Bench::new();
    let first = bench.apply_settings(MODELS);
    assert_eq!(
        first,
        Reply::Settings(current_settings::ApplyResult::Accepted { version: 1 })
    );
    bench.restart();
    assert_eq!(bench.apply_settings(MODELS), first);
}

#[test]
fn claim_is_granted_once_across_a_restart() {
    let mut bench = Bench::new();
    let claim = common::claim("bid-1", 7, 1);
    let granted = Reply::Claim(claims::ClaimResult::Granted);
    assert_eq!(bench.commit(&Command::Claim(claim.clone())), granted);
    bench.restart();
    let progress = Reply::Claim(claims::ClaimResult::InProgress);
    let resend = claims::Claim { call: 2, ..claim };
    assert_eq!(bench.commit(&Command::Claim(resend)), progress);
}
