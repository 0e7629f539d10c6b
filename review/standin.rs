//! Stand-ins for the cases in this folder: an operator, workers and callers that speak what
//! PROTOCOL.md says. Standard library only; built by `build.sh`.
//!
//! All subcommands write one line per event, with milliseconds since the Unix epoch first.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}

fn say(line: &str) {
    let line = format!("{} {line}\n", unix_ms());
    let mut out = io::stdout().lock();
    let _ = out.write_all(line.as_bytes());
    let _ = out.flush();
}

/// The head and body of a request or response.
#[derive(Debug, Default)]
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        let found = all.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `Ok(None)` if the connection ends before its first byte.
fn read_message(from: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let broken = |what: &str| io::Error::new(io::ErrorKind::UnexpectedEof, what.to_owned());
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(broken("the head ended early"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let pair = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(pair);
        }
    }
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let length = message.header("content-length").map(str::to_owned);
    if chunked {
        loop {
            line.clear();
            if from.read_line(&mut line)? == 0 {
                return Err(broken("a chunk ended early"));
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| broken("no chunk size"))?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length {
        let length = length.parse().map_err(|_| broken("no length"))?;
        message.body = vec![0; length];
        from.read_exact(&mut message.body)?;
    } else if is_response && !matches!(message.status(), 204 | 304) {
        from.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends one request on a new connection and reads the answer.
fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(limit))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut writer = stream.try_clone()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n{headers}\r\n",
        body.len()
    );
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader, true)?
        .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"))
}

