//! A fake plain service counts runs, and the client reports whether a failed request ran.

mod common;

use cornelhitch_standin::service::{Failure, Service};
use cornelhitch_target::client::{Client, ServiceRequest};
use cornelhitch_target::http::{Http, Reuse};
use cornelhitch_types::refusal::Run;
use http::{HeaderMap, HeaderValue, Method};
use tokio_util::sync::CancellationToken;

/// Returns a request with an idempotency key.
fn bid_with_key(key: &'static str) -> ServiceRequest {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", HeaderValue::from_static(key));
    ServiceRequest {
        request: "r-1".into(),
        method: Method::POST,
        path: "/lots/17/bids?lane=2".into(),
        headers,
        body: "{}".into(),
        reuse: Reuse::No,
        deadline: Some(common::TIMEOUT),
    }
}

#[tokio::test]
async fn the_client_reports_for_each_failure_whether_the_request_ran() {
    // Failure; runs counted; what the client's error says about the run.
    let rows = [
        (None, 1, None),
        (Some(Failure::Fail), 1, None),
        (Some(Failure::Refuse), 0, None),
        (Some(Failure::AbortBeforeRun), 0, Some(Run::Unknown)),
        (Some(Failure::AbortAfterRun), 1, Some(Run::Unknown)),
        (Some(Failure::WrongRequestId), 1, Some(Run::Unknown)),
    ];
    for (failure, runs, run) in rows {
        let service = Service::builder().name("auction-1").service("bids");
        let service = service
            .start(CancellationToken::new())
            .await
            .expect("a port should be free");
        if let Some(failure) = failure {
            service.inject_failure(failure);
        }
        let gate = Box::new(|| true);
        let reply = Http::default()
            .call(service.address(), bid_with_key("k1"), gate)
            .await;
        assert_eq!(reply.err().map(|error| error.run()), run, "{failure:?}");
        let counted = service.run_counts().get("k1").copied().unwrap_or(0);
        assert_eq!(counted, runs, "{failure:?}");
        service.stop();
    }
}

#[tokio::test]
async fn two_requests_with_one_key_count_as_two_runs() {
    let service = Service::builder().service("bids");
    let service = service
        .start(CancellationToken::new())
        .await
        .expect("a port should be free");
    let http = Http::default();
    for run in 1..=2 {
        let reply = http
            .call(service.address(), bid_with_key("k1"), Box::new(|| true))
            .await;
        let body = reply.expect("request should be answered").body;
        let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(body["run"], run);
        assert_eq!(body["path"], "/lots/17/bids?lane=2");
    }
    service.stop();
}
