//! Orders and generation requests to a fake engine, sent with the real client.

mod common;

use std::time::Duration;

use common::{
    BODY, TOKENS, collect, engine, generate, load, load_model, model, order, send, wait_until,
};
use cornelhitch_standin::text;
use cornelhitch_target::client::{Client, KvCache};
use cornelhitch_target::error::Error;
use cornelhitch_target::http::{Http, Version};
use cornelhitch_types::order::{Action, Outcome, Reply};
use cornelhitch_types::refusal::Run;
use cornelhitch_types::target::Stage;

#[tokio::test]
async fn responses_are_complete_plain_streamed_and_resumed() {
    let engine = engine(|builder| builder).await;
    load_model(&engine).await;
    let whole = text::response_text(&model(), BODY, TOKENS);
    let first = text::response_text(&model(), BODY, 4);
    let rows = [
        ("plain", false, None, whole.as_str()),
        ("stream", true, None, whole.as_str()),
        ("resumed", true, Some(4), &whole[first.len()..]),
        ("resumed-at-the-end", true, Some(TOKENS), ""),
    ];
    for (id, stream, from, expected) in rows {
        let got = collect(engine.address(), generate(id, stream, from)).await;
        assert!(got.error.is_none(), "{id}: {:?}", got.error);
        assert_eq!(got.text, expected, "{id}");
    }
    let counters = engine.counters();
    assert_eq!(counters.answered, 4);
    assert!(
        counters.runs.values().all(|runs| *runs == 1),
        "{counters:?}"
    );
    engine.stop().await;
}

#[tokio::test]
async fn http_2_serves_concurrent_requests() {
    let engine = engine(|builder| builder).await;
    load_model(&engine).await;
    let http = Http::builder().version(Version::Http2).build();
    let asks = (0..20).map(|at| {
        let (http, address) = (http.clone(), engine.address());
        async move {
            let generate = generate(&format!("r{at}"), false, None);
            let answer = http.generate(address, generate, Box::new(|| true)).await;
            let mut parts = answer.expect("request should be answered").parts;
            futures_util::StreamExt::next(&mut parts)
                .await
                .expect("a part")
                .expect("response should be complete")
        }
    });
    let answers = futures_util::future::join_all(asks).await;
    assert_eq!(answers.len(), 20);
    engine.stop().await;
}

#[tokio::test]
async fn old_orders_are_refused_only_if_fencing_is_on() {
    // Fencing; fencing token and replica of a second load order; loads started; reply.
    let rows = [
        (true, 5, 7, 1, Reply::Accepted),
        (true, 4, 8, 1, Reply::Fenced { seen: 5 }),
        (false, 5, 7, 2, Reply::Accepted),
        (false, 4, 8, 2, Reply::Accepted),
    ];
    for (fencing, fence, replica, loads, reply) in rows {
        let engine = engine(|builder| builder.fencing(fencing).tracks_replicas(fencing)).await;
        let first = order(&engine, 5, 7, load(1 << 20));
        send(engine.address(), &first).await;
        let second = order(&engine, fence, replica, load(1 << 20));
        let outcome = send(engine.address(), &second).await;
        assert_eq!(
            outcome,
            Outcome::Answered(reply),
            "{fencing} {fence} {replica}"
        );
        assert_eq!(
            engine.counters().loads_of("report"),
            loads,
            "{fencing} {fence} {replica}"
        );
        engine.stop().await;
    }
}

#[tokio::test]
async fn a_load_that_exceeds_accelerator_memory_is_refused_and_counted() {
    let engine = engine(|builder| builder.memory(100_u64)).await;
    for (replica, bytes) in [(1, 60), (2, 50), (3, 40)] {
        send(engine.address(), &order(&engine, 1, replica, load(bytes))).await;
    }
    let counters = engine.counters();
    assert_eq!(
        (counters.loads_over_capacity, counters.memory_peak_bytes),
        (1, 100)
    );
    let unload = Action::Unload { model: model() };
    send(engine.address(), &order(&engine, 1, 1, unload)).await;
    assert_eq!(engine.used_bytes(), 40);
    engine.stop().await;
}

#[tokio::test]
async fn a_closed_gate_prevents_requests_and_orders_from_being_sent() {
    let engine = engine(|builder| builder).await;
    load_model(&engine).await;
    let http = Http::default();
    let shut = Box::new(|| false);
    let answer = http
        .generate(engine.address(), generate("r1", true, None), shut)
        .await;
    let error = answer.err().expect("request should fail");
    assert!(matches!(error, Error::Cancelled), "{error}");
    let held = order(&engine, 2, 2, load(1));
    let outcome = http
        .order(engine.address(), &held, common::TIMEOUT, Box::new(|| false))
        .await;
    assert_eq!(outcome, Outcome::Unsent);
    assert!(engine.counters().runs.is_empty());
    engine.stop().await;
}

