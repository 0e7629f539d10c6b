//! Callers get complete answers although the target fails once in the middle of each.

use std::time::Duration;

use cornelhitch_standin::fault::Fault;
use cornelhitch_standin::store::Store;
use cornelhitch_trial::caller::{Caller, ModelRequest, Outcome};
use cornelhitch_trial::cluster::{Cluster, ClusterSpec};
use cornelhitch_trial::workers;
use cornelhitch_types::model::Reference;
use tokio_util::sync::CancellationToken;

/// Limit and interval of the attempts until the host answers its first request.
const ATTEMPTS: usize = 600;
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of the fleet.
const FLEET: &str = "
loading: { remote-ms-per-gib: 10, disk-ms-per-gib: 10, memory-ms-per-gib: 10 }
regions: [{ name: perth-a }]
models: [{ name: report, bytes: 1073741824 }]
";

/// Returns a request for the model.
fn model_request(prompt: &str, stream: bool) -> ModelRequest {
    ModelRequest {
        model: Reference::base("report"),
        prompt: prompt.to_owned(),
        tokens: 12,
        stream,
        class: None,
        deadline: None,
    }
}

#[test]
fn answers_are_complete_when_a_target_fails_once() {
    let regions = vec!["perth-a".to_owned()];
    let cluster = Cluster::start(&ClusterSpec {
        regions: regions.clone(),
        hosts: 1,
        voters: 1,
        fleet: FLEET.to_owned(),
    })
    .expect("cluster should start");
    let spec = workers::WorkerSpec {
        regions,
        workers: 2,
        memory: 4 << 30,
        token: Duration::from_millis(2),
        store: Store::builder()
            .time_per_gib(Duration::from_millis(10))
            .build(),
    };
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let stop = CancellationToken::new();
    let hosts = cluster.caller_addresses();
    runtime.block_on(async {
        let engines = workers::start(&spec, &hosts, &stop)
            .await
            .expect("worker should start");
        let caller = Caller::new("dealer");
        let mut answered = false;
        for _ in 0..ATTEMPTS {
            answered = caller
                .request_model(hosts[0], &model_request("first", true))
                .await
                .is_answered();
            if answered {
                break;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        assert!(answered, "no request was answered in {ATTEMPTS} attempts");
        let faults = [
            Fault::Stall,
            Fault::AbortStream,
            Fault::NoTerminator,
            Fault::MissingToken,
            Fault::WrongIdInHeaders,
            Fault::WrongIdInEvent,
            Fault::Refuse,
        ];
        for fault in faults {
            for engine in engines.iter().filter(|e| e.counters().loads_completed > 0) {
                engine.inject_fault(fault);
            }
            let outcome = caller
                .request_model(hosts[0], &model_request(&fault.to_string(), true))
                .await;
            assert!(
                matches!(outcome, Outcome::Answered { .. }),
                "{fault}: {outcome:?}"
            );
        }
    });
    stop.cancel();
}
