fn run_case(case: &str, folder: &str, record: &Record) -> Outcome<Verdict> {
    match case {
        "no-objective" => no_objective(folder, record),
        "models-missing" => models_missing(folder, record),
        "late-order" => late_order(folder, record),
        "first-acknowledgement" => first_acknowledgement(folder, record),
        _ => Err(format!("there is no case {case}")),
    }
}

/// A route of the plain service.
fn plain_route(name: &str, prefix: &str, kind: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"lanes.example\",\"pathPrefix\":\"{prefix}\",\"routeType\":\"{kind}\",\"timeoutMs\":4000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"auction-core\",\"attempts\":1,\"sticky\":false,\"resumable\":false}}"
    )
}

const PLAIN_SERVICE: &str = "{\"name\":\"auction-core\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}";

fn worker(id: &str, service: &str, address: SocketAddr, zone: usize, record: &Record) -> Worker {
    Worker {
        id: id.to_owned(),
        service: service.to_owned(),
        address,
        zone: ZONES[zone].0,
        slots: 6,
        born: born(),
        work: Duration::from_millis(60),
        models: None,
        model_mb: 72_700.0,
        memory_mb: 160_000.0,
        sequence: AtomicU64::new(0),
        orders: AtomicU64::new(0),
        ended: AtomicBool::new(false),
        ran: Mutex::default(),
        overloads: AtomicU64::new(0),
        fence: AtomicU64::new(0),
        stale_orders: AtomicU64::new(0),
        record: record.clone(),
    }
}

/// What a client got for one request.
struct Told {
    answered: bool,
    text: String,
}

/// Time after which a request is counted: half a second after the timeout of its route, 4 s.
const COUNTED_AFTER: Duration = Duration::from_millis(4_500);

/// Sends a request to a front and waits until half a second after its route's timeout.
fn ask(cluster: &Cluster, front: usize, path: &str, id: &str, model: Option<&str>) -> Told {
    let mut headers = vec![
        ("Host", "lanes.example"),
        ("X-Cornelhitch-Request-Id", id),
        ("X-Cornelhitch-Deadline-Ms", "6000"),
    ];
    if let Some(model) = model {
        headers.push(("X-Cornelhitch-Model", model));
        headers.push(("X-Cornelhitch-Token-Usage", "826,42"));
        headers.push(("X-Cornelhitch-Prompt-Prefix", "5c1e07a2:198,e4402b7d:628"));
    }
    let since = Instant::now();
    let address = cluster.front_address(front);
    let reply = call(address, "POST", path, &headers, b"a car", COUNTED_AFTER);
    let took = since.elapsed().as_millis();
    match reply {
        Ok(reply) => Told {
            answered: true,
            text: format!("{} after {took} ms", reply.status),
        },
        Err(error) => Told {
            answered: false,
            text: format!("{error} after {took} ms"),
        },
    }
}

/// A route to the model workers, whose streams may be resumed.
fn stream_route(name: &str, prefix: &str, objective: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"lanes.example\",\"pathPrefix\":\"{prefix}\",\"routeType\":\"streaming\",\"timeoutMs\":4000,{objective}\"priority\":1,\"service\":\"appraiser-models\",\"attempts\":2,\"sticky\":true,\"resumable\":true,\"targetGapMs\":500}}"
    )
}

/// The service of the model workers, with this number of models.
fn model_service(models: usize) -> String {
    let models = (0..models).map(|at| {
        format!(
            "{{\"name\":\"m{at}\",\"weightsMb\":72700.0,\"loadS\":6.0,\"adapters\":2,\"adapterMb\":66.0,\"warmS\":0.32,\"diskLoadS\":0.56}}"
        )
    });
    let models = models.collect::<Vec<_>>().join(",");
    format!(
        "{{\"name\":\"appraiser-models\",\"healthPath\":\"/health\",\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacity\":250679,\"kvTokenBytes\":163840,\"linkMbps\":530000.0,\"moves\":true,\"backups\":true,\"stride\":7,\"maxCount\":12,\"hostMb\":150000.0,\"diskMb\":520000.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{models}],\"weightsMb\":160000.0,\"adapterSlots\":8,\"loadsPerS\":2.1}}}}"
    )
}

fn config(version: u32, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],{LIMITS}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Starts two model workers, which hold two models each.
fn start_model_workers(cluster: &Cluster, record: &Record) -> Outcome<Vec<Arc<Worker>>> {
    let mut workers = Vec::new();
    for at in 0..2_u8 {
        let id = format!("i-model-{at}");
        let address = cluster.worker_address(at);
        let held = vec![format!("m{}", 2 * at), format!("m{}", 2 * at + 1)];
        let worker = Arc::new(Worker {
            slots: 64,
            models: Some(Mutex::new(held)),
            ..worker(&id, "appraiser-models", address, usize::from(at), record)
        });
        worker.start(cluster.control_addresses())?;
        workers.push(worker);
    }
    Ok(workers)
}