#[tokio::test]
async fn a_failed_connect_sends_nothing_and_does_not_evaluate_the_gate() {
    let engine = engine(|builder| builder).await;
    let (address, load) = (engine.address(), order(&engine, 1, 1, load(1)));
    engine.stop().await;
    let gate = Box::new(|| panic!("gate evaluated without a connection"));
    let http = Http::default();
    let answer = http
        .generate(address, generate("r1", true, None), gate)
        .await;
    assert_eq!(answer.err().map(|error| error.run()), Some(Run::NotRun));
    assert_eq!(send(address, &load).await, Outcome::Unsent);
}

#[tokio::test]
async fn a_crash_starts_a_new_incarnation_with_empty_accelerators() {
    let poison = Some("report".into());
    let engine = engine(|builder| builder.poison(poison)).await;
    load_model(&engine).await;
    let got = collect(engine.address(), generate("r1", true, None)).await;
    assert_eq!(got.error.map(|error| error.run()), Some(Run::Unknown));
    engine.wait_for_restart(1).await;
    assert_eq!((engine.incarnation(), engine.used_bytes()), (2, 0));
    assert_eq!(engine.counters().crashes, 1);
    engine.stop().await;
}

#[tokio::test]
async fn cancelling_and_disconnecting_both_free_the_batch_slot() {
    let slow = Duration::from_secs(30);
    let engine = engine(|builder| builder.token_time(slow).max_batch(1_u32)).await;
    load_model(&engine).await;
    let http = Http::default();
    let answer = http
        .generate(
            engine.address(),
            generate("r1", true, None),
            Box::new(|| true),
        )
        .await;
    http.cancel(engine.address(), &"r1".into())
        .await
        .expect("request should be cancelled");
    wait_until(|| engine.counters().cancelled == 1).await;
    drop(answer);
    let answer = http
        .generate(
            engine.address(),
            generate("r2", true, None),
            Box::new(|| true),
        )
        .await;
    drop(answer);
    http.cancel(engine.address(), &"r2".into())
        .await
        .expect("cancelling an unknown request should succeed");
    wait_until(|| engine.counters().cancelled == 2).await;
    engine.stop().await;
}

#[tokio::test]
async fn adapters_are_loaded_and_kv_caches_are_transferred() {
    let engine = engine(|builder| builder.stage("preview", Stage::Disk)).await;
    load_model(&engine).await;
    let with_adapter = || "report+dealer-17".parse().expect("a reference");
    let adapter = Action::Adapter {
        model: with_adapter(),
    };
    send(engine.address(), &order(&engine, 1, 1, adapter)).await;
    wait_until(|| {
        engine
            .inventory()
            .iter()
            .any(|copy| !copy.adapters.is_empty())
    })
    .await;
    let generate = cornelhitch_target::client::GenerateRequest {
        model: with_adapter(),
        ..generate("r1", true, None)
    };
    let got = collect(engine.address(), generate).await;
    assert_eq!(got.text, text::response_text(&with_adapter(), BODY, TOKENS));

    let other = common::engine(|builder| builder).await;
    let cache = KvCache {
        request: "kv1".into(),
        replica: 1,
        model: model(),
        prefix: text::digest(BODY),
    };
    let http = Http::default();
    let kv = http
        .export(engine.address(), &cache)
        .await
        .expect("prefix should be cached");
    assert!(http.export(other.address(), &cache).await.is_err());
    http.import(other.address(), &cache, kv)
        .await
        .expect("KV cache should be accepted");
    assert!(http.export(other.address(), &cache).await.is_ok());
    engine.stop().await;
    other.stop().await;
}

#[tokio::test]
async fn a_connection_closed_by_a_crash_is_not_reused() {
    for version in [Version::Http1, Version::Http2] {
        let engine = engine(|builder| builder).await;
        let http = Http::builder().version(version).build();
        for incarnation in 1..4 {
            load_model(&engine).await;
            let id = format!("r{incarnation}");
            let gate = Box::new(|| true);
            let generate = generate(&id, false, None);
            let answer = http.generate(engine.address(), generate, gate).await;
            let mut parts = answer.expect("request should be answered").parts;
            let part = futures_util::StreamExt::next(&mut parts).await;
            assert!(
                matches!(part, Some(Ok(_))),
                "{version:?} {incarnation}: {part:?}"
            );
            engine.crash();
            engine.wait_for_restart(incarnation).await;
        }
        engine.stop().await;
    }
}
