//! Stand-ins for the platform, its operator, clients and workers, and the scripts of the cases that
//! `run.sh` starts. Only the standard library is used.
//!
//! `standin-2 CASE FOLDER`: FOLDER is an empty temporary folder; the working directory is the
//! repository's root. What happens is written to standard output. Exit status: 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Outcome<T> = Result<T, String>;

/// What a case ends with.
enum Verdict {
    Held,
    Broken,
}

/// The record of a run, with the time since its start.
#[derive(Clone)]
struct Record {
    start: Instant,
    lock: Arc<Mutex<()>>,
}

impl Record {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            lock: Arc::default(),
        }
    }

    fn line(&self, text: impl AsRef<str>) {
        let _guard = self.lock.lock();
        let seconds = self.start.elapsed().as_secs_f64();
        println!("{seconds:8.3} {}", text.as_ref());
    }
}

// ---------------------------------------------------------------------------------------------
// The platform: settings from the deploy file's template, and processes.

/// A field of a process's settings, as `DEPLOY.md` lists them.
#[derive(Clone)]
enum Value {
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    fn text(text: impl ToString) -> Self {
        Self::Text(text.to_string())
    }

    fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Self::Table(entries) => entries.iter().find(|it| it.0 == key).map(|it| &it.1),
            Self::List(items) => items.get(key.parse::<usize>().ok()?),
            Self::Text(_) => None,
        }
    }

    fn show(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::List(items) => items.iter().map(Self::show).collect::<Vec<_>>().join(","),
            Self::Table(_) => String::new(),
        }
    }

    fn is_true(&self) -> bool {
        !matches!(self, Self::Text(text) if text == "false" || text == "0")
    }
}

/// Looks up a dotted name, in the innermost entry first.
fn look_up<'a>(scopes: &[(String, &'a Value)], name: &str) -> Option<&'a Value> {
    if name == "." {
        return scopes.last().map(|scope| scope.1);
    }
    scopes.iter().rev().find_map(|(_, scope)| {
        let mut value = *scope;
        for part in name.split('.') {
            value = value.get(part)?;
        }
        Some(value)
    })
}

/// Fills in a template: placeholders and sections, without `|json`, which ours does not use.
fn render(template: &str, scopes: &mut Vec<(String, &Value)>) -> Outcome<String> {
    let mut out = String::new();
    let mut rest = template;
    while let Some(at) = rest.find("{{") {
        out.push_str(&rest[..at]);
        let end = rest[at..].find("}}").ok_or("a placeholder has no end")? + at;
        let name = rest[at + 2..end].to_owned();
        rest = &rest[end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let end = rest.find(&close).ok_or("a section has no end")?;
            let inner = &rest[..end];
            rest = &rest[end + close.len()..];
            let entries: Vec<(String, &Value)> = match look_up(scopes, section) {
                None => Vec::new(),
                Some(Value::List(items)) => items
                    .iter()
                    .enumerate()
                    .map(|(at, item)| (at.to_string(), item))
                    .collect(),
                Some(Value::Table(entries)) => {
                    entries.iter().map(|it| (it.0.clone(), &it.1)).collect()
                }
                Some(value) if value.is_true() => vec![(String::new(), value)],
                Some(_) => Vec::new(),
            };
            for entry in entries {
                scopes.push(entry);
                out.push_str(&render(inner, scopes)?);
                scopes.pop();
            }
        } else if name == "@" {
            out.push_str(scopes.last().map_or("", |scope| &scope.0));
        } else if let Some(value) = look_up(scopes, &name) {
            out.push_str(&value.show());
        }
    }
    out.push_str(rest);
    Ok(out)
}

const ZONES: [(&str, &str); 3] = [
    ("perth-a", "perth-metro"),
    ("bunbury-a", "south-west"),
    ("kalgoorlie-a", "goldfields"),
];

