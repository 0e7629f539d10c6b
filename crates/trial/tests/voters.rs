//! Hosts without the control role find a voter that is not listed in any host's process settings.

use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_trial::cluster::{Cluster, ClusterSpec};
use cornelhitch_trial::operator::call;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

/// Limit and interval of the attempts.
const ATTEMPTS: usize = 60;
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Settings of the fleet.
const FLEET: &str = "classes: [{ name: lane, weight: 10 }]\nservices: [{ name: auction }]\n";

/// Index of the host without the control role.
const ENTRY_HOST: usize = 3;

/// Client for the operators' interface of one host.
struct OperatorClient {
    runtime: Runtime,
    host: SocketAddr,
}

impl OperatorClient {
    fn call(&self, method: &str, path: &str, body: &Value) -> Value {
        self.runtime.block_on(call(self.host, method, path, body))
    }

    /// Repeats a call until the answer satisfies `expected`, and returns the answer.
    fn call_until(&self, call: (&str, &str, &Value), expected: impl Fn(&Value) -> bool) -> Value {
        let (method, path, body) = call;
        let mut last = Value::Null;
        for _ in 0..ATTEMPTS {
            last = self.call(method, path, body);
            if expected(&last) {
                return last;
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        panic!(
            "{method} {path} at {}: unexpected last answer {last}",
            self.host
        );
    }

    /// Requests a membership change until `/status` shows the expected members.
    fn change_members(&self, change: &str, expected: impl Fn(&Value) -> bool) {
        let path = format!("/members?change={change}");
        for _ in 0..ATTEMPTS {
            self.call("POST", &path, &Value::Null);
            let status = self.call("GET", "/status", &Value::Null);
            if expected(&status["quorum"]["members"]) {
                return;
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        panic!(
            "membership change {change} at {} did not take effect",
            self.host
        );
    }

    /// Submits settings, waits until they are in force and returns their version.
    fn apply_settings(&self, request: &str) -> u64 {
        let settings = self.call_until(("GET", "/settings", &Value::Null), |settings| {
            settings["version"].as_u64() > Some(0)
        });
        let base = settings["version"]
            .as_u64()
            .expect("response should have a settings version");
        let text = format!("{FLEET}# {request}\n");
        let body = json!({"operator": "trial", "request": request, "base": base, "text": text});
        let accepted = |answer: &Value| answer["result"] == "accepted";
        let answer = self.call_until(("POST", "/settings", &body), accepted);
        let version = answer["version"]
            .as_u64()
            .expect("response should have the accepted version");
        let path = format!("/in-force?version={version}");
        self.call_until(("GET", &path, &Value::Null), |answer| {
            *answer == json!(true)
        });
        version
    }
}

/// Returns a client for the host at `index`.
fn operator_client(cluster: &Cluster, index: usize) -> OperatorClient {
    OperatorClient {
        runtime: Runtime::new().expect("runtime"),
        host: cluster.hosts[index].addresses.operators,
    }
}

#[test]
fn settings_change_when_the_only_voter_left_is_in_no_process_settings() {
    let mut cluster = Cluster::start(&ClusterSpec {
        regions: vec!["perth-a".to_owned()],
        hosts: ENTRY_HOST + 1,
        voters: ENTRY_HOST,
        fleet: FLEET.to_owned(),
    })
    .expect("cluster should start");
    let entry = operator_client(&cluster, ENTRY_HOST);
    let first = entry.apply_settings("with the first voters");
    let spare = cluster.add_spare_host().expect("spare host should start");
    let new = cluster.hosts[spare].process.host.to_string();
    let known = |dump: &Value| dump["control"]["quorum"]["peer"]["incarnation"].is_u64();
    let dump = operator_client(&cluster, spare).call_until(("GET", "/dump", &Value::Null), known);
    let incarnation = &dump["control"]["quorum"]["peer"]["incarnation"];

    let replace = format!("replace&old=3&host={new}&incarnation={incarnation}");
    entry.change_members(&replace, |members| {
        members[&new]["standing"] == "voter" && members["3"].is_null()
    });
    cluster.kill(2);
    for index in [0, 1] {
        let old = cluster.hosts[index].process.host.to_string();
        let remove = format!("remove&host={old}");
        entry.change_members(&remove, |members| {
            members.is_object() && members[&old].is_null()
        });
        cluster.kill(index);
    }

    let leads = |status: &Value| status["quorum"]["peer"]["id"] == json!(spare + 1);
    entry.call_until(("GET", "/status", &Value::Null), leads);
    assert!(entry.apply_settings("with the new voter alone") > first);
}
