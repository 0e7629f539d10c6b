//! Each fault of an engine is seen by the client as what it is.

mod common;

use common::{BODY, TOKENS, ask, engine, get, load, model, order, ready, send, until};
use cornelhitch_standin::fault::Fault;
use cornelhitch_standin::text;
use cornelhitch_types::order::{Outcome, Reply};
use cornelhitch_types::refusal::Run;

/// What the client says to a fault of a stream.
struct Row {
    /// The fault.
    fault: Fault,
    /// Whether it ran, by the error.
    run: Run,
    /// Tokens sent before the error; a break may take the last of them along.
    tokens: u64,
    /// What the error says.
    says: &'static str,
}

/// All faults of streams.
const ROWS: [Row; 6] = [
    row(
        Fault::CrossedHead,
        Run::Unknown,
        0,
        "is to another-request, not to r1",
    ),
    row(
        Fault::CrossedEvent,
        Run::Unknown,
        1,
        "is to another-request, not to r1",
    ),
    row(Fault::NoTerminator, Run::Unknown, 2, "no terminator"),
    row(Fault::Gap, Run::Unknown, 2, "starts at token 3"),
    row(Fault::Break, Run::Unknown, 2, "broke"),
    row(Fault::Refuse, Run::NotRun, 0, "503"),
];

/// One row.
const fn row(fault: Fault, run: Run, tokens: u64, says: &'static str) -> Row {
    Row {
        fault,
        run,
        tokens,
        says,
    }
}

#[tokio::test]
async fn no_fault_of_a_stream_passes_as_a_whole_answer() {
    let engine = engine(|builder| builder).await;
    ready(&engine).await;
    for row in ROWS {
        engine.fault(row.fault);
        let got = get(engine.address(), ask("r1", true, None)).await;
        let error = got
            .error
            .unwrap_or_else(|| panic!("{}: no error", row.fault));
        let text = error.to_string();
        assert!(text.contains(row.says), "{}: {text}", row.fault);
        assert_eq!(error.run(), row.run, "{}", row.fault);
        let sent = text::answer(&model(), BODY, row.tokens);
        if row.fault == Fault::Break {
            assert!(sent.starts_with(&got.text), "{}", got.text);
        } else {
            assert_eq!(got.text, sent, "{}", row.fault);
        }

        let whole = get(engine.address(), ask("r2", true, None)).await;
        assert_eq!(
            whole.text,
            text::answer(&model(), BODY, TOKENS),
            "after {}",
            row.fault
        );
    }
    engine.stop().await;
}

#[tokio::test]
async fn a_stalled_stream_ends_after_the_silence_that_is_allowed() {
    let engine = engine(|builder| builder).await;
    ready(&engine).await;
    engine.fault(Fault::Stall);
    let silence = std::time::Duration::from_secs(2);
    let http = cornelhitch_target::http::Http::builder()
        .silence(silence)
        .build();
    let client: &dyn cornelhitch_target::client::Client = &http;
    let gate = Box::new(|| true);
    let answer = client
        .generate(engine.address(), ask("r1", true, None), gate)
        .await;
    let parts = answer.expect("a head").parts;
    let parts: Vec<_> = futures_util::StreamExt::collect(parts).await;
    assert_eq!(parts.len(), 3);
    assert!(matches!(&parts[2], Err(error) if error.to_string().contains("no byte")));
    until(|| engine.counters().cancelled == 1).await;
    engine.stop().await;
}

#[tokio::test]
async fn a_lost_answer_to_an_order_is_unknown_whether_it_was_obeyed_or_not() {
    for (fault, loads) in [(Fault::LostReply, 1), (Fault::LostOrder, 0)] {
        let engine = engine(|builder| builder).await;
        engine.fault(fault);
        let load = order(&engine, 1, 1, load(1 << 20));
        assert_eq!(
            send(engine.address(), &load).await,
            Outcome::Unknown,
            "{fault}"
        );
        assert_eq!(engine.counters().loads_of("report"), loads, "{fault}");
        let again = send(engine.address(), &load).await;
        assert_eq!(again, Outcome::Answered(Reply::Accepted), "{fault}");
        assert_eq!(engine.counters().loads_of("report"), 1, "{fault}");
        engine.stop().await;
    }
}

#[tokio::test]
async fn a_death_in_mid_load_leaves_nothing_behind() {
    let engine = engine(|builder| builder).await;
    engine.fault(Fault::DieInLoad);
    send(engine.address(), &order(&engine, 1, 1, load(1 << 20))).await;
    engine.wait_for_restart(1).await;
    let counters = engine.counters();
    assert_eq!((counters.loads_of("report"), counters.loaded), (1, 0));
    assert_eq!(engine.used_bytes(), 0);
    engine.stop().await;
}
