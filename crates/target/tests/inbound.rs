//! Invalid messages from targets are rejected with the name of the invalid field.

use cornelhitch_target::inbound::{ANNOUNCE, HEARTBEAT, Json, LEAVE, Protocol, Receipt, decode};
use http::Method;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

/// Returns a valid announcement.
fn announcement() -> Value {
    json!({
        "target": "worker-1", "incarnation": 7, "kind": "worker", "address": "10.1.0.21:9000",
        "region": "perth-a", "zone": "perth-a-1", "memory": 1000, "accelerators": 1,
        "fencing": true
    })
}

/// Returns a valid heartbeat.
fn heartbeat() -> Value {
    let copy = |replica: u64| {
        json!({
            "model": { "model": "report", "version": null, "adapter": null },
            "replica": replica, "stage": "ready", "bytes": 10
        })
    };
    json!({
        "target": "worker-1", "incarnation": 7, "sequence": 1, "load": {},
        "inventory": [copy(1), copy(2)]
    })
}

/// Replaces one value in a message; `null` removes the field.
fn with(mut message: Value, pointer: &str, value: Value) -> Value {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = message.pointer_mut(parent).expect("a parent");
    match (parent, value) {
        (Value::Object(fields), Value::Null) => drop(fields.remove(key)),
        (Value::Object(fields), value) => drop(fields.insert(key.to_owned(), value)),
        (other, _) => panic!("no object: {other}"),
    }
    message
}

/// Invalid values in an announcement, and the start of the error for each.
const ANNOUNCEMENTS: &str = r#"
/target         | 5                 | target: invalid type: integer `5`, expected
/target         | ""                | target: it is empty
/target         | "a\nb"            | target: it holds a control character
/target         | null              | .: missing field `target`
/incarnation    | -1                | incarnation: invalid value: integer `-1`, expected u64
/incarnation    | 1.5               | incarnation: invalid type: floating point `1.5`, expected u64
/kind           | "gpu"             | kind: unknown variant `gpu`, expected `worker` or `service`
/address        | "perth"           | address: invalid socket address syntax
/address        | "10.1.0.21:0"     | address: the port is 0
/address        | "0.0.0.0:9000"    | address: it is no address that others can reach
/region         | ""                | region: it is empty
/zone           | ""                | zone: it is empty
/memory         | 0                 | memory: a worker has memory
/memory         | "80 GiB"          | memory: invalid type: string "80 GiB", expected u64
/accelerators   | 0                 | accelerators: a worker has accelerators
/fencing        | "yes"             | fencing: invalid type: string "yes", expected a boolean
/services       | ["bids"]          | services: a service names at least one and a worker none
/kind           | "service"         | services: a service names at least one and a worker none
/colour         | "red"             | colour: unknown field `colour`
"#;

/// Invalid values in a heartbeat, and the start of the error for each.
const HEARTBEATS: &str = r#"
/sequence               | "1"       | sequence: invalid type: string "1", expected u64
/inventory              | 5         | inventory: invalid type: integer `5`, expected a sequence
/inventory/1/stage      | "lost"    | inventory[1].stage: unknown variant `lost`
/inventory/1/bytes      | -5        | inventory[1].bytes: invalid value: integer `-5`, expected u64
/inventory/1/stage      | "disk"    | inventory.bytes: a copy below the stage loading takes no
/inventory/1/replica    | 1         | inventory.replica: a replica is listed twice
/load/running           | true      | load.running: invalid type: boolean `true`, expected u32
/load                   | null      | .: missing field `load`
/cache                  | [{}]      | cache[0]: missing field `sequence`
"#;

#[test]
fn errors_name_the_invalid_field() {
    let tables = [
        (ANNOUNCE, announcement(), ANNOUNCEMENTS),
        (HEARTBEAT, heartbeat(), HEARTBEATS),
    ];
    for (path, valid, table) in tables {
        let decoded = decode(path, valid.to_string().as_bytes());
        assert!(decoded.is_ok(), "{decoded:?}");
        for row in table.trim().lines() {
            let cells: Vec<_> = row.splitn(3, '|').map(str::trim).collect();
            let value = serde_json::from_str(cells[1]).expect("JSON");
            let message = with(valid.clone(), cells[0], value).to_string();
            let error = decode(path, message.as_bytes()).expect_err(row).to_string();
            assert!(error.starts_with(cells[2]), "{row}: {error}");
        }
    }
}

#[test]
fn invalid_requests_get_a_matching_status() {
    let valid = br#"{"target":"w","incarnation":1}"#.as_slice();
    let rows: [(Method, &str, &[u8], u16); 7] = [
        (Method::POST, LEAVE, valid, 204),
        (Method::GET, LEAVE, valid, 405),
        (Method::GET, "/v1/targets/leave/now", valid, 404),
        (Method::POST, LEAVE, b"", 400),
        (
            Method::POST,
            LEAVE,
            b"{\"target\":\"w\",\"incarnation\":1} x",
            400,
        ),
        (Method::POST, LEAVE, b"\xff\xfe", 400),
        (Method::POST, ANNOUNCE, b"[[[[", 400),
    ];
    for (method, path, body, status) in rows {
        let message = Json.decode(&method, path, body);
        let answer = Json.response("", message.map(|_| Receipt::Accepted));
        assert_eq!(answer.status().as_u16(), status, "{method} {path} {body:?}");
        assert_eq!(answer.body().is_empty(), status == 204);
    }
}

/// Returns a configuration with a fixed seed, so that each run has the same cases.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(path in "(/v1/targets/)?(announce|heartbeat|leave|x)", body: Vec<u8>) {
        drop(decode(&path, &body));
    }
}
