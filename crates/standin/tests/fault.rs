//! The client detects each fault of an engine and reports whether the request or order ran.

mod common;

use common::{
    BODY, TOKENS, collect, engine, generate, load, load_model, model, order, send, wait_until,
};
use cornelhitch_standin::fault::Fault;
use cornelhitch_standin::text;
use cornelhitch_types::order::{Outcome, Reply};
use cornelhitch_types::refusal::Run;

/// A fault of a generation request and the client error it must cause.
struct StreamFault {
    /// The fault that is injected.
    fault: Fault,
    /// What the error says about the request having run.
    run: Run,
    /// Tokens sent before the error; an aborted connection may lose the last of them.
    tokens: u64,
    /// Text that the error contains.
    error_text: &'static str,
}

/// The faults, except a stall, that a streamed request can meet.
const STREAM_FAULTS: [StreamFault; 6] = [
    case(
        Fault::WrongIdInHeaders,
        Run::Unknown,
        0,
        "is to another-request, not to r1",
    ),
    case(
        Fault::WrongIdInEvent,
        Run::Unknown,
        1,
        "is to another-request, not to r1",
    ),
    case(Fault::NoTerminator, Run::Unknown, 2, "no terminator"),
    case(Fault::MissingToken, Run::Unknown, 2, "starts at token 3"),
    case(Fault::AbortStream, Run::Unknown, 2, "broke"),
    case(Fault::Refuse, Run::NotRun, 0, "503"),
];

/// Returns a row of the table.
const fn case(fault: Fault, run: Run, tokens: u64, error_text: &'static str) -> StreamFault {
    StreamFault {
        fault,
        run,
        tokens,
        error_text,
    }
}

#[tokio::test]
async fn a_faulty_stream_is_never_taken_for_a_complete_response() {
    let engine = engine(|builder| builder).await;
    load_model(&engine).await;
    for case in STREAM_FAULTS {
        engine.inject_fault(case.fault);
        let got = collect(engine.address(), generate("r1", true, None)).await;
        let error = got
            .error
            .unwrap_or_else(|| panic!("{}: no error", case.fault));
        let text = error.to_string();
        assert!(text.contains(case.error_text), "{}: {text}", case.fault);
        assert_eq!(error.run(), case.run, "{}", case.fault);
        let sent = text::response_text(&model(), BODY, case.tokens);
        if case.fault == Fault::AbortStream {
            assert!(sent.starts_with(&got.text), "{}", got.text);
        } else {
            assert_eq!(got.text, sent, "{}", case.fault);
        }

        let whole = collect(engine.address(), generate("r2", true, None)).await;
        assert_eq!(
            whole.text,
            text::response_text(&model(), BODY, TOKENS),
            "after {}",
            case.fault
        );
    }
    engine.stop().await;
}

#[tokio::test]
async fn a_stalled_stream_fails_after_the_silence_timeout() {
    let engine = engine(|builder| builder).await;
    load_model(&engine).await;
    engine.inject_fault(Fault::Stall);
    let silence = std::time::Duration::from_secs(2);
    let http = cornelhitch_target::http::Http::builder()
        .read_timeout(silence)
        .build();
    let client: &dyn cornelhitch_target::client::Client = &http;
    let gate = Box::new(|| true);
    let answer = client
        .generate(engine.address(), generate("r1", true, None), gate)
        .await;
    let parts = answer.expect("response headers should arrive").parts;
    let parts: Vec<_> = futures_util::StreamExt::collect(parts).await;
    assert_eq!(parts.len(), 3);
    assert!(matches!(&parts[2], Err(error) if error.to_string().contains("no byte")));
    wait_until(|| engine.counters().cancelled == 1).await;
    engine.stop().await;
}

#[tokio::test]
async fn a_lost_order_and_a_lost_reply_are_both_reported_as_unknown() {
    for (fault, loads) in [(Fault::LostReply, 1), (Fault::LostOrder, 0)] {
        let engine = engine(|builder| builder).await;
        engine.inject_fault(fault);
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
async fn a_crash_during_a_load_leaves_no_memory_in_use() {
    let engine = engine(|builder| builder).await;
    engine.inject_fault(Fault::CrashDuringLoad);
    send(engine.address(), &order(&engine, 1, 1, load(1 << 20))).await;
    engine.wait_for_restart(1).await;
    let counters = engine.counters();
    assert_eq!(
        (counters.loads_of("report"), counters.loads_completed),
        (1, 0)
    );
    assert_eq!(engine.used_bytes(), 0);
    engine.stop().await;
}
