//! Invalid input on any port is answered with one clear error, and the host keeps running.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use cornelhitch_trial::cluster::{Cluster, ClusterSpec, OPERATOR_TOKEN};

/// Limit and interval of the attempts until a host is ready.
const ATTEMPTS: usize = 600;
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of the fleet, with a small limit for request bodies.
const FLEET: &str = "
refusing: { body: 4096 }
classes: [{ name: lane, weight: 10 }]
models: [{ name: report, bytes: 1000, class: lane }]
services: [{ name: auction }]
";

/// Port of the host to which a request goes.
#[derive(Debug, Clone, Copy)]
enum Port {
    Callers,
    Operators,
}

/// A raw request, and the expected status and a phrase of the response.
struct Case {
    port: Port,
    head: &'static str,
    body: String,
    status: u16,
    phrase: &'static str,
}

/// Returns a case for the callers' port.
fn caller_case(head: &'static str, body: &str, status: u16, phrase: &'static str) -> Case {
    Case {
        port: Port::Callers,
        head,
        body: body.to_owned(),
        status,
        phrase,
    }
}

/// Returns a case for the operators' port, which is sent with the token.
fn operator_case(head: &'static str, body: &str, status: u16, phrase: &'static str) -> Case {
    Case {
        port: Port::Operators,
        ..caller_case(head, body, status, phrase)
    }
}

/// Starts a cluster of one voter and one host without the control role.
fn start_cluster() -> Cluster {
    Cluster::start(&ClusterSpec {
        regions: vec!["perth-a".to_owned()],
        hosts: 2,
        voters: 1,
        fleet: FLEET.to_owned(),
    })
    .expect("cluster should start")
}

/// Sends raw bytes and returns everything that is received until the connection ends.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("timeout");
    stream.write_all(bytes).expect("write");
    let mut answer = Vec::new();
    // The host may reset the connection after its response if it did not read the whole body.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends the request of a case and returns the raw response.
fn send(address: SocketAddr, case: &Case) -> String {
    let token = match case.port {
        Port::Callers => String::new(),
        Port::Operators => format!("authorization: Bearer {OPERATOR_TOKEN}\r\n"),
    };
    let (line, headers) = case.head.split_once('\n').unwrap_or((case.head, ""));
    let headers: Vec<&str> = headers.lines().chain([""]).collect();
    let headers = headers.join("\r\n");
    let request = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{token}{headers}content-length: {}\r\n\r\n{}",
        case.body.len(),
        case.body
    );
    exchange(address, request.as_bytes())
}

