//! A voter that stands in no host's settings is found by hosts that only take callers.

use std::net::SocketAddr;
use std::time::Duration;

use cornelhitch_trial::cluster::{Cluster, Plan};
use cornelhitch_trial::operator::call;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

/// How often something is tried before it counts as failed, and the pause between.
const TRIES: usize = 60;
const PAUSE: Duration = Duration::from_millis(250);

/// The fleet's settings.
const FLEET: &str = "classes: [{ name: lane, weight: 10 }]\nservices: [{ name: auction }]\n";

/// The place of the host that only takes callers.
const ENTRY: usize = 3;

/// An operator at one host.
struct Operator {
    runtime: Runtime,
    host: SocketAddr,
}

impl Operator {
    /// One call.
    fn call(&self, method: &str, path: &str, body: &Value) -> Value {
        self.runtime.block_on(call(self.host, method, path, body))
    }

    /// Calls until the answer is right.
    fn until(&self, call: (&str, &str, &Value), right: impl Fn(&Value) -> bool) -> Value {
        let (method, path, body) = call;
        let mut last = Value::Null;
        for _ in 0..TRIES {
            last = self.call(method, path, body);
            if right(&last) {
                return last;
            }
            std::thread::sleep(PAUSE);
        }
        panic!("{method} {path} at {}: {last}", self.host);
    }

    /// Makes a change of the voters, which may have to be asked for again.
    fn members(&self, change: &str, right: impl Fn(&Value) -> bool) {
        let path = format!("/members?change={change}");
        for _ in 0..TRIES {
            self.call("POST", &path, &Value::Null);
            let status = self.call("GET", "/status", &Value::Null);
            if right(&status["quorum"]["members"]) {
                return;
            }
            std::thread::sleep(PAUSE);
        }
        panic!("{change} was not done");
    }

    /// Brings settings in force and returns their version.
    fn apply(&self, request: &str) -> u64 {
        let settings = self.until(("GET", "/settings", &Value::Null), |settings| {
            settings["version"].as_u64() > Some(0)
        });
        let base = settings["version"].as_u64().expect("a version");
        let text = format!("{FLEET}# {request}\n");
        let body = json!({"operator": "trial", "request": request, "base": base, "text": text});
        let accepted = |answer: &Value| answer["result"] == "accepted";
        let answer = self.until(("POST", "/settings", &body), accepted);
        let version = answer["version"].as_u64().expect("a version");
        let path = format!("/in-force?version={version}");
        self.until(("GET", &path, &Value::Null), |answer| {
            *answer == json!(true)
        });
        version
    }
}

/// An operator at one host of a cluster.
fn operator(cluster: &Cluster, index: usize) -> Operator {
    Operator {
        runtime: Runtime::new().expect("a runtime"),
        host: cluster.hosts[index].addresses.operators,
    }
}

#[test]
fn settings_change_when_only_a_voter_outside_the_files_is_left() {
    let mut cluster = Cluster::start(&Plan {
        regions: vec!["perth-a".to_owned()],
        hosts: ENTRY + 1,
        voters: ENTRY,
        fleet: FLEET.to_owned(),
    })
    .expect("a cluster");
    let entry = operator(&cluster, ENTRY);
    let first = entry.apply("with the first voters");
    let spare = cluster.spare().expect("a host");
    let new = cluster.hosts[spare].process.host.to_string();
    let known = |dump: &Value| dump["control"]["quorum"]["peer"]["incarnation"].is_u64();
    let dump = operator(&cluster, spare).until(("GET", "/dump", &Value::Null), known);
    let incarnation = &dump["control"]["quorum"]["peer"]["incarnation"];

    let replace = format!("replace&old=3&host={new}&incarnation={incarnation}");
    entry.members(&replace, |members| {
        members[&new]["standing"] == "voter" && members["3"].is_null()
    });
    cluster.kill(2);
    for index in [0, 1] {
        let old = cluster.hosts[index].process.host.to_string();
        let remove = format!("remove&host={old}");
        entry.members(&remove, |members| {
            members.is_object() && members[&old].is_null()
        });
        cluster.kill(index);
    }

    let leads = |status: &Value| status["quorum"]["peer"]["id"] == json!(spare + 1);
    entry.until(("GET", "/status", &Value::Null), leads);
    assert!(entry.apply("with the new voter alone") > first);
}
