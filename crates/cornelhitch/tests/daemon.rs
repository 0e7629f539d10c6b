//! The daemon's arguments, the operator command's arguments, and shutdown by an operator.

use std::path::Path;

use cornelhitch::daemon::{self, Command};
use cornelhitch::settings::process::ProcessSettings;
use cornelhitch_trial::cluster::{OPERATOR_TOKEN, free_port};
use cornelhitch_trial::operator;
use serde_json::Value;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;

/// Attempts to reach the host before the test fails.
const MAX_ATTEMPTS: usize = 200;

/// Time-out for the daemon's shutdown: four times the default `max-age-ms`, for which callers may
/// cache the response of `/v1/entries`. Without it, a daemon that hangs would be ended by the test
/// runner's SIGTERM, and the test would pass.
const SHUTDOWN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(40);

/// Writes a file into the folder and returns its path.
fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("file should be written");
    path.display().to_string()
}

/// Returns settings of one host on free ports.
fn settings(folder: &Path) -> String {
    let keys = write(folder, "keys", "a secret that all peers share");
    let token = write(folder, "token", OPERATOR_TOKEN);
    let data = folder.join("data").display().to_string();
    let [callers, operators, peers] = [(); 3].map(|()| free_port());
    format!(
        "cluster: trial
host: 1
region: perth-a
zone: perth-a-1
roles: [entry, control]
callers: 127.0.0.1:{callers}
operators: 127.0.0.1:{operators}
peers: 127.0.0.1:{peers}
voters: [{{ host: 1, address: 127.0.0.1:{peers} }}]
data: {data}
keys: {keys}
token: {token}
"
    )
}

#[test]
fn daemon_arguments_are_parsed_or_rejected_by_name() {
    let folder = TempDir::new().expect("folder should be created");
    let good = write(folder.path(), "good.yaml", &settings(folder.path()));
    let bad = settings(folder.path()).replace("region:", "regoin:");
    let bad = write(folder.path(), "bad.yaml", &bad);
    let rows: [(&[&str], &str); 6] = [
        (&[], "--settings FILE is missing"),
        (&["--nonsense"], "nonsense"),
        (&["--settings", "/nowhere/host.yaml"], "/nowhere/host.yaml"),
        (&["--settings", &bad], "regoin"),
        (
            &["--settings", &good, "--callers", "here"],
            "--callers: \"here\"",
        ),
        (
            &["--settings", &good, "--log-format", "xml"],
            "--log-format: \"xml\"",
        ),
    ];
    for (arguments, phrase) in rows {
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let error = daemon::parse_arguments(&arguments).expect_err(phrase);
        assert_eq!(error.status(), 2, "{error}");
        assert!(error.to_string().contains(phrase), "{error}");
    }
    let arguments = ["--settings", &good, "--callers", "127.0.0.1:7"].map(str::to_owned);
    let Ok(Command::Run(process)) = daemon::parse_arguments(&arguments) else {
        panic!("the settings are good");
    };
    assert_eq!(process.callers.port(), 7);
}

#[test]
fn invalid_operator_commands_are_rejected_with_status_and_reason() {
    let folder = TempDir::new().expect("folder should be created");
    let faulty = write(folder.path(), "fleet.yaml", "modles: []\n");
    let token = write(folder.path(), "token", OPERATOR_TOKEN);
    let rows: [(&[&str], u8, &str); 7] = [
        (&[], 2, "no command given"),
        (&["shuffle"], 2, "unknown command \"shuffle\""),
        (&["check"], 2, "check expects FILE"),
        (&["check", &faulty], 2, "fleet.yaml:1:1:"),
        (&["status"], 2, "--token FILE is missing"),
        (
            &["status", "--token", &token, "--host", "here"],
            2,
            "--host: \"here\"",
        ),
        (
            &["status", "--token", &token, "--host", "127.0.0.1:1"],
            3,
            "cannot be reached",
        ),
    ];
    let runtime = tokio::runtime::Runtime::new().expect("runtime should start");
    for (arguments, status, phrase) in rows {
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let ran = runtime.block_on(cornelhitch::operator::run(&arguments));
        let error = ran.expect_err(phrase);
        assert_eq!(error.status(), status, "{error}");
        assert!(error.to_string().contains(phrase), "{error}");
    }
}

#[test]
fn drain_request_ends_the_daemon() {
    let folder = TempDir::new().expect("folder should be created");
    let process: ProcessSettings = settings(folder.path()).parse().expect("settings");
    let runtime = tokio::runtime::Runtime::new().expect("runtime should start");
    let operators = process.operators;
    runtime.block_on(async {
        let daemon = tokio::spawn(daemon::run(process, None));
        let mut answer = Value::Null;
        for _ in 0..MAX_ATTEMPTS {
            answer = operator::call(operators, "POST", "/drain", &Value::Null).await;
            if !answer.is_null() {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        assert_eq!(answer, "draining");
        let ended = tokio::time::timeout(SHUTDOWN_TIMEOUT, daemon).await;
        let ended = ended
            .expect("draining should end the daemon")
            .expect("task should end");
        assert!(ended.is_ok(), "{ended:?}");
    });
}

#[test]
fn a_caller_that_holds_its_connection_does_not_keep_the_daemon_past_its_grace_period() {
    const GRACE: std::time::Duration = std::time::Duration::from_secs(2);
    let folder = TempDir::new().expect("folder should be created");
    let text = settings(folder.path()) + "serving: { leave-ms: 200, grace-ms: 2000 }\n";
    let process: ProcessSettings = text.parse().expect("settings");
    let runtime = tokio::runtime::Runtime::new().expect("runtime should start");
    let (callers, operators) = (process.callers, process.operators);
    runtime.block_on(async {
        let daemon = tokio::spawn(daemon::run(process, None));
        let mut held = None;
        for _ in 0..MAX_ATTEMPTS {
            held = tokio::net::TcpStream::connect(callers).await.ok();
            if held.is_some() {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        let mut held = held.expect("the host should listen");
        let request =
            b"POST /v1/chat/completions HTTP/1.1\r\nhost: any\r\ncontent-length: 9\r\n\r\n";
        let sent = held.write_all(request).await;
        sent.expect("the head should be sent");
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        let answer = operator::call(operators, "POST", "/drain", &Value::Null).await;
        assert_eq!(answer, "draining");
        let ended = tokio::time::timeout(GRACE, daemon).await;
        let ended = ended.expect("the daemon should end within its grace period");
        assert!(ended.expect("task should end").is_ok());
    });
}
