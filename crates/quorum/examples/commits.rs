//! Benchmarks commits of three voters in threads with real disks: `commits [SECONDS] [DIR]`.
//!
//! Messages pass through channels, encoded with postcard. Measures commit latency and throughput
//! with one proposal in flight and with many, then the time that a restart takes.

use std::collections::HashMap;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelhitch_quorum::disk::{DiskStore, ExpectedIdentity, WriteResult, Writer};
use cornelhitch_quorum::log::{Entry, Payload};
use cornelhitch_quorum::prelude::*;
use cornelhitch_quorum::store::{HardState, Record};

const VOTERS: u64 = 3;

/// Number of proposals in flight in the batched run.
const MAX_IN_FLIGHT: usize = 256;

/// Size of a proposal.
const PAYLOAD_BYTES: usize = 128;

/// Maximum number of events that a voter processes in one call, besides the first.
const MAX_EVENTS_PER_CALL: usize = 512;

enum Input {
    Event(Event),
    Message(Vec<u8>),
    Stop,
}

/// What a voter reports to the clients.
enum Output {
    Leads(MemberId),
    Applied(RequestId),
    Rejected,
}

struct Voter {
    core: Core,
    writer: Writer,
    inputs: Receiver<Input>,
    peers: Vec<Sender<Input>>,
    output: Sender<Output>,
    start: Instant,
}

impl Voter {
    fn run(mut self) {
        loop {
            let wake = self.core.next_wake().saturating_sub(self.start.elapsed());
            let first = self.inputs.recv_timeout(wake).ok();
            let mut events = Vec::new();
            for input in first
                .into_iter()
                .chain(self.inputs.try_iter().take(MAX_EVENTS_PER_CALL))
            {
                match input {
                    Input::Event(event) => events.push(event),
                    Input::Message(bytes) => events.extend(decode(&bytes)),
                    Input::Stop => return,
                }
            }
            let actions = self.core.handle_all(events, self.start.elapsed());
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: Action) {
        let output = match action {
            Action::Persist(batch) => return self.writer.submit(batch),
            Action::Send { to, message } => {
                let bytes = postcard::to_allocvec(&message).expect("messages can be encoded");
                let at = usize::try_from(to).expect("few voters");
                return drop(self.peers[at].send(Input::Message(bytes)));
            }
            Action::Apply(entry) => entry.id.map(Output::Applied),
            Action::Role {
                role: Role::Leader, ..
            } => Some(Output::Leads(self.core.status().peer.id)),
            Action::Rejected { .. } => Some(Output::Rejected),
            _ => None,
        };
        if let Some(output) = output {
            drop(self.output.send(output));
        }
    }
}

fn decode(bytes: &[u8]) -> Option<Event> {
    let message: Envelope = postcard::from_bytes(bytes).ok()?;
    Some(Event::Receive {
        from: message.from.id,
        message,
    })
}

fn owner(member: MemberId) -> ExpectedIdentity {
    ExpectedIdentity {
        cluster: 7,
        group: 0,
        member,
        incarnation: 1,
    }
}

/// Opens a directory, seeding it with a group of three if it is empty.
fn open(dir: &Path, member: MemberId) -> DiskStore {
    let mut disk =
        DiskStore::open(dir.join(member.to_string()), owner(member)).expect("a directory");
    if disk.recovered().entries.is_empty() {
        let peers: Vec<Peer> = (0..VOTERS).map(|id| Peer { id, incarnation: 1 }).collect();
        let seeded = Recovered::seeded(disk.recovered().identity, &Membership::of(&peers));
        let mut records = vec![Record::HardState(seeded.hard_state)];
        records.extend(seeded.entries.into_iter().map(Record::Entry));
        disk.append(&records).expect("room on the disk");
    }
    disk
}

struct Group {
    inputs: Vec<Sender<Input>>,
    output: Receiver<Output>,
    threads: Vec<std::thread::JoinHandle<()>>,
    leader: usize,
}

impl Group {
    fn start(dir: &Path) -> Self {
        let (inputs, queues): (Vec<_>, Vec<_>) = (0..VOTERS).map(|_| channel()).unzip();
        let (output, outputs) = channel();
        let start = Instant::now();
        let mut threads = Vec::new();
        for (member, queue) in (0..VOTERS).zip(queues) {
            let disk = open(dir, member);
            let config = Config {
                snapshot_threshold_entries: u64::MAX,
                snapshot_threshold_bytes: u64::MAX,
                ..Config::default()
            };
            let core = Core::new(config, disk.recovered(), member, start.elapsed());
            let own = inputs[threads.len()].clone();
            let report = move |result: WriteResult| drop(own.send(Input::Event(result.into())));
            let writer = Writer::start(Box::new(disk), report).expect("a thread");
            let (peers, output) = (inputs.clone(), output.clone());
            let voter = Voter {
                core,
                writer,
                inputs: queue,
                peers,
                output,
                start,
            };
            threads.push(std::thread::spawn(move || voter.run()));
        }
        let mut group = Self {
            inputs,
            output: outputs,
            threads,
            leader: 0,
        };
        while !matches!(group.wait(), Output::Leads(_)) {}
        group
    }