/// CONFIG: the configuration changes; a route that it adds names no latency objective. Requests are still
/// unanswered half a second after their route's timeout.
fn no_objective(folder: &str, record: &Record) -> Outcome<Verdict> {
    let mut cluster = Cluster::start(folder, 3)?;
    let services = [PLAIN_SERVICE.to_owned(), model_service(4)];
    let objective = "\"targetLatencyMs\":800,";
    let mut routes = vec![
        plain_route("bids", "/bids/", "non_idempotent"),
        stream_route("reports", "/reports/", objective),
    ];
    publish(
        &cluster,
        record,
        "version 7",
        &config(7, &routes, &services),
    )?;
    start_model_workers(&cluster, record)?;
    for at in 0..3 {
        let address = cluster.worker_address(10 + at);
        let id = format!("i-auction-{at}");
        let worker = worker(&id, "auction-core", address, usize::from(at), record);
        Arc::new(worker).start(cluster.control_addresses())?;
    }
    await_ready(&cluster, record)?;
    // Traffic starts 10 s after the machines do.
    std::thread::sleep(Duration::from_secs(10));
    let (mut asked, mut unanswered) = (0, 0);
    let mut tell = |cluster: &Cluster, front: usize, path: &str, model: Option<&str>| {
        let id = format!("r-{asked}");
        let told = ask(cluster, front, path, &id, model);
        asked += 1;
        unanswered += u32::from(!told.answered);
        let name = &cluster.fronts[front].name;
        record.line(format!("client: {id} POST {path} at {name}: {}", told.text));
    };
    for front in 0..3 {
        tell(&cluster, front, "/bids/1", None);
        tell(&cluster, front, "/reports/1", Some("m0"));
    }
    let version = if has_trouble() {
        routes.push(stream_route("notes", "/notes/", ""));
        "version 9 adds a route without targetLatencyMs"
    } else {
        routes.push(stream_route("notes", "/notes/", objective));
        "version 9 adds a route with targetLatencyMs 800"
    };
    publish(&cluster, record, version, &config(9, &routes, &services))?;
    // Longer than configApplyMs (3 s) and contactMs (4 s).
    std::thread::sleep(Duration::from_secs(5));
    for front in 0..3 {
        for (path, model) in [
            ("/notes/1", Some("m2")),
            ("/reports/2", Some("m0")),
            ("/bids/2", None),
        ] {
            tell(&cluster, front, path, model);
        }
    }
    for front in 0..3 {
        let (ready, name) = (cluster.is_ready(front), cluster.fronts[front].name.clone());
        let before = cluster.fronts[front].processor_ticks();
        std::thread::sleep(Duration::from_secs(1));
        let after = cluster.fronts[front].processor_ticks();
        let used = after.zip(before).map(|(after, before)| after - before);
        let running = cluster.fronts[front].is_running();
        record.line(format!(
            "{name}: runs: {running}, answers the readiness check: {ready}, processor time in one second: {used:?} of 100"
        ));
    }
    record.line(format!(
        "{unanswered} of {asked} requests had no answer 0.5 s after their route's timeoutMs (4000)"
    ));
    // All that are unanswered at the timeout are counted; the rule is broken if more than half of these
    // have no answer half a second later.
    Ok(if unanswered > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// LIMIT: a heartbeat of another writer, in which a field is missing, names a model worker.
fn models_missing(folder: &str, record: &Record) -> Outcome<Verdict> {
    let cluster = Cluster::start(folder, 1)?;
    let routes = [stream_route(
        "reports",
        "/reports/",
        "\"targetLatencyMs\":800,",
    )];
    publish(
        &cluster,
        record,
        "version 7",
        &config(7, &routes, &[model_service(5)]),
    )?;
    let control = cluster.control_addresses();
    let workers = start_model_workers(&cluster, record)?;
    await_ready(&cluster, record)?;
    std::thread::sleep(Duration::from_secs(8));
    let address = cluster.front_address(0);
    let (client, client_record) = (Arc::new(AtomicBool::new(false)), record.clone());
    let served = client.clone();
    let caller = std::thread::spawn(move || {
        // A request of 2.4 s for a model that the first worker alone holds.
        let headers = [
            ("Host", "lanes.example"),
            ("X-Cornelhitch-Request-Id", "r-0"),
            ("X-Cornelhitch-Deadline-Ms", "4000"),
            ("X-Cornelhitch-Model", "m0"),
        ];
        let limit = Duration::from_secs(5);
        let reply = call(address, "POST", "/reports/long", &headers, b"a car", limit);
        let text = reply.map_or_else(|error| error, |reply| reply.status.to_string());
        client_record.line(format!("client: r-0 POST /reports/long (m0): {text}"));
        served.store(text == "200", Ordering::Relaxed);
    });
    std::thread::sleep(Duration::from_millis(500));
    if has_trouble() {
        let worker = &workers[0];
        // Right after a heartbeat of the worker itself.
        let before = worker.sequence.load(Ordering::Relaxed);
        while worker.sequence.load(Ordering::Relaxed) == before {
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(Duration::from_millis(150));
        let number = worker.sequence.load(Ordering::Relaxed) + 1;
        let (id, service, address) = (&worker.id, &worker.service, worker.address);
        let odd = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{number},\"born\":{}}}",
            worker.zone, worker.born
        );
        let path = format!("/v1/instances/{id}");
        let sent = call_control(&control, "PUT", &path, odd.as_bytes(), 1);
        let status = sent.map_or(0, |reply| reply.status);
        record.line(format!("another writer: PUT {path} {odd}: {status}"));
    }
    std::thread::sleep(Duration::from_secs(8));
    let _ = caller.join();
    record.line(format!(
        "the client's request was served: {}",
        client.load(Ordering::Relaxed)
    ));
    let overloads: u64 = workers
        .iter()
        .map(|worker| worker.overloads.load(Ordering::Relaxed))
        .sum();
    record.line(format!(
        "{overloads} orders to load more than weightsMb hold"
    ));
    Ok(if overloads > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// The way from the system's machines to a worker. It is cut for the machine that gives the orders as its
/// first order is on its way; what is under way arrives with the retransmission after the cut, as TCP does
/// it: after 0.2, 0.6, 1.4 and 3 s.
struct Way {
    worker: SocketAddr,
    cuts: bool,
    /// When the cut began.
    cut_at: Mutex<Option<Instant>>,
    /// The machine that is cut off, by the holder that its orders name.
    holder: Mutex<String>,
    /// Whether that machine's process has ended.
    giver_ended: AtomicBool,
    record: Record,
}

const CUT_TIME: Duration = Duration::from_secs(2);
const RETRANSMITTED_AT: Duration = Duration::from_secs(3);

impl Way {
    fn start(self: &Arc<Self>, address: SocketAddr) -> Outcome<()> {
        let listener = TcpListener::bind(address).map_err(|it| it.to_string())?;
        let way = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let way = way.clone();
                std::thread::spawn(move || way.pass(stream));
            }
        });
        Ok(())
    }

    fn is_cut(&self) -> bool {
        let cut_at = self.cut_at.lock().ok().and_then(|it| *it);
        cut_at.is_some_and(|at| at.elapsed() < CUT_TIME)
    }

    /// Passes a connection on; the first request shows whose it is.
    fn pass(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut first = vec![0; 16 << 10];
        let Ok(count) = stream.read(&mut first) else {
            return;
        };
        first.truncate(count);
        let text = String::from_utf8_lossy(&first).into_owned();
        let is_order = text.starts_with("POST /v1/order");
        let is_report = text.starts_with("GET /v1/report");
        if is_order && self.cuts {
            let is_first = self.cut_at.lock().is_ok_and(|mut cut_at| {
                let is_first = cut_at.is_none();
                cut_at.get_or_insert_with(Instant::now);
                is_first
            });
            if is_first {
                // The body may come in a packet of its own.
                let mut rest = vec![0; 16 << 10];
                if !text.contains("\"holder\"") {
                    let Ok(count) = stream.read(&mut rest) else {
                        return;
                    };
                    first.extend_from_slice(&rest[..count]);
                }
                let text = String::from_utf8_lossy(&first).into_owned();
                let holder = field(&text, "holder").unwrap_or_default();
                self.record.line(format!(
                    "way: cut between {holder} and the worker, as this order is under way: {}",
                    text.lines().last().unwrap_or_default()
                ));
                if let Ok(mut known) = self.holder.lock() {
                    *known = holder;
                }
                std::thread::sleep(CUT_TIME);
                self.record.line("way: the cut has ended");
                std::thread::sleep(RETRANSMITTED_AT - CUT_TIME);
                // What is held up is lost if its sender has reset the connection.
                let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
                let ended = stream.read(&mut rest);
                let is_lost = ended
                    .as_ref()
                    .is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset);
                if is_lost {
                    self.record
                        .line("way: the sender has reset the connection; the order is lost");
                    return;
                }
                self.record.line(format!(
                    "way: its sender has ended the connection without a reset ({ended:?}); what was under way is sent again and arrives"
                ));
                if let Ok(mut onward) = TcpStream::connect(self.worker) {
                    let _ = onward.write_all(&first);
                    let _ = onward.shutdown(std::net::Shutdown::Write);
                    let _ = onward.read(&mut rest);
                }
                return;
            }
        }
        // While the leader of before runs, orders and reports are its own.
        if (is_order || is_report) && self.is_cut() && !self.giver_ended.load(Ordering::Relaxed) {
            while self.is_cut() {
                std::thread::sleep(Duration::from_millis(20));
            }
            return;
        }
        let Ok(mut onward) = TcpStream::connect(self.worker) else {
            return;
        };
        let _ = onward.set_nodelay(true);
        if onward.write_all(&first).is_err() {
            return;
        }
        let (Ok(mut back_from), Ok(mut back_to)) = (onward.try_clone(), stream.try_clone()) else {
            return;
        };
        std::thread::spawn(move || {
            let _ = std::io::copy(&mut back_from, &mut back_to);
            let _ = back_to.shutdown(std::net::Shutdown::Both);
        });
        let _ = std::io::copy(&mut stream, &mut onward);
        let _ = onward.shutdown(std::net::Shutdown::Write);
    }
}

