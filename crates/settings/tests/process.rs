//! Errors in the settings of one process.

use cornelhitch_settings::prelude::{Error, ProcessSettings};
use cornelhitch_settings::process::Role;

/// Valid settings of a host with both roles.
const VALID: &str = "\
cluster: co-op
host: 1
region: perth-a
zone: perth-a-1
roles: [entry, control]
callers: 10.1.0.1:8080
operators: 10.1.0.1:8081
peers: 10.1.0.1:8082
voters:
- { host: 1, address: '10.1.0.1:8082' }
- { host: 2, address: '10.2.0.1:8082' }
- { host: 3, address: '10.3.0.1:8082' }
data: /var/lib/cornelhitch
keys: /etc/cornelhitch/keys
token: /etc/cornelhitch/token
";

/// A line of the valid settings, its replacement, and the complete error message.
const ROWS: &str = r#"
host: 1                         |                                  | 1:1: the process's file has no `host`
host: 1                         | host: one                        | 2:7: `host` is "one", not a whole number from 0 to 18446744073709551615
host: 1                         | hots: 1                          | 1:1: the process's file has no `host` // 2:1: the process's file has no key "hots"; did you mean `host`?
cluster: co-op                  | cluster: "co op"                 | 1:10: `cluster` is "co op", not a name of up to 128 ASCII letters, digits, `-`, `_`, `.` and `/`
roles: [entry, control]         | roles: []                        | 5:8: `roles` is empty, expected at least one role
roles: [entry, control]         | roles: [entry, voter]            | 5:16: `roles` is "voter", not one of entry, control
roles: [entry, control]         | roles: [entry, entry, control]   | 5:16: `entry` stands in `roles` twice, first on line 5
callers: 10.1.0.1:8080          | callers: perth                   | 6:10: `callers` is "perth", not an IP address with a port
callers: 10.1.0.1:8080          | callers: 10.1.0.1:8081           | 7:12: 10.1.0.1:8081 is configured as a listen address twice, first on line 6
callers: 10.1.0.1:8080          | callers: 10.1.0.1:80808          | 6:10: `callers` is "10.1.0.1:80808", not an IP address with a port
peers: 10.1.0.1:8082            | peers: 0.0.0.0:8082              | 8:8: `peers` is "0.0.0.0:8082", not an IP address with a port that others can connect to // 10:23: this host is listed as a voter at 10.1.0.1:8082, but `peers` is 0.0.0.0:8082
peers: 10.1.0.1:8082            | peers: 10.1.0.1:8083             | 10:23: this host is listed as a voter at 10.1.0.1:8082, but `peers` is 10.1.0.1:8083
- { host: 2, address: '10.2.0.1:8082' } | - { host: 1, address: '10.2.0.1:8082' } | 11:11: 1 is listed as a voter's host twice, first on line 10
- { host: 2, address: '10.2.0.1:8082' } | - { host: 2, address: '10.1.0.1:8082' } | 11:23: 10.1.0.1:8082 is listed as a voter's address twice, first on line 10
- { host: 2, address: '10.2.0.1:8082' } | - { host: 2 }            | 11:3: a voter has no `address`
data: /var/lib/cornelhitch      |                                  | 1:1: the role `control` requires `data`, a folder on durable storage
token: /etc/cornelhitch/token   | token: /etc/cornelhitch/keys     | 15:8: /etc/cornelhitch/keys is configured as a file twice, first on line 14
token: /etc/cornelhitch/token   | token:                           | 15:1: `token` has no value
token: /etc/cornelhitch/token   | otlp: collector:4318             | 1:1: the process's file has no `token` // 15:7: `otlp` is "collector:4318", not a URL of the form http://HOST[:PORT][/PATH]
"#;

#[test]
fn each_fault_is_reported_with_its_position() {
    let valid: ProcessSettings = VALID.parse().expect("settings should be valid");
    assert!(valid.has_role(Role::Control));
    assert_eq!(valid.voters.len(), 3);
    for row in ROWS.trim().lines() {
        let cells: Vec<_> = row.split('|').map(str::trim).collect();
        assert!(VALID.contains(cells[0]), "{row}");
        let text = VALID.replacen(cells[0], cells[1], 1);
        let process: Result<ProcessSettings, Error> = text.parse();
        let found = process.expect_err(row).to_string();
        let expected = cells[2].replace(" // ", "\n");
        assert_eq!(found, expected, "{row}");
    }
}

#[test]
fn host_without_control_role_must_not_have_data() {
    let entry = VALID
        .replace("[entry, control]", "[entry]")
        .replace("host: 1\n", "host: 4\n");
    let found = entry
        .parse::<ProcessSettings>()
        .expect_err("it has data")
        .to_string();
    assert_eq!(
        found,
        "13:7: `data` requires the role `control`, which this process lacks"
    );
    let entry = entry.replace("data: /var/lib/cornelhitch\n", "");
    assert!(entry.parse::<ProcessSettings>().is_ok());
}

/// The platform gives the retry window in seconds, possibly fractional; its template appends an
/// exponent to convert it to milliseconds.
#[test]
fn retry_window_accepts_an_exponent() {
    let own = |window: &str| format!("{VALID}serving: {{ retry-window-ms: {window} }}\n");
    for (text, ms) in [("10000", 10_000.0), ("10e3", 10_000.0), ("7.5e3", 7_500.0)] {
        let process: ProcessSettings = own(text).parse().expect("settings");
        let read = process.serving.retry_window_ms;
        assert!((read - ms).abs() < 1e-6, "{text}: {read}");
    }
}
