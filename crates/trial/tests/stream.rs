//! An answer is whole although its target fails once in the middle.

use std::time::Duration;

use cornelhitch_standin::fault::Fault;
use cornelhitch_standin::store::Store;
use cornelhitch_trial::caller::{Ask, Caller, End};
use cornelhitch_trial::cluster::{Cluster, Plan};
use cornelhitch_trial::workers;
use cornelhitch_types::model::Reference;
use tokio_util::sync::CancellationToken;

/// How often a first answer is tried while the host gets ready, and the pause between.
const TRIES: usize = 600;
const PAUSE: Duration = Duration::from_millis(50);

/// The fleet's settings.
const FLEET: &str = "
loading: { remote-ms-per-gib: 10, disk-ms-per-gib: 10, memory-ms-per-gib: 10 }
regions: [{ name: perth-a }]
models: [{ name: report, bytes: 1073741824 }]
";

/// A request.
fn ask(prompt: &str, stream: bool) -> Ask {
    Ask {
        model: Reference::base("report"),
        prompt: prompt.to_owned(),
        tokens: 12,
        stream,
        class: None,
        deadline: None,
    }
}

#[test]
fn a_target_that_fails_once_costs_no_answer() {
    let regions = vec!["perth-a".to_owned()];
    let cluster = Cluster::start(&Plan {
        regions: regions.clone(),
        hosts: 1,
        voters: 1,
        fleet: FLEET.to_owned(),
    })
    .expect("a cluster");
    let plan = workers::Plan {
        regions,
        workers: 2,
        memory: 4 << 30,
        token: Duration::from_millis(2),
        store: Store::builder().gib(Duration::from_millis(10)).build(),
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let stop = CancellationToken::new();
    let hosts = cluster.callers();
    runtime.block_on(async {
        let engines = workers::start(&plan, &hosts, &stop).await.expect("engines");
        let caller = Caller::new("dealer");
        let mut answered = false;
        for _ in 0..TRIES {
            answered = caller
                .ask(hosts[0], &ask("first", true))
                .await
                .is_answered();
            if answered {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        assert!(answered, "the host did not become ready");
        let faults = [
            Fault::Stall,
            Fault::Break,
            Fault::NoTerminator,
            Fault::Gap,
            Fault::CrossedHead,
            Fault::CrossedEvent,
            Fault::Refuse,
        ];
        for fault in faults {
            for engine in engines.iter().filter(|engine| engine.counters().loaded > 0) {
                engine.fault(fault);
            }
            let end = caller.ask(hosts[0], &ask(&fault.to_string(), true)).await;
            assert!(matches!(end, End::Answered { .. }), "{fault}: {end:?}");
        }
    });
    stop.cancel();
}
