//! Shows what a control host keeps while operators change the route table: `growth [CHANGES]`.
//!
//! Three voters with real disks and the real replicated state, in one thread and virtual time. The third
//! stands still between two rows and then catches up. A row has, after so many changes: the most that the
//! folders of the first two held, the entries in their memory, their snapshot, and what the third was sent
//! until it had caught up, with the time that the processor took for that.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelhitch_control::command::{Command, Entry};
use cornelhitch_control::current_table::SubmittedTable;
use cornelhitch_control::state::State;
use cornelhitch_node::timestamped::TimestampedCommand;
use cornelhitch_quorum::action;
use cornelhitch_quorum::disk::{DiskStore, ExpectedIdentity};
use cornelhitch_quorum::prelude::*;
use cornelhitch_quorum::store::Record;
use cornelhitch_types::route::{RetryPolicy, Route, RouteTable, Split};

const VOTERS: u64 = 3;
/// Routes of a table, and bytes of the text for each.
const ROUTES: usize = 1_000;
const TEXT_BYTES: usize = 150;
/// The numbers of changes after which a row is printed.
const ROWS: [u64; 8] = [10, 30, 100, 300, 1_000, 3_000, 10_000, 15_000];

/// One voter.
struct Voter {
    core: Core,
    disk: DiskStore,
    state: State,
    applied: Index,
    /// Whether it handles events; messages to it are lost otherwise.
    runs: bool,
    /// Bytes of the messages that it was sent.
    sent_bytes: usize,
    /// The most bytes that its folder held.
    most_bytes: u64,
}

/// The voters and the events on their way.
struct Group {
    voters: Vec<Voter>,
    events: VecDeque<(MemberId, Event)>,
    now: Time,
    folder: PathBuf,
}

impl Group {
    /// Starts the voters as a group.
    fn start(folder: &Path) -> Self {
        let peers: Vec<Peer> = (0..VOTERS).map(|id| Peer { id, incarnation: 1 }).collect();
        let members = Membership::of(&peers);
        let voters = (0..VOTERS).map(|id| {
            let owner = ExpectedIdentity {
                cluster: 7,
                group: 0,
                member: id,
                incarnation: 1,
            };
            let mut disk =
                DiskStore::open(folder.join(id.to_string()), owner).expect("folder should open");
            let seeded = Recovered::seeded(disk.recovered().identity, &members);
            let mut records = vec![Record::HardState(seeded.hard_state)];
            records.extend(seeded.entries.into_iter().map(Record::Entry));
            disk.append(&records).expect("records should be written");
            Voter {
                core: Core::new(Config::default(), disk.recovered(), id, Time::ZERO),
                disk,
                state: State::default(),
                applied: 0,
                runs: true,
                sent_bytes: 0,
                most_bytes: 0,
            }
        });
        Self {
            voters: voters.collect(),
            events: VecDeque::new(),
            now: Time::ZERO,
            folder: folder.to_owned(),
        }
    }

    fn voter(&mut self, id: MemberId) -> &mut Voter {
        let at = usize::try_from(id).expect("voters should be few");
        &mut self.voters[at]
    }

    /// Handles the events on their way; if there are none, waits for the next that is due by the clock.
    fn step(&mut self) {
        if self.events.is_empty() {
            let voters = (0..VOTERS).zip(&self.voters);
            let running = voters.filter(|(_, voter)| voter.runs);
            let wakes = running.map(|(id, voter)| (voter.core.next_wake(), id));
            let (wake, id) = wakes.min().expect("voters should run");
            self.now = self.now.max(wake);
            self.events.push_back((id, Event::Tick));
        }
        while let Some((id, event)) = self.events.pop_front() {
            let now = self.now;
            let voter = self.voter(id);
            if voter.runs {
                for action in voter.core.handle(event, now) {
                    self.perform(id, action);
                }
            }
        }
    }

    /// Performs an action of a voter.
    fn perform(&mut self, id: MemberId, action: Action) {
        match action {
            Action::Persist(batch) => {
                let folder = self.folder.join(id.to_string());
                let voter = self.voter(id);
                let written = voter.disk.append(&batch.records);
                written.expect("batch should be written");
                voter.most_bytes = voter.most_bytes.max(bytes_in(&folder));
                let token = batch.token;
                self.events.push_back((id, Event::Persisted { token }));
            }
            Action::Send { to, message } => {
                let length = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
                self.voter(to).sent_bytes += length;
                self.events
                    .push_back((to, Event::Receive { from: id, message }));
            }
            Action::Apply(entry) => self.voter(id).apply(&entry),
            Action::Restore(snapshot) => {
                let voter = self.voter(id);
                voter.state = State::restore(&snapshot.data).expect("snapshot should be valid");
                voter.applied = snapshot.index;
            }
            Action::NeedSnapshot => {
                let voter = self.voter(id);
                let (index, data) = (voter.applied, voter.state.snapshot());
                self.events.push_back((id, Event::Snapshot { index, data }));
            }
            _ => {}
        }
    }