/// Waits until a host has the settings: it then answers a request for an unknown model with 404.
fn wait_until_ready(address: SocketAddr) {
    let probe = caller_case("POST /v1/completions", "{\"model\":\"nothing\"}", 404, "");
    for _ in 0..ATTEMPTS {
        if send(address, &probe).starts_with("HTTP/1.1 404") {
            return;
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
    panic!("{address} did not answer the probe with 404 in {ATTEMPTS} attempts");
}

#[test]
#[rustfmt::skip]
fn invalid_requests_are_refused_with_a_specific_error() {
    let cluster = start_cluster();
    let chat = "POST /v1/chat/completions";
    let cases = [
        caller_case("GET /nowhere", "", 404, "nothing is at /nowhere"),
        caller_case("DELETE /v1/models", "", 400, "takes GET, not DELETE"),
        caller_case("GET /v1/chat/completions", "", 400, "takes POST, not GET"),
        caller_case(chat, "{\"model\":", 400, "the body: EOF"),
        caller_case(chat, "[]", 400, "the body:"),
        caller_case(chat, "{}", 400, "missing field `model`"),
        caller_case(chat, "{\"model\":\"\"}", 400, "is empty"),
        caller_case(chat, "{\"model\":\"a b\"}", 400, "the character ' '"),
        caller_case(chat, "{\"model\":\"nothing\"}", 404, "there is no model nothing"),
        caller_case("POST /v1/chat/completions\nx-deadline-ms: soon", "{\"model\":\"report\"}", 400, "x-deadline-ms: \\\"soon\\\""),
        caller_case("POST /v1/chat/completions\nx-deadline-ms: 0", "{\"model\":\"report\"}", 400, "x-deadline-ms: \\\"0\\\""),
        caller_case("POST /v1/chat/completions\nx-deadline-ms: -5", "{\"model\":\"report\"}", 400, "x-deadline-ms"),
        caller_case("POST /v1/chat/completions\nx-class: none", "{\"model\":\"report\"}", 400, "there is no class"),
        caller_case("POST /v1/chat/completions\nidempotency-key: ", "{\"model\":\"report\"}", 400, "idempotency-key: it is empty"),
        caller_case(chat, &"x".repeat(5_000), 413, "over 4096 bytes"),
        caller_case("POST /services/none/bids", "", 404, "there is no POST of service none"),
        caller_case("POST /v1/targets/announce", "{\"target\":5}", 400, "target"),
        caller_case("POST /v1/targets/nothing", "{}", 404, "no message goes to"),
        caller_case("POST /v1/targets/heartbeat", HEARTBEAT, 410, "announce again"),
        operator_case("GET /nowhere", "", 404, "operators have no GET /nowhere"),
        operator_case("POST /settings", "{", 400, "the body: EOF"),
        operator_case("POST /settings", "{\"operator\":\"a\",\"request\":\"1\",\"base\":1,\"text\":\"modles: []\"}", 422, "modles"),
        operator_case("POST /settings", "{\"operator\":\"a\",\"request\":\"2\",\"base\":9,\"text\":\"models: []\"}", 409, "conflict"),
        operator_case("GET /in-force?version=x", "", 400, "version=VALUE"),
        operator_case("POST /members?change=shuffle", "", 400, "is no change"),
        operator_case("GET /dump", "", 200, "\"settings\":1"),
    ];
    for host in &cluster.hosts {
        wait_until_ready(host.addresses.callers);
        for case in &cases {
            let address = match case.port {
                Port::Callers => host.addresses.callers,
                Port::Operators => host.addresses.operators,
            };
            let answer = send(address, case);
            let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
            assert_eq!(status, Some(case.status), "{}: {answer}", case.head);
            assert!(answer.contains(case.phrase), "{}: {answer}", case.head);
            let refused = case.status >= 400 && !case.head.contains("/settings");
            assert!(!refused || answer.contains("application/problem+json"), "{}: {answer}", case.head);
        }
    }
}

/// Heartbeat of a target that has not announced itself.
const HEARTBEAT: &str =
    "{\"target\":\"worker-9\",\"incarnation\":1,\"sequence\":1,\"inventory\":[],\"load\":{}}";

#[test]
fn garbage_on_any_port_leaves_the_host_running() {
    let cluster = start_cluster();
    for host in &cluster.hosts {
        wait_until_ready(host.addresses.callers);
        let addresses = host.addresses;
        let zeros = [0; 4_096];
        let ones = [0xff; 4_096];
        let inputs: [&[u8]; 4] = [&zeros, &ones, b"\x05\x01\x00\n\n", b"GET GET GET\r\n\r\n"];
        let socket = UdpSocket::bind("127.0.0.1:0").expect("UDP socket should be bound");
        for input in inputs {
            for address in [addresses.callers, addresses.operators, addresses.peers] {
                exchange(address, input);
            }
            let datagram = &input[..input.len().min(1_000)];
            socket.send_to(datagram, addresses.peers).expect("send");
        }
        wait_until_ready(addresses.callers);
    }
}

#[test]
fn operators_port_requires_the_token() {
    let cluster = start_cluster();
    let host = &cluster.hosts[0];
    for header in [
        "",
        "authorization: Bearer wrong\r\n",
        "authorization: a token for operators\r\n",
    ] {
        let request = format!("GET /dump HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{header}\r\n");
        let answer = exchange(host.addresses.operators, request.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    }
}

#[test]
fn bind_error_names_the_taken_port() {
    let cluster = start_cluster();
    let process = cluster.hosts[0].process.clone();
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let bound = runtime.block_on(cornelhitch_node::socket::Sockets::bind(&process));
    let error = bound.expect_err("the port is taken");
    assert!(error.is_taken());
    assert!(
        error.to_string().contains(&process.callers.to_string()),
        "{error}"
    );
}

#[test]
fn host_without_settings_refuses_every_request_as_isolated() {
    let mut cluster = start_cluster();
    wait_until_ready(cluster.hosts[1].addresses.callers);
    cluster.kill(0);
    cluster.kill(1);
    cluster
        .restart(1)
        .expect("host should start without a voter");
    let cases = [
        caller_case(
            "POST /v1/chat/completions",
            "{\"model\":\"report\"}",
            503,
            "refusal:isolated",
        ),
        caller_case("POST /services/auction/bids", "", 503, "refusal:isolated"),
        caller_case("POST /services/none/bids", "", 503, "refusal:isolated"),
    ];
    for case in cases {
        let answer = send(cluster.hosts[1].addresses.callers, &case);
        assert!(
            answer.starts_with("HTTP/1.1 503"),
            "{}: {answer}",
            case.head
        );
        assert!(answer.contains(case.phrase), "{}: {answer}", case.head);
        assert!(
            answer.contains("\"run\":\"not_run\""),
            "{}: {answer}",
            case.head
        );
    }
}
