//! An engine obeys orders, answers whole, and is asked over the real client.

mod common;

use std::time::Duration;

use common::{BODY, TOKENS, ask, engine, get, load, model, order, ready, send, until};
use cornelhitch_standin::text;
use cornelhitch_target::client::{Cache, Client};
use cornelhitch_target::error::Error;
use cornelhitch_target::http::{Http, Version};
use cornelhitch_types::order::{Action, Outcome, Reply};
use cornelhitch_types::refusal::Run;
use cornelhitch_types::target::Stage;

#[tokio::test]
async fn answers_are_whole_in_both_forms_and_when_resumed() {
    let engine = engine(|builder| builder).await;
    ready(&engine).await;
    let whole = text::answer(&model(), BODY, TOKENS);
    let first = text::answer(&model(), BODY, 4);
    let rows = [
        ("plain", false, None, whole.as_str()),
        ("stream", true, None, whole.as_str()),
        ("resumed", true, Some(4), &whole[first.len()..]),
        ("resumed-at-the-end", true, Some(TOKENS), ""),
    ];
    for (id, stream, from, expected) in rows {
        let got = get(engine.address(), ask(id, stream, from)).await;
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
async fn http_2_carries_many_requests_on_one_connection() {
    let engine = engine(|builder| builder).await;
    ready(&engine).await;
    let http = Http::builder().version(Version::Two).build();
    let asks = (0..20).map(|at| {
        let (http, address) = (http.clone(), engine.address());
        async move {
            let generate = ask(&format!("r{at}"), false, None);
            let answer = http.generate(address, generate, Box::new(|| true)).await;
            let mut parts = answer.expect("an answer").parts;
            futures_util::StreamExt::next(&mut parts)
                .await
                .expect("a part")
                .expect("whole")
        }
    });
    let answers = futures_util::future::join_all(asks).await;
    assert_eq!(answers.len(), 20);
    engine.stop().await;
}

#[tokio::test]
async fn orders_are_fenced_only_where_the_engine_looks() {
    // Whether it looks; the fence and replica of a second load; loads begun; the reply.
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
async fn memory_is_never_overcommitted_and_attempts_are_counted() {
    let engine = engine(|builder| builder.memory(100_u64)).await;
    for (replica, bytes) in [(1, 60), (2, 50), (3, 40)] {
        send(engine.address(), &order(&engine, 1, replica, load(bytes))).await;
    }
    let counters = engine.counters();
    assert_eq!((counters.overcommits, counters.memory_peak), (1, 100));
    let unload = Action::Unload { model: model() };
    send(engine.address(), &order(&engine, 1, 1, unload)).await;
    assert_eq!(engine.used_bytes(), 40);
    engine.stop().await;
}

#[tokio::test]
async fn a_gate_that_stays_shut_keeps_the_request_back() {
    let engine = engine(|builder| builder).await;
    ready(&engine).await;
    let http = Http::default();
    let shut = Box::new(|| false);
    let answer = http
        .generate(engine.address(), ask("r1", true, None), shut)
        .await;
    let error = answer.err().expect("no answer");
    assert!(matches!(error, Error::Withdrawn), "{error}");
    let held = order(&engine, 2, 2, load(1));
    let outcome = http
        .order(engine.address(), &held, common::LONG, Box::new(|| false))
        .await;
    assert_eq!(outcome, Outcome::Unsent);
    assert!(engine.counters().runs.is_empty());
    engine.stop().await;
}

#[tokio::test]
async fn where_nobody_listens_nothing_is_sent_and_the_gate_is_not_asked() {
    let engine = engine(|builder| builder).await;
    let (address, load) = (engine.address(), order(&engine, 1, 1, load(1)));
    engine.stop().await;
    let gate = Box::new(|| panic!("asked although there is no connection"));
    let http = Http::default();
    let answer = http.generate(address, ask("r1", true, None), gate).await;
    assert_eq!(answer.err().map(|error| error.run()), Some(Run::NotRun));
    assert_eq!(send(address, &load).await, Outcome::Unsent);
}

#[tokio::test]
async fn a_crash_empties_it_and_a_new_life_begins() {
    let poison = Some("report".into());
    let engine = engine(|builder| builder.poison(poison)).await;
    ready(&engine).await;
    let got = get(engine.address(), ask("r1", true, None)).await;
    assert_eq!(got.error.map(|error| error.run()), Some(Run::Unknown));
    engine.wait_for_restart(1).await;
    assert_eq!((engine.incarnation(), engine.used_bytes()), (2, 0));
    assert_eq!(engine.counters().crashes, 1);
    engine.stop().await;
}

#[tokio::test]
async fn cancelling_frees_the_place_and_a_caller_that_leaves_does_too() {
    let slow = Duration::from_secs(30);
    let engine = engine(|builder| builder.token(slow).batch(1_u32)).await;
    ready(&engine).await;
    let http = Http::default();
    let answer = http
        .generate(engine.address(), ask("r1", true, None), Box::new(|| true))
        .await;
    http.cancel(engine.address(), &"r1".into())
        .await
        .expect("it is cancelled");
    until(|| engine.counters().cancelled == 1).await;
    drop(answer);
    let answer = http
        .generate(engine.address(), ask("r2", true, None), Box::new(|| true))
        .await;
    drop(answer);
    http.cancel(engine.address(), &"r2".into())
        .await
        .expect("unknown is as good");
    until(|| engine.counters().cancelled == 2).await;
    engine.stop().await;
}

#[tokio::test]
async fn adapters_warm_ups_and_kv_caches_work() {
    let engine = engine(|builder| builder.stage("preview", Stage::Disk)).await;
    ready(&engine).await;
    let with_adapter = || "report+dealer-17".parse().expect("a reference");
    let adapter = Action::Adapter {
        model: with_adapter(),
    };
    send(engine.address(), &order(&engine, 1, 1, adapter)).await;
    until(|| {
        engine
            .inventory()
            .iter()
            .any(|copy| !copy.adapters.is_empty())
    })
    .await;
    let generate = cornelhitch_target::client::Generate {
        model: with_adapter(),
        ..ask("r1", true, None)
    };
    let got = get(engine.address(), generate).await;
    assert_eq!(got.text, text::answer(&with_adapter(), BODY, TOKENS));

    let other = common::engine(|builder| builder).await;
    let cache = Cache {
        request: "kv1".into(),
        replica: 1,
        model: model(),
        prefix: text::digest(BODY),
    };
    let http = Http::default();
    let kv = http
        .export(engine.address(), &cache)
        .await
        .expect("it is held");
    assert!(http.export(other.address(), &cache).await.is_err());
    http.import(other.address(), &cache, kv)
        .await
        .expect("it is taken");
    assert!(http.export(other.address(), &cache).await.is_ok());
    engine.stop().await;
    other.stop().await;
}

#[tokio::test]
async fn a_connection_that_the_engine_closed_is_not_used_again() {
    for version in [Version::One, Version::Two] {
        let engine = engine(|builder| builder).await;
        let http = Http::builder().version(version).build();
        for life in 1..4 {
            ready(&engine).await;
            let id = format!("r{life}");
            let gate = Box::new(|| true);
            let generate = ask(&id, false, None);
            let answer = http.generate(engine.address(), generate, gate).await;
            let mut parts = answer.expect("an answer").parts;
            let part = futures_util::StreamExt::next(&mut parts).await;
            assert!(matches!(part, Some(Ok(_))), "{version:?} {life}: {part:?}");
            engine.crash();
            engine.wait_for_restart(life).await;
        }
        engine.stop().await;
    }
}
