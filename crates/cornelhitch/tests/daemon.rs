//! The daemon's arguments, and its end by an operator.

use std::path::Path;

use cornelhitch::daemon::{self, Command};
use cornelhitch::settings::process::Process;
use cornelhitch_trial::cluster::{TOKEN, free_port};
use cornelhitch_trial::operator;
use serde_json::Value;
use tempfile::TempDir;

/// How often an operator tries to reach the host.
const TRIES: usize = 200;

/// Time after which the daemon counts as hanging: four times as long as callers keep an answer
/// of `/v1/entries`. A daemon that hangs would else end, and pass, by a runner's own SIGTERM.
const HANG: std::time::Duration = std::time::Duration::from_secs(40);

/// Writes a file of the folder.
fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a file");
    path.display().to_string()
}

/// Settings of one host on free ports.
fn settings(folder: &Path) -> String {
    let keys = write(folder, "keys", "a secret that all peers share");
    let token = write(folder, "token", TOKEN);
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
fn arguments_are_read_or_refused_with_their_place() {
    let folder = TempDir::new().expect("a folder");
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
        let error = daemon::command(&arguments).expect_err(phrase);
        assert_eq!(error.status(), 2, "{error}");
        assert!(error.to_string().contains(phrase), "{error}");
    }
    let arguments = ["--settings", &good, "--callers", "127.0.0.1:7"].map(str::to_owned);
    let Ok(Command::Run(process)) = daemon::command(&arguments) else {
        panic!("the settings are good");
    };
    assert_eq!(process.callers.port(), 7);
}

#[test]
fn what_operators_type_is_refused_with_its_place() {
    let folder = TempDir::new().expect("a folder");
    let faulty = write(folder.path(), "fleet.yaml", "modles: []\n");
    let token = write(folder.path(), "token", TOKEN);
    let rows: [(&[&str], u8, &str); 7] = [
        (&[], 2, "no command was named"),
        (&["shuffle"], 2, "there is no command \"shuffle\""),
        (&["check"], 2, "check takes FILE"),
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
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    for (arguments, status, phrase) in rows {
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let ran = runtime.block_on(cornelhitch::operator::run(&arguments));
        let error = ran.expect_err(phrase);
        assert_eq!(error.status(), status, "{error}");
        assert!(error.to_string().contains(phrase), "{error}");
    }
}

#[test]
fn an_operator_ends_the_daemon() {
    let folder = TempDir::new().expect("a folder");
    let process: Process = settings(folder.path()).parse().expect("settings");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let operators = process.operators;
    runtime.block_on(async {
        let daemon = tokio::spawn(daemon::run(process));
        let mut answer = Value::Null;
        for _ in 0..TRIES {
            answer = operator::call(operators, "POST", "/drain", &Value::Null).await;
            if !answer.is_null() {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        assert_eq!(answer, "draining");
        let ended = tokio::time::timeout(HANG, daemon).await;
        let ended = ended
            .expect("the drain ends the daemon")
            .expect("the task ends");
        assert!(ended.is_ok(), "{ended:?}");
    });
}