    fn wait(&mut self) -> Output {
        let output = self.output.recv().expect("voters run");
        if let Output::Leads(id) = output {
            self.leader = usize::try_from(id).expect("few voters");
        }
        output
    }

    fn propose(&self, id: RequestId) {
        let payload = Bytes::from(vec![7; PAYLOAD_BYTES]);
        drop(self.inputs[self.leader].send(Input::Event(Event::Propose { id, payload })));
    }

    /// Keeps `in_flight` proposals in flight for `time` and returns the latency of each.
    fn load(&mut self, in_flight: usize, time: Duration) -> Vec<Duration> {
        let start = Instant::now();
        let mut pending = HashMap::new();
        let mut latencies = Vec::new();
        let mut next = 0;
        while start.elapsed() < time {
            while pending.len() < in_flight {
                next += 1;
                pending.insert(next, Instant::now());
                self.propose(next);
            }
            match self.wait() {
                Output::Applied(id) => latencies.extend(pending.remove(&id).map(|at| at.elapsed())),
                Output::Leads(_) | Output::Rejected => pending.clear(),
            }
        }
        while !pending.is_empty() {
            if let Output::Applied(id) = self.wait() {
                pending.remove(&id);
            }
        }
        latencies
    }

    fn stop(self) {
        self.inputs
            .iter()
            .for_each(|input| drop(input.send(Input::Stop)));
        self.threads
            .into_iter()
            .for_each(|thread| thread.join().expect("no panic"));
    }
}

fn report(what: &str, mut latencies: Vec<Duration>, time: Duration) {
    latencies.sort_unstable();
    let part = |percent: usize| latencies[(latencies.len() - 1) * percent / 100];
    let rate = f64::from(u32::try_from(latencies.len()).unwrap_or(u32::MAX)) / time.as_secs_f64();
    println!(
        "{what}: {rate:.0} commits/s, p50 {:?}, p99 {:?}",
        part(50),
        part(99)
    );
}

/// Measures the time from opening the directory of a member with `entries` entries to its first
/// actions.
fn measure_restart(dir: &Path, entries: u64) {
    let dir = dir.join(format!("restart-{entries}"));
    let mut disk = DiskStore::open(&dir, owner(0)).expect("a directory");
    let data = Bytes::from(vec![7; PAYLOAD_BYTES]);
    let entry = |index| Entry {
        index,
        term: 1,
        payload: Payload::Data(data.clone()),
    };
    let lineage = 1;
    let hard_state = Record::HardState(HardState {
        term: 1,
        voted_for: None,
        lineage,
    });
    disk.append(&[hard_state]).expect("room on the disk");
    let records: Vec<Record> = (1..=entries)
        .map(|index| Record::Entry(entry(index)))
        .collect();
    records
        .chunks(100)
        .for_each(|part| disk.append(part).expect("room on the disk"));
    drop(disk);
    let start = Instant::now();
    let disk = DiskStore::open(&dir, owner(0)).expect("a directory");
    let mut core = Core::new(Config::default(), disk.recovered(), 1, Time::ZERO);
    core.handle(Event::Tick, Time::ZERO);
    println!("start with {entries} entries: {:?}", start.elapsed());
}

fn main() {
    let seconds = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(5);
    let time = Duration::from_secs(seconds);
    let dir = match std::env::args().nth(2) {
        Some(path) => tempfile::tempdir_in(path),
        None => tempfile::tempdir(),
    };
    let dir = dir.expect("a temporary directory");
    let mut group = Group::start(dir.path());
    report("single", group.load(1, time), time);
    report("batched", group.load(MAX_IN_FLIGHT, time), time);
    group.stop();
    measure_restart(dir.path(), 500);
    measure_restart(dir.path(), 100_000);
}