/// The ports of a day, which are the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    internal: u16,
    control: u16,
    front: u16,
    ready: u16,
    directory: u16,
    worker: u16,
}

/// A machine of the system with its process.
struct Machine {
    name: String,
    ip: Ipv4Addr,
    command: Vec<String>,
    log: String,
    child: Option<Child>,
}

impl Machine {
    fn start(&mut self) -> Outcome<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|error| error.to_string())?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("cannot start {}: {error}", self.command[0]))?;
        self.child = Some(child);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.child = None;
    }

    /// Sends the process SIGTERM.
    fn terminate(&self) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &id]).status();
        }
    }

    fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the processor time that the process has used, in hundredths of a second.
    fn processor_ticks(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
    }
}

/// The machines of a small deployment: a control machine in each of three zones, and fronts.
struct Cluster {
    cores: Vec<Machine>,
    fronts: Vec<Machine>,
    ports: Ports,
    net: u8,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let machines = self.cores.iter_mut().chain(&mut self.fronts);
        machines.for_each(Machine::kill);
    }
}

/// Returns the command of a role in the deploy file, for a settings file.
fn role_command(role: &str, settings: &str) -> Outcome<Vec<String>> {
    let deploy = std::fs::read_to_string("deploy/system.toml").map_err(|it| it.to_string())?;
    let section = format!("[roles.{role}]");
    let rest = deploy.split(&section).nth(1).ok_or("no such role")?;
    let line = rest.lines().find(|line| line.starts_with("run = "));
    let run = line.ok_or("no command")?.trim_start_matches("run = ");
    let run = run.trim_matches('"');
    let words = run.split(' ');
    let words = words.map(|word| word.replace("/etc/cornelhitch/local.json", settings));
    Ok(words.collect())
}

impl Cluster {
    /// Writes the settings of all machines and starts them.
    fn start(folder: &str, fronts: usize) -> Outcome<Self> {
        let net = u8::try_from(20 + std::process::id() % 200).unwrap_or(20);
        let ports = free_ports(net)?;
        let template =
            std::fs::read_to_string("deploy/settings.yaml").map_err(|it| it.to_string())?;
        let core_ip = |at: usize| Ipv4Addr::new(127, net, 1, 11 + at as u8);
        let seeds = (0..3).map(|at| Value::text(SocketAddrV4::new(core_ip(at), ports.control)));
        let seeds = Value::List(seeds.collect());
        let machine = |name: String, ip: Ipv4Addr, zone: usize, is_core: bool| {
            let listen = |port: u16| Value::text(SocketAddrV4::new(ip, port));
            let named = |entries: Vec<(&str, Value)>| {
                let entries = entries.into_iter();
                Value::Table(
                    entries
                        .map(|(key, value)| (key.to_owned(), value))
                        .collect(),
                )
            };
            let zones = ZONES.iter().map(|it| (it.0.to_owned(), Value::text(it.1)));
            let data = format!("{folder}/{name}-data");
            let contracts = [
                "base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine",
            ];
            let mut fields = vec![
                ("ip", Value::text(ip)),
                ("zone", Value::text(ZONES[zone].0)),
                ("region", Value::text(ZONES[zone].1)),
                ("zones", Value::Table(zones.collect())),
                (
                    "internalPortRange",
                    Value::List(vec![
                        Value::text(ports.internal),
                        Value::text(ports.internal + 15),
                    ]),
                ),
                ("seeds", seeds.clone()),
                ("bootstrap", Value::text(true)),
                ("limits", named(vec![("memoryMb", Value::text(260))])),
                (
                    "contracts",
                    Value::List(contracts.iter().map(Value::text).collect()),
                ),
                ("tolerate", named(vec![("machines", Value::text(1))])),
                (
                    "bounds",
                    named(vec![
                        ("graceS", Value::text(8)),
                        ("configApplyMs", Value::text(3000)),
                        ("retryBudgetRatio", Value::text(0.2)),
                        ("retryBudgetSlack", Value::text(58)),
                        ("budgetWindowS", Value::text(10)),
                    ]),
                ),
            ];
            if is_core {
                fields.push(("listen", named(vec![("control", listen(ports.control))])));
                fields.push(("dataDir", Value::text(&data)));
                std::fs::create_dir_all(&data).map_err(|it| it.to_string())?;
            } else {
                let addresses = vec![
                    ("front", listen(ports.front)),
                    ("ready", listen(ports.ready)),
                    ("directory", listen(ports.directory)),
                ];
                fields.push(("listen", named(addresses)));
            }
            let fields = named(fields);
            // The template names the operators' and metrics ports of the usual range.
            let text = render(&template, &mut vec![(String::new(), &fields)])?
                .replace(":7381", &format!(":{}", ports.internal + 1))
                .replace(":7382", &format!(":{}", ports.internal + 2))
                .replace(":7384", &format!(":{}", ports.internal + 4));
            let settings = format!("{folder}/{name}.yaml");
            std::fs::write(&settings, text).map_err(|it| it.to_string())?;
            let role = if is_core { "control" } else { "entry" };
            Ok::<_, String>(Machine {
                command: role_command(role, &settings)?,
                log: format!("{folder}/{name}.log"),
                name,
                ip,
                child: None,
            })
        };
        let mut cluster = Self {
            cores: Vec::new(),
            fronts: Vec::new(),
            ports,
            net,
        };
        for at in 0..3 {
            let core = machine(format!("core-{}", ZONES[at].0), core_ip(at), at, true)?;
            cluster.cores.push(core);
        }
        for at in 0..fronts {
            let ip = Ipv4Addr::new(127, net, 2, 11 + at as u8);
            let name = format!("front-{}-{at}", ZONES[at % 3].0);
            cluster.fronts.push(machine(name, ip, at % 3, false)?);
        }
        for machine in cluster.cores.iter_mut().chain(&mut cluster.fronts) {
            machine.start()?;
        }
        Ok(cluster)
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        let cores = self.cores.iter();
        cores
            .map(|core| SocketAddr::from((core.ip, self.ports.control)))
            .collect()
    }