/// Sends a call of a worker or of the operator: follows a 307 twice. Returns who answered, and the answer.
fn call_registry(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<(SocketAddr, Message)> {
    let mut at = to;
    for _ in 0..2 {
        let answer = call(at, method, path, "", body, limit)?;
        if answer.status() != 307 {
            return Ok((at, answer));
        }
        let location = answer.header("location").unwrap_or_default();
        let address = location.trim_start_matches("http://");
        let address = address.split('/').next().unwrap_or_default();
        at = address
            .parse()
            .map_err(|_| io::Error::other(format!("bad location {location}")))?;
    }
    Ok((at, call(at, method, path, "", body, limit)?))
}

/// The arguments `--name value` of a subcommand.
struct Arguments(HashMap<String, String>);

impl Arguments {
    fn read() -> Self {
        let mut values = HashMap::new();
        let mut words = std::env::args().skip(2);
        while let (Some(name), Some(value)) = (words.next(), words.next()) {
            values.insert(name.trim_start_matches("--").to_owned(), value);
        }
        Self(values)
    }

    fn text(&self, name: &str) -> String {
        self.0
            .get(name)
            .unwrap_or_else(|| panic!("--{name} is missing"))
            .clone()
    }

    fn number(&self, name: &str, otherwise: u64) -> u64 {
        self.0
            .get(name)
            .map_or(otherwise, |text| text.parse().expect("a number"))
    }

    fn addresses(&self, name: &str) -> Vec<SocketAddr> {
        let text = self.text(name);
        text.split(',')
            .map(|it| it.parse().expect("an address"))
            .collect()
    }
}

/// The operator: sends a configuration until it is acknowledged, to each control host in turn.
/// Exit code 0 once it is acknowledged, 1 at the end of `--for-s`.
fn operator(arguments: &Arguments) -> i32 {
    let registry = arguments.addresses("registry");
    let text = std::fs::read(arguments.text("config")).expect("a configuration");
    let end = Instant::now() + Duration::from_secs(arguments.number("for-s", 60));
    let mut last = String::new();
    while Instant::now() < end {
        for to in &registry {
            let limit = Duration::from_secs(1);
            let outcome = match call_registry(*to, "PUT", "/v1/config", &text, limit) {
                Ok((at, answer)) if answer.status() == 200 => {
                    say(&format!("operator: {at} acknowledged the configuration"));
                    return 0;
                }
                Ok((at, answer)) => format!("{at} answered {}", answer.status()),
                Err(error) => format!("{to}: {error}"),
            };
            if outcome != last {
                say(&format!("operator: {outcome}"));
            }
            last = outcome;
            thread::sleep(Duration::from_millis(250));
        }
    }
    say("operator: the configuration was never acknowledged");
    1
}

/// The operator reads the configuration back, as at the end of a day: asks each control host in turn until
/// one answers 200. Exit code 0 if that is what was sent, 1 if it is another one or none comes within
/// `--for-s`.
fn read_back(arguments: &Arguments) -> i32 {
    let registry = arguments.addresses("registry");
    let sent = std::fs::read(arguments.text("config")).expect("a configuration");
    let end = Instant::now() + Duration::from_secs(arguments.number("for-s", 20));
    let mut outcomes: HashMap<String, u64> = HashMap::new();
    while Instant::now() < end {
        for to in &registry {
            let limit = Duration::from_secs(1);
            match call_registry(*to, "GET", "/v1/config", &[], limit) {
                Ok((at, answer)) if answer.status() == 200 => {
                    let same = answer.body == sent;
                    say(&format!("operator: {at} returns a configuration, the one sent: {same}"));
                    return i32::from(!same);
                }
                Ok((at, answer)) => *outcomes.entry(format!("{at}: {}", answer.status())).or_default() += 1,
                Err(error) => *outcomes.entry(format!("{to}: {error}")).or_default() += 1,
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    for (outcome, count) in outcomes {
        say(&format!("operator: read the configuration, {count} x {outcome}"));
    }
    say("operator: the configuration did not come back");
    1
}

/// A valid configuration of one version, with this many routes to one service.
fn configuration(version: u64, routes: u64) -> String {
    let route = |at: u64| {
        format!(
            "{{\"name\":\"r-{at:06}\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/puxa{at:06}/\",\
             \"routeType\":\"idempotent\",\"timeoutMs\":{},\"targetLatencyMs\":3000,\"priority\":1,\
             \"service\":\"wuno96b\",\"attempts\":2,\"sticky\":false,\"resumable\":false}}",
            6_000 + version % 100
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\
         \"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// The operator makes `--changes` changes of a configuration of `--routes` routes, `--at-once` in progress, each
/// sent again until it is acknowledged, and reads the configuration back at the end. Exit code 0 if all
/// were acknowledged and what is read back is no older than the newest of them, else 1.
fn changes(arguments: &Arguments) -> i32 {
    let registry = arguments.addresses("registry");
    let (count, routes) = (arguments.number("changes", 10), arguments.number("routes", 10));
    let give_up = Duration::from_secs(arguments.number("give-up-s", 20));
    let next = Arc::new(AtomicU64::new(1));
    let newest = Arc::new(AtomicU64::new(0));
    let acknowledged = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..arguments.number("at-once", 4))
        .map(|number| {
            let registry = registry.clone();
            let (next, newest) = (next.clone(), newest.clone());
            let (acknowledged, failed) = (acknowledged.clone(), failed.clone());
            thread::spawn(move || {
                let mut host = usize::try_from(number).unwrap_or(0);
                while failed.load(Ordering::Relaxed) == 0 {
                    let version = next.fetch_add(1, Ordering::Relaxed);
                    if version > count {
                        return;
                    }
                    let text = configuration(version, routes);
                    let begun = Instant::now();
                    loop {
                        let to = registry[host % registry.len()];
                        let limit = Duration::from_secs(2);
                        let answer = call_registry(to, "PUT", "/v1/config", text.as_bytes(), limit);
                        if matches!(&answer, Ok((_, answer)) if answer.status() == 200) {
                            newest.fetch_max(version, Ordering::Relaxed);
                            let all = acknowledged.fetch_add(1, Ordering::Relaxed) + 1;
                            if all % 50 == 0 {
                                say(&format!("operator: {all} changes acknowledged, {} bytes each", text.len()));
                            }
                            break;
                        }
                        host += 1;
                        if begun.elapsed() > give_up {
                            let last = answer.map(|(at, answer)| format!("{at} answered {}", answer.status()));
                            let last = last.unwrap_or_else(|error| error.to_string());
                            say(&format!(
                                "operator: version {version} is not acknowledged after {} s, last: {last}",
                                give_up.as_secs()
                            ));
                            failed.fetch_add(1, Ordering::Relaxed);
                            return;
                        }
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let (newest, acknowledged) = (newest.load(Ordering::Relaxed), acknowledged.load(Ordering::Relaxed));
    say(&format!("operator: {acknowledged} changes acknowledged in all, the newest is version {newest}"));
    let end = Instant::now() + Duration::from_secs(arguments.number("read-s", 20));
    let mut last = String::new();
    while Instant::now() < end {
        for to in &registry {
            match call_registry(*to, "GET", "/v1/config", &[], Duration::from_secs(1)) {
                Ok((at, answer)) if answer.status() == 200 => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let version = text.split("\"version\":").nth(1).and_then(|rest| rest.split(',').next());
                    let version: u64 = version.and_then(|it| it.parse().ok()).unwrap_or(0);
                    say(&format!("operator: {at} returns version {version}"));
                    return i32::from(version < newest || failed.load(Ordering::Relaxed) > 0);
                }
                Ok((at, answer)) => last = format!("{at} answered {}", answer.status()),
                Err(error) => last = format!("{to}: {error}"),
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    say(&format!("operator: the configuration did not come back, last: {last}"));
    1
}

/// A worker: registers, and answers each request after `--work-ms`.
fn worker(arguments: &Arguments) -> i32 {
    let (id, address) = (arguments.text("id"), arguments.text("address"));
    let work = Duration::from_millis(arguments.number("work-ms", 20));
    let listener = TcpListener::bind(&address).expect("a free address");
    let running = Arc::new(AtomicU64::new(0));
    {
        let (id, service) = (id.clone(), arguments.text("service"));
        let (zone, slots) = (arguments.text("zone"), arguments.number("slots", 64));
        let registry = arguments.addresses("registry");
        let born = unix_ms();
        thread::spawn(move || {
            let mut next = 0;
            let mut url: Option<SocketAddr> = None;
            for sequence in 1.. {
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\
                     \"sequence\":{sequence},\"born\":{born}}}"
                );
                let path = format!("/v1/instances/{id}");
                for _ in 0..registry.len() + 1 {
                    let to = url.take().unwrap_or(registry[next % registry.len()]);
                    let limit = Duration::from_secs(1);
                    match call_registry(to, "PUT", &path, body.as_bytes(), limit) {
                        Ok((_, answer)) if answer.status() / 100 == 2 => {
                            let text = String::from_utf8_lossy(&answer.body).into_owned();
                            let named = text.split("\"heartbeatUrl\":\"").nth(1);
                            let named = named.and_then(|rest| rest.split('"').next());
                            url = named.and_then(|it| it.parse().ok()).or(Some(to));
                            break;
                        }
                        _ => next += 1,
                    }
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
    for stream in listener.incoming().flatten() {
        let (id, running) = (id.clone(), running.clone());
        thread::spawn(move || {
            let _ = serve(&stream, &id, work, &running);
        });
    }
    0
}

/// Serves the requests of one connection of a worker.
fn serve(stream: &TcpStream, id: &str, work: Duration, running: &AtomicU64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    while let Some(request) = read_message(&mut reader, false)? {
        let request_id = request.header("x-cornelhitch-request-id").unwrap_or("");
        let expected = request.header("x-cornelhitch-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nX-Cornelhitch-Request-Id: {request_id}\r\n\
                 Content-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        say(&format!("worker {id}: runs {request_id}, {} bytes", request.body.len()));
        running.fetch_add(1, Ordering::Relaxed);
        thread::sleep(work);
        running.fetch_sub(1, Ordering::Relaxed);
        let body = format!("done {request_id}");
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nX-Cornelhitch-Request-Id: {request_id}\r\n\
             X-Cornelhitch-Response-Signature: {id}.1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        writer.flush()?;
        say(&format!("worker {id}: answered {request_id}"));
    }
    Ok(())
}

/// Callers: `--rate` new requests a second for `--for-s`, `--burst-rate` instead from
/// `--burst-at-s` on for `--burst-s`; each is sent on a kept connection that has had an answer
/// before. Writes how each ended, and the counts at the end.
fn callers(arguments: &Arguments) -> i32 {
    let to = arguments.addresses("entry")[0];
    let (host, path) = (arguments.text("host"), arguments.text("path"));
    let bytes = usize::try_from(arguments.number("bytes", 0)).expect("a size");
    let deadline_ms = arguments.number("deadline-ms", 6_000);
    let rate = arguments.number("rate", 1);
    let burst_rate = arguments.number("burst-rate", rate);
    let burst_from = Duration::from_secs(arguments.number("burst-at-s", 5));
    let burst_end = burst_from + Duration::from_secs(arguments.number("burst-s", 0));
    let length = Duration::from_secs(arguments.number("for-s", 10));
    let ends: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let idle: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let mut threads = Vec::new();
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < length {
        let at = begun.elapsed();
        let now = if at >= burst_from && at < burst_end { burst_rate } else { rate };
        let (host, path, ends, idle) = (host.clone(), path.clone(), ends.clone(), idle.clone());
        number += 1;
        let id = format!("r{number:05}-{}", std::process::id());
        threads.push(thread::spawn(move || {
            let end = one_request(to, &host, &path, &id, bytes, deadline_ms, &idle);
            say(&format!("caller: {id} ended: {end}"));
            *ends.lock().unwrap().entry(end).or_default() += 1;
        }));
        thread::sleep(Duration::from_millis(1_000 / now));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let mut ends: Vec<_> = ends.lock().unwrap().clone().into_iter().collect();
    ends.sort();
    for (end, count) in ends {
        say(&format!("callers: {count} x {end}"));
    }
    0
}

/// Opens a connection and has one small request answered on it.
fn kept_connection(to: SocketAddr, host: &str, path: &str, id: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    exchange(&stream, host, path, &format!("{id}-first"), &[], 6_000)?;
    Ok(stream)
}

fn exchange(
    stream: &TcpStream,
    host: &str,
    path: &str,
    id: &str,
    body: &[u8],
    deadline_ms: u64,
) -> io::Result<Message> {
    let mut writer = stream.try_clone()?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
    stream.set_write_timeout(Some(Duration::from_millis(deadline_ms)))?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Cornelhitch-Request-Id: {id}\r\n\
         X-Cornelhitch-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    read_message(&mut reader, true)?
        .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed"))
}

/// Sends one request on a kept connection; returns how it ended.
fn one_request(
    to: SocketAddr,
    host: &str,
    path: &str,
    id: &str,
    bytes: usize,
    deadline_ms: u64,
    idle: &Mutex<Vec<TcpStream>>,
) -> String {
    let kept = idle.lock().unwrap().pop();
    let stream = match kept.map_or_else(|| kept_connection(to, host, path, id), Ok) {
        Ok(stream) => stream,
        Err(error) => return format!("no connection ({:?})", error.kind()),
    };
    let body = vec![b'x'; bytes];
    say(&format!("caller: sends {id}, {bytes} bytes, on a kept connection"));
    match exchange(&stream, host, path, id, &body, deadline_ms) {
        Ok(answer) => {
            let whole = answer.status() == 200 && answer.body == format!("done {id}").as_bytes();
            idle.lock().unwrap().push(stream);
            if answer.status() == 200 && !whole {
                return "200 with another body".to_owned();
            }
            answer.status().to_string()
        }
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            "deadline".to_owned()
        }
        Err(_) => "connection closed without an answer".to_owned(),
    }
}

fn main() {
    let verb = std::env::args().nth(1).unwrap_or_default();
    let arguments = Arguments::read();
    let code = match verb.as_str() {
        "operator" => operator(&arguments),
        "read-back" => read_back(&arguments),
        "changes" => changes(&arguments),
        "worker" => worker(&arguments),
        "callers" => callers(&arguments),
        _ => {
            eprintln!("operator, read-back, changes, worker or callers");
            2
        }
    };
    std::process::exit(code);
}
