//! Claims whose proposals are repeated or arrive late.

mod common;

use cornelhitch_control::claims::{Claim, ClaimResult, Finish, Outcome, Refusal};
use cornelhitch_control::prelude::*;

/// A command about one key.
enum Step {
    /// A claim with a call number and a digest, by a host.
    Claim(u64, u8, u64),
    /// Host 1 abandons the claim with this call number.
    Abandon(u64),
    /// Host 1 records an unknown outcome for this call number.
    Finish(u64),
}

#[test]
fn repeated_proposal_is_told_from_a_resend() {
    use Step::{Abandon, Claim, Finish};
    let unknown = || ClaimResult::Recorded(Outcome::Unknown);
    let holder = ClaimResult::Refused(Refusal::Holder);
    let absent = ClaimResult::Refused(Refusal::Absent);
    #[rustfmt::skip]
    let rows = [
        ("the proposal is repeated", vec![(Claim(1, 7, 1), ClaimResult::Granted), (Claim(1, 7, 1), ClaimResult::Granted)]),
        ("the caller resends to the same host", vec![(Claim(1, 7, 1), ClaimResult::Granted), (Claim(2, 7, 1), ClaimResult::InProgress)]),
        ("the caller resends to another host", vec![(Claim(1, 7, 1), ClaimResult::Granted), (Claim(1, 7, 2), ClaimResult::InProgress)]),
        ("the repeat comes after the end", vec![(Claim(1, 7, 1), ClaimResult::Granted), (Finish(1), ClaimResult::Done), (Claim(1, 7, 1), unknown())]),
        ("a late abandonment of an earlier claim", vec![
            (Claim(1, 7, 1), ClaimResult::Granted), (Abandon(1), ClaimResult::Done), (Claim(2, 7, 1), ClaimResult::Granted),
            (Abandon(1), holder.clone()), (Claim(3, 7, 1), ClaimResult::InProgress),
        ]),
        ("a late end of an earlier claim", vec![
            (Claim(1, 7, 1), ClaimResult::Granted), (Abandon(1), ClaimResult::Done), (Claim(2, 7, 1), ClaimResult::Granted),
            (Finish(1), holder), (Claim(3, 7, 1), ClaimResult::InProgress),
        ]),
        ("nothing to give back", vec![(Abandon(1), absent)]),
    ];
    for (name, steps) in rows {
        let mut state = State::default();
        for (index, (step, expected)) in steps.into_iter().enumerate() {
            let entry = Entry {
                index: index as u64 + 1,
                ..Entry::default()
            };
            let reply = state.apply(&entry, command(&step));
            assert_eq!(reply, Reply::Claim(expected), "{name}, step {index}");
        }
    }
}

fn command(step: &Step) -> Command {
    let key = common::key("bid-1");
    let holder = common::holder(1, 1);
    match *step {
        Step::Claim(call, digest, host) => Command::Claim(Claim {
            call,
            ..common::claim("bid-1", digest, host)
        }),
        Step::Abandon(call) => Command::Abandon { key, holder, call },
        Step::Finish(call) => Command::Finish(Finish {
            key,
            holder,
            call,
            outcome: Outcome::Unknown,
        }),
    }
}