    fn worker_address(&self, at: u8) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.net, 3, 11 + at), self.ports.worker))
    }

    /// Whether a front says that it is ready, within a second.
    fn is_ready(&self, front: usize) -> bool {
        let address = SocketAddr::from((self.fronts[front].ip, self.ports.ready));
        let limit = Duration::from_secs(1);
        let reply = call(address, "GET", "/v1/readiness", &[], b"", limit);
        reply.is_ok_and(|reply| reply.status == 200)
    }

    fn front_address(&self, front: usize) -> SocketAddr {
        SocketAddr::from((self.fronts[front].ip, self.ports.front))
    }
}

/// Finds ports that are free on the addresses of this run.
fn free_ports(net: u8) -> Outcome<Ports> {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH);
    let seed = seed.map_or(0, |it| it.subsec_micros());
    for attempt in 0..100_u32 {
        let base = 20_000 + ((seed / 7 + attempt * 613) % 12_000) as u16;
        let all_free = (0..24).all(|at| {
            let ip = Ipv4Addr::new(127, net, 1, 11);
            TcpListener::bind((ip, base + at)).is_ok()
        });
        if all_free {
            return Ok(Ports {
                internal: base,
                control: base + 16,
                front: base + 17,
                ready: base + 18,
                directory: base + 19,
                worker: base + 20,
            });
        }
    }
    Err("no free ports".to_owned())
}

// ---------------------------------------------------------------------------------------------
// HTTP: calls of clients, operators and workers.

struct Reply {
    status: u16,
    head: String,
    body: Vec<u8>,
}