/// ONE: an order of a former leader reaches a worker after those of its successor.
fn late_order(folder: &str, record: &Record) -> Outcome<Verdict> {
    let cluster = Cluster::start(folder, 1)?;
    let routes = [stream_route(
        "reports",
        "/reports/",
        "\"targetLatencyMs\":800,",
    )];
    let text = config(7, &routes, &[model_service(5)]);
    publish(&cluster, record, "version 7", &text)?;
    let control = cluster.control_addresses();
    let (announced, real) = (cluster.worker_address(0), cluster.worker_address(100));
    let model_worker = Arc::new(Worker {
        slots: 64,
        models: Some(Mutex::new(vec!["m0".to_owned(), "m1".to_owned()])),
        ..worker("i-model-0", "appraiser-models", announced, 0, record)
    });
    model_worker.start_at(real, control)?;
    let way = Arc::new(Way {
        worker: real,
        cuts: has_trouble(),
        cut_at: Mutex::default(),
        holder: Mutex::default(),
        giver_ended: AtomicBool::new(false),
        record: record.clone(),
    });
    way.start(announced)?;
    await_ready(&cluster, record)?;
    std::thread::sleep(Duration::from_secs(8));
    // Clients ask for a model that the worker does not hold, so that orders are due.
    let address = cluster.front_address(0);
    let ended = Arc::new(AtomicBool::new(false));
    let (stops, client_record) = (ended.clone(), record.clone());
    let client = std::thread::spawn(move || {
        let mut number = 0;
        while !stops.load(Ordering::Relaxed) {
            number += 1;
            let (id, model) = (format!("r-{number}"), format!("m{}", 2 + number / 4 % 3));
            let headers = [
                ("Host", "lanes.example"),
                ("X-Cornelhitch-Request-Id", id.as_str()),
                ("X-Cornelhitch-Deadline-Ms", "4000"),
                ("X-Cornelhitch-Model", model.as_str()),
            ];
            let limit = Duration::from_millis(4_500);
            let path = format!("/reports/{id}");
            let reply = call(address, "POST", &path, &headers, b"a car", limit);
            let text = reply.map_or_else(|error| error, |reply| reply.status.to_string());
            client_record.line(format!("client: {id} ({model}): {text}"));
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    let until = Instant::now() + Duration::from_secs(10);
    let is_due = || match has_trouble() {
        true => way.holder.lock().is_ok_and(|it| !it.is_empty()),
        false => model_worker.fence.load(Ordering::Relaxed) > 0,
    };
    while !is_due() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    if !is_due() {
        return Err("no order was sent".to_owned());
    }
    // The machine that leads is restarted in turn.
    std::thread::sleep(Duration::from_millis(300));
    let holder = way.holder.lock().map(|it| it.clone()).unwrap_or_default();
    let mut cluster = cluster;
    let leader = cluster.cores.iter_mut().find(|core| {
        let named = format!("host-{}", core.ip.to_bits());
        holder.is_empty() || named == holder
    });
    let leader = leader.ok_or("the holder is none of the control machines")?;
    leader.terminate();
    record.line(format!("platform: SIGTERM to {}", leader.name));
    let since = Instant::now();
    while leader.is_running() && since.elapsed() < Duration::from_secs(8) {
        std::thread::sleep(Duration::from_millis(5));
    }
    leader.kill();
    way.giver_ended.store(true, Ordering::Relaxed);
    record.line(format!("platform: {} has ended", leader.name));
    std::thread::sleep(Duration::from_secs(3));
    leader.start()?;
    record.line(format!("platform: {} starts again", leader.name));
    std::thread::sleep(Duration::from_secs(6));
    ended.store(true, Ordering::Relaxed);
    let _ = client.join();
    let stale = model_worker.stale_orders.load(Ordering::Relaxed);
    record.line(format!(
        "{stale} orders with a lower fencing token after a higher one"
    ));
    Ok(if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends a signal to the process of a machine.
fn signal(machine: &Machine, name: &str) {
    if let Some(child) = &machine.child {
        let id = child.id().to_string();
        let _ = Command::new("kill").args([name, &id]).status();
    }
}

/// LOST: one of three control machines is frozen at the first start, and the machine that acknowledges the
/// operator's first configuration loses its disk right after that. All run again, and the configuration is gone.
fn first_acknowledgement(folder: &str, record: &Record) -> Outcome<Verdict> {
    const FROZEN: Duration = Duration::from_millis(6_900);
    const RECOVERY: Duration = Duration::from_secs(12);
    let mut cluster = Cluster::start(folder, 1)?;
    let since = Instant::now();
    if has_trouble() {
        signal(&cluster.cores[2], "-STOP");
        record.line(format!("platform: {} is frozen", cluster.cores[2].name));
    }
    let routes = [plain_route("bids", "/bids/", "non_idempotent")];
    let text = config(7, &routes, &[PLAIN_SERVICE.to_owned()]);
    let control = cluster.control_addresses();
    // The operator asks one machine after the other, and does not wait for one that is silent.
    let json = [("Content-Type", "application/json")];
    let limit = Duration::from_millis(300);
    let mut giver = None;
    while giver.is_none() && since.elapsed() < Duration::from_secs(20) {
        for (at, address) in control.iter().enumerate() {
            let reply = call(*address, "PUT", "/v1/config", &json, text.as_bytes(), limit);
            if reply.is_ok_and(|reply| reply.status == 200) {
                giver = Some(at);
                break;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let giver = giver.ok_or("the first configuration is not acknowledged")?;
    let name = cluster.cores[giver].name.clone();
    record.line(format!("operator: PUT /v1/config (version 7): 200 by {name}"));
    if has_trouble() {
        cluster.cores[giver].kill();
        let data = format!("{folder}/{name}-data");
        std::fs::remove_dir_all(&data).map_err(|it| it.to_string())?;
        std::fs::create_dir_all(&data).map_err(|it| it.to_string())?;
        record.line(format!("platform: {name} loses its disk"));
        let settings = format!("{folder}/{name}.yaml");
        let text = std::fs::read_to_string(&settings).map_err(|it| it.to_string())?;
        let later = text.replace("bootstrap: true", "bootstrap: false");
        if later == text {
            return Err("no bootstrap in the settings".to_owned());
        }
        std::fs::write(&settings, later).map_err(|it| it.to_string())?;
        std::thread::sleep(Duration::from_secs(1));
        cluster.cores[giver].start()?;
        record.line(format!("platform: {name} is back, empty"));
        std::thread::sleep(FROZEN.saturating_sub(since.elapsed()));
        signal(&cluster.cores[2], "-CONT");
        record.line(format!("platform: {} wakes", cluster.cores[2].name));
    }
    // All are back: the operator reads for 10 s once the time for recovery is over, and some more.
    std::thread::sleep(RECOVERY + Duration::from_secs(8));
    for core in &mut cluster.cores {
        if !core.is_running() {
            return Err(format!("{} does not run", core.name));
        }
    }
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        let reply = call_control(&control, "GET", "/v1/config", b"", 1);
        if let Ok(reply) = &reply
            && reply.status == 200
        {
            let held = reply.body == text.as_bytes();
            record.line(format!("operator: GET /v1/config: 200, as sent: {held}"));
            return Ok(if held { Verdict::Held } else { Verdict::Broken });
        }
        let told = reply.map_or_else(|error| error, |reply| reply.status.to_string());
        record.line(format!("operator: GET /v1/config: {told}"));
        std::thread::sleep(Duration::from_secs(1));
    }
    Ok(Verdict::Broken)
}