    /// Waits until a condition holds.
    fn wait_until(&mut self, is_met: impl Fn(&Self) -> bool) {
        while !is_met(self) {
            self.step();
        }
    }

    /// Returns the leader, if there is one.
    fn leader(&self) -> Option<MemberId> {
        let leads = |voter: &&Voter| voter.core.status().role == Role::Leader;
        let leader = self.voters.iter().find(leads)?;
        Some(leader.core.status().peer.id)
    }

    /// Commits a route table at the running voters.
    fn change(&mut self, version: u64) {
        let submitted = table(version);
        let command = Command::PublishTable(submitted).encode();
        let time = self.now;
        let payload = TimestampedCommand { time, command }.encode();
        self.wait_until(|group| group.leader().is_some());
        let leader = self.leader().expect("a voter should lead");
        let id = version;
        self.events
            .push_back((leader, Event::Propose { id, payload }));
        self.wait_until(|group| {
            let mut running = group.voters.iter().filter(|voter| voter.runs);
            running.all(|voter| voter.state.current_table().version() == version)
        });
    }
}

impl Voter {
    /// Applies a committed entry.
    fn apply(&mut self, entry: &action::Entry) {
        self.applied = entry.index;
        let stamped = TimestampedCommand::decode(&entry.payload).expect("entry should be valid");
        let command = Command::decode(&stamped.command).expect("command should be valid");
        let place = Entry {
            index: entry.index,
            term: entry.term,
            time: stamped.time,
        };
        self.state.apply(&place, command);
    }
}

/// Returns a route table, with a text of the length that operators send.
fn table(version: u64) -> SubmittedTable {
    let route = |number: usize| Route {
        name: format!("r-{number:07}").into(),
        host: "ficu95.example".into(),
        prefix: format!("/p{number:06}/").into(),
        retry: RetryPolicy::Retry,
        is_stream: false,
        timeout: Duration::from_secs(4),
        objective: Some(Duration::from_millis(800)),
        priority: 1,
        attempts: 2,
        splits: vec![Split {
            service: "auction-core".into(),
            weight: 100,
        }],
    };
    let table = RouteTable {
        version,
        routes: (0..ROUTES).map(route).collect(),
        ..RouteTable::default()
    };
    SubmittedTable {
        table: Arc::new(table),
        text: vec![b'x'; ROUTES * TEXT_BYTES].into(),
    }
}

/// Returns the bytes of the files in a folder.
fn bytes_in(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).expect("folder should be readable");
    let sizes = files
        .flatten()
        .map(|file| file.metadata().map_or(0, |it| it.len()));
    sizes.sum()
}

fn main() {
    let most = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let most: u64 = most.unwrap_or(1_000);
    let folder = tempfile::tempdir().expect("folder should be created");
    let mut group = Group::start(folder.path());
    group.wait_until(|group| group.leader().is_some_and(|leader| leader < VOTERS - 1));
    let entry = Command::PublishTable(table(1)).encode();
    println!("{ROUTES} routes, {} bytes an entry", entry.len());
    println!("changes | disk, most | log in memory | snapshot | sent to catch up | time");
    let mut version = 0;
    for row in ROWS.into_iter().filter(|row| *row <= most) {
        group.voter(VOTERS - 1).runs = false;
        while version < row {
            version += 1;
            group.change(version);
        }
        let disk = group.voters.iter().map(|it| it.most_bytes).max();
        let log = group.voters.iter().map(|it| it.core.status().log_bytes);
        let log = log.max();
        let snapshot = group.voters[0].state.snapshot().len();
        let last = group.voter(VOTERS - 1);
        last.runs = true;
        last.sent_bytes = 0;
        let since = Instant::now();
        group.wait_until(|group| {
            let last = &group.voters[group.voters.len() - 1];
            last.state.current_table().version() == version
        });
        println!(
            "{row} | {} | {} | {snapshot} | {} | {:.0?}",
            disk.unwrap_or(0),
            log.unwrap_or(0),
            group.voter(VOTERS - 1).sent_bytes,
            since.elapsed()
        );
    }
}