impl Reply {
    fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Sends one request on a connection of its own and reads the whole reply.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Outcome<Reply> {
    let until = Instant::now() + limit;
    let left = || {
        let left = until.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left).ok_or("no reply in time")
    };
    let mut stream = TcpStream::connect_timeout(&address, left()?).map_err(|it| it.to_string())?;
    let _ = stream.set_nodelay(true);
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|it| it.0.eq_ignore_ascii_case("host")) {
        request += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    request += &format!(
        "Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let bytes = [request.as_bytes(), body].concat();
    stream.write_all(&bytes).map_err(|it| it.to_string())?;
    let mut received = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        stream
            .set_read_timeout(Some(left()?))
            .map_err(|it| it.to_string())?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                return Err("no reply in time".to_owned());
            }
            Err(error) => return Err(error.to_string()),
        }
    }
    let end = find(&received, b"\r\n\r\n").ok_or("closed without a reply")?;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
    Ok(Reply {
        status: status.ok_or("not HTTP")?,
        body: received[end + 4..].to_vec(),
        head,
    })
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|it| it == pattern)
}

/// Calls `control` as operators and workers do: each machine in turn, following a 307 twice.
fn call_control(
    addresses: &[SocketAddr],
    method: &str,
    path: &str,
    body: &[u8],
    rounds: usize,
) -> Outcome<Reply> {
    let mut last = Err("no control machine".to_owned());
    for _ in 0..rounds {
        for first in addresses {
            let mut address = *first;
            for _ in 0..3 {
                let headers = [("Content-Type", "application/json")];
                let limit = Duration::from_secs(1);
                last = call(address, method, path, &headers, body, limit);
                let Ok(reply) = &last else { break };
                if reply.status != 307 {
                    break;
                }
                let target = reply.header("location").unwrap_or_default();
                let target = target.trim_start_matches("http://");
                let Some(next) = target.split('/').next().and_then(|it| it.parse().ok()) else {
                    break;
                };
                address = next;
            }
            if last.as_ref().is_ok_and(|reply| reply.status < 500) {
                return last;
            }
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    last
}

// ---------------------------------------------------------------------------------------------
// Workers.

/// A request as a worker reads it.
struct Request {
    line: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

/// Reads one request; `None` at the end of the connection.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = [0; 16 << 10];
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.lines();
    let line = lines.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|it| it.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|it| it.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
    let body = buffer.drain(..length).collect();
    Some(Request {
        line,
        headers,
        body,
    })
}

/// Returns the value of a field of a flat JSON object, without quotes.
fn field(json: &str, name: &str) -> Option<String> {
    let rest = json.split(&format!("\"{name}\":")).nth(1)?.trim_start();
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    Some(rest[..end].trim().trim_matches('"').to_owned())
}

/// A sound worker: it says of itself what it holds, carries out orders, and answers requests.
struct Worker {
    id: String,
    service: String,
    address: SocketAddr,
    zone: &'static str,
    slots: u32,
    born: u128,
    work: Duration,
    /// The models in memory, of a worker that runs models.
    models: Option<Mutex<Vec<String>>>,
    /// Sizes of models, and of a worker's memory, in megabytes.
    model_mb: f64,
    memory_mb: f64,
    sequence: AtomicU64,
    orders: AtomicU64,
    ended: AtomicBool,
    /// Requests that it ran, by id.
    ran: Mutex<BTreeMap<String, u32>>,
    /// Orders to load more than its memory holds.
    overloads: AtomicU64,
    /// The highest fencing token of its orders; it does not check them (`enforceFencing` false).
    fence: AtomicU64,
    /// Orders with a lower token than one before.
    stale_orders: AtomicU64,
    record: Record,
}

impl Worker {
    /// Returns its heartbeat; `number` is its sequence.
    fn heartbeat(&self, number: u64) -> String {
        let Self {
            id: _,
            service,
            address,
            zone,
            slots,
            born,
            ..
        } = self;
        let models = match &self.models {
            None => String::new(),
            Some(models) => {
                let names = models.lock().map(|it| it.clone()).unwrap_or_default();
                let held = names.iter();
                let held =
                    held.map(|it| format!("{{\"name\":\"{it}\",\"version\":1,\"adapters\":[]}}"));
                let held = held.collect::<Vec<_>>().join(",");
                // Models that it held before are still on its disk.
                let disk = (0..4).map(|at| format!("\"m{at}\""));
                let disk = disk.collect::<Vec<_>>().join(",");
                format!(
                    ",\"stage\":\"both\",\"models\":[{held}],\"available\":{{\"inMemory\":[],\"onDisk\":[{disk}]}}"
                )
            }
        };
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0{models},\"sequence\":{number},\"born\":{born}}}"
        )
    }

    /// Starts it: its listener, and its heartbeats every 1.2 s.
    fn start(self: &Arc<Self>, control: Vec<SocketAddr>) -> Outcome<()> {
        self.start_at(self.address, control)
    }

    /// Starts it at an address to which the announced one leads.
    fn start_at(self: &Arc<Self>, address: SocketAddr, control: Vec<SocketAddr>) -> Outcome<()> {
        let listener = TcpListener::bind(address).map_err(|it| it.to_string())?;
        let worker = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = worker.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        let worker = self.clone();
        std::thread::spawn(move || {
            while !worker.ended.load(Ordering::Relaxed) {
                worker.beat(&control);
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
        Ok(())
    }

    /// Sends one heartbeat.
    fn beat(&self, control: &[SocketAddr]) {
        let number = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let path = format!("/v1/instances/{}", self.id);
        let body = self.heartbeat(number);
        let sent = call_control(control, "PUT", &path, body.as_bytes(), 1);
        if sent.as_ref().map_or(0, |reply| reply.status) != 200 {
            self.record
                .line(format!("{}: heartbeat {number} not taken", self.id));
        }
    }

    /// Serves one connection.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            let expected = request.headers.get("x-cornelhitch-expect-instance");
            let other = expected.is_some_and(|id| *id != self.id);
            let answer = if other {
                answer("421 Misdirected Request", "", "another instance")
            } else if request.line.starts_with("GET /v1/report") {
                answer("200 OK", "", &self.report())
            } else if request.line.starts_with("POST /v1/order") {
                self.order(&String::from_utf8_lossy(&request.body))
            } else {
                self.run(&request)
            };
            if answer.is_empty() || stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let held = self.models.as_ref().and_then(|it| it.lock().ok());
        let held = held.map(|it| it.clone()).unwrap_or_default();
        let held = held.iter();
        let held = held.map(|it| format!("{{\"name\":\"{it}\",\"version\":1,\"adapters\":[]}}"));
        let held = held.collect::<Vec<_>>().join(",");
        let orders = self.orders.load(Ordering::Relaxed);
        format!(
            "{{\"stage\":\"both\",\"models\":[{held}],\"busy\":false,\"sequence\":{orders},\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":250000,\"handles\":0}}"
        )
    }

    /// Carries out an order, and judges it by the memory that it would take.
    fn order(&self, text: &str) -> String {
        let fence = field(text, "fence").and_then(|it| it.parse::<u64>().ok());
        let fence = fence.unwrap_or(0);
        let highest = self.fence.fetch_max(fence, Ordering::Relaxed);
        self.record
            .line(format!("{}: order arrives: {text}", self.id));
        if fence < highest {
            self.stale_orders.fetch_add(1, Ordering::Relaxed);
            self.record.line(format!(
                "{}: ONE: fencing token {fence} after {highest}",
                self.id
            ));
        }
        let accepted = self.orders.load(Ordering::Relaxed);
        let expected = field(text, "precondition").and_then(|it| it.parse::<u64>().ok());
        if expected.is_some_and(|expected| expected != accepted) {
            self.record
                .line(format!("{}: 409 to order {text}", self.id));
            return answer("409 Conflict", "", "another number of orders");
        }
        let (Some(models), Some(model)) = (&self.models, field(text, "model")) else {
            return answer("400 Bad Request", "", "no such order");
        };
        let Ok(mut held) = models.lock() else {
            return answer("400 Bad Request", "", "no such order");
        };
        let operation = field(text, "operation").unwrap_or_default();
        let holds = held.contains(&model);
        if (operation == "load") == holds {
            self.record
                .line(format!("{}: 200, already so: {text}", self.id));
            return answer("200 OK", "", "{}");
        }
        self.orders.fetch_add(1, Ordering::Relaxed);
        if operation == "load" {
            let needed = (held.len() + 1) as f64 * self.model_mb;
            self.record.line(format!(
                "{}: holds {held:?}, accepts order {text}: {needed} MB of {} MB",
                self.id, self.memory_mb
            ));
            if needed > self.memory_mb {
                self.overloads.fetch_add(1, Ordering::Relaxed);
                self.record.line(format!(
                    "{}: LIMIT: ordered to load more than its memory holds; it crashes",
                    self.id
                ));
                self.ended.store(true, Ordering::Relaxed);
            }
            held.push(model);
        } else {
            self.record
                .line(format!("{}: holds {held:?}, accepts order {text}", self.id));
            held.retain(|it| *it != model);
        }
        answer("202 Accepted", "", "{}")
    }

    /// Runs a client's request.
    fn run(&self, request: &Request) -> String {
        let id = request.headers.get("x-cornelhitch-request-id");
        let id = id.cloned().unwrap_or_default();
        if let Ok(mut ran) = self.ran.lock() {
            *ran.entry(id.clone()).or_default() += 1;
        }
        let is_long = request.line.contains("/long");
        let until = Instant::now() + self.work * if is_long { 40 } else { 1 };
        while Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            if self.ended.load(Ordering::Relaxed) {
                self.record
                    .line(format!("{}: {id} ends with the worker", self.id));
                return String::new();
            }
        }
        let headers = format!(
            "X-Cornelhitch-Request-Id: {id}\r\nX-Cornelhitch-Response-Signature: {}.{id}\r\nX-Cornelhitch-Instance-Load: 0,0,{}\r\n",
            self.id, self.slots
        );
        if self.models.is_none() {
            return answer("200 OK", &headers, &format!("{id} is done"));
        }
        let last = request.headers.get("last-event-id");
        let last: u64 = last.and_then(|it| it.parse().ok()).unwrap_or(0);
        let events = (last + 1..=3).map(|at| format!("id: {at}\ndata: {id} says {at}\n\n"));
        let body: String = events.collect();
        format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

fn answer(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn born() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis())
}

/// Whether the run includes the disruption.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// Sends a configuration until it is acknowledged.
fn publish(cluster: &Cluster, record: &Record, what: &str, config: &str) -> Outcome<()> {
    let control = cluster.control_addresses();
    let reply = call_control(&control, "PUT", "/v1/config", config.as_bytes(), 40)?;
    let status = reply.status;
    record.line(format!("operator: PUT /v1/config ({what}): {status}"));
    match status {
        200 => Ok(()),
        _ => Err(format!(
            "the configuration is refused: {}",
            String::from_utf8_lossy(&reply.body)
        )),
    }
}

/// Waits until all fronts are ready.
fn await_ready(cluster: &Cluster, record: &Record) -> Outcome<()> {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if (0..cluster.fronts.len()).all(|front| cluster.is_ready(front)) {
            record.line("all fronts are ready");
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Err("the fronts do not get ready".to_owned())
}

const LIMITS: &str = "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";

include!("standin-2-cases.rs");

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let record = Record::new();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("standin-2 CASE FOLDER");
        std::process::exit(2);
    };
    let outcome = run_case(case, folder, &record);
    let status = match outcome {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            1
        }
        Err(error) => {
            record.line(format!("the case could not run: {error}"));
            2
        }
    };
    std::process::exit(status);
}
