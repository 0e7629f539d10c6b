//! Requests are served even if nobody reads the daemon's log output.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use cornelhitch_trial::cluster::{OPERATOR_TOKEN, free_port};
use tempfile::TempDir;

/// Attempts to reach the daemon before the test fails, and the pause between them.
const MAX_ATTEMPTS: usize = 100;
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of requests: enough to fill any pipe, since each refusal logs a line.
const REQUESTS: usize = 1_000;

/// Kills the daemon at the end of the test.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Requests a model that does not exist; returns whether the host refuses the request.
fn refuses(callers: SocketAddr) -> bool {
    let body = r#"{"model":"none","messages":[]}"#;
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(callers)?;
        stream.set_read_timeout(Some(RETRY_INTERVAL * 20))?;
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: any\r\nconnection: close";
        let length = body.len();
        write!(stream, "{head}\r\ncontent-length: {length}\r\n\r\n{body}")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    ask().is_ok_and(|answer| answer.contains("not_run"))
}

#[test]
fn unread_log_output_does_not_block_requests() {
    let folder = TempDir::new().expect("folder should be created");
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("file should be written");
        path.display().to_string()
    };
    let keys = write("keys", "a secret that all peers share");
    let token = write("token", OPERATOR_TOKEN);
    let data = folder.path().join("data").display().to_string();
    let [callers, operators, peers] = [(); 3].map(|()| free_port());
    let settings = write(
        "host.yaml",
        &format!(
            "cluster: trial\nhost: 1\nregion: perth-a\nzone: perth-a-1\nroles: [entry, control]\n\
             callers: 127.0.0.1:{callers}\noperators: 127.0.0.1:{operators}\npeers: 127.0.0.1:{peers}\n\
             voters: [{{ host: 1, address: 127.0.0.1:{peers} }}]\ndata: {data}\nkeys: {keys}\n\
             token: {token}\n"
        ),
    );
    let daemon = Command::new(env!("CARGO_BIN_EXE_cornelhitchd"))
        .args([
            "--settings",
            &settings,
            "--log",
            "trace",
            "--log-format",
            "json",
        ])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn();
    let _daemon = Daemon(daemon.expect("daemon should start"));
    let callers = SocketAddr::from(([127, 0, 0, 1], callers));
    let started = (0..MAX_ATTEMPTS).any(|_| {
        std::thread::sleep(RETRY_INTERVAL);
        refuses(callers)
    });
    assert!(started, "the daemon does not start");
    for request in 0..REQUESTS {
        assert!(refuses(callers), "request {request} is not answered");
    }
}

/// Guards also against a host that waits for ever, since it asks the seeds of its start alone.
#[test]
fn a_control_host_that_is_not_admitted_logs_whom_it_asks_by_the_settings_in_force() {
    let folder = TempDir::new().expect("folder should be created");
    let [callers, operators, peers, seed] = [(); 4].map(|()| free_port());
    let data = folder.path().join("data");
    let settings = folder.path().join("host.yaml");
    let write = |seed_ip: &str| {
        let text = format!(
            "cluster: trial\nregion: perth-a\nzone: perth-a-1\nroles: [control]\n\
             trusted-network: true\ncallers: 127.0.0.1:{callers}\noperators: 127.0.0.1:{operators}\n\
             peers: 127.0.0.1:{peers}\nseeds: [{seed_ip}:{seed}]\nbootstrap: false\ndata: {}\n",
            data.display()
        );
        std::fs::write(&settings, text).expect("file should be written");
    };
    write("127.0.0.2");
    let daemon = Command::new(env!("CARGO_BIN_EXE_cornelhitchd"))
        .args(["--settings", &settings.display().to_string()])
        .args(["--log-format", "json"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn();
    let mut daemon = Daemon(daemon.expect("daemon should start"));
    let output = daemon.0.stdout.take().expect("output should be piped");
    let lines = BufReader::new(output).lines().map_while(Result::ok);
    let mut waiting = lines
        .map(|line| serde_json::from_str::<serde_json::Value>(&line).unwrap_or_default())
        .filter(|line| line["fields"]["asked"].is_string());
    for seed_ip in [[127, 0, 0, 2], [127, 0, 0, 3]] {
        let line = waiting.next().expect("the daemon should go on logging");
        let id = u32::from_be_bytes(seed_ip);
        assert_eq!(line["fields"]["asked"], format!("{{{id}}}"));
        assert_eq!(line["fields"]["without_group"], "{}");
        write("127.0.0.3");
    }
}
