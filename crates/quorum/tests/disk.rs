//! One voter with a real disk and its writer.

use std::path::Path;
use std::sync::mpsc::{Receiver, channel};

use cornelhitch_quorum::disk::{Disk, Owner, Writer};
use cornelhitch_quorum::prelude::*;

const OWNER: Owner = Owner {
    cluster: 7,
    group: 0,
    member: 1,
    incarnation: 41,
};

/// A single voter whose owner waits for the disk after each event.
struct Voter {
    core: Core,
    writer: Writer,
    done: Receiver<Event>,
    now: Time,
    applied: Vec<String>,
    results: Vec<Action>,
}

impl Voter {
    fn start(folder: &Path, config: Config) -> Self {
        let disk = Disk::open(folder, OWNER).unwrap();
        let recovered = disk.recovered();
        let (sender, done) = channel();
        let report = move |result: cornelhitch_quorum::disk::Done| {
            sender.send(result.into()).unwrap();
        };
        let writer = Writer::start(Box::new(disk), report).unwrap();
        let core = Core::new(config, recovered, 1, Time::ZERO);
        let (applied, results) = (Vec::new(), Vec::new());
        let mut voter = Self {
            core,
            writer,
            done,
            now: Time::ZERO,
            applied,
            results,
        };
        for _ in 0..3 {
            voter.now = voter.now.max(voter.core.next_wake());
            voter.run(Event::Tick);
        }
        voter
    }

    fn run(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut writes = 0;
            for action in self.core.handle(event, self.now) {
                match action {
                    Action::Persist(batch) => {
                        writes += 1;
                        self.writer.submit(batch);
                    }
                    Action::Apply(entry) => {
                        self.applied
                            .push(String::from_utf8(entry.payload.to_vec()).unwrap());
                    }
                    Action::Restore(snapshot) => {
                        let text = String::from_utf8(snapshot.data.to_vec()).unwrap();
                        self.applied = text.split_terminator(' ').map(str::to_owned).collect();
                    }
                    other => self.results.push(other),
                }
            }
            events.extend((0..writes).map(|_| self.done.recv().unwrap()));
        }
    }

    fn propose(&mut self, range: std::ops::Range<u64>) {
        for id in range {
            self.run(Event::Propose {
                id,
                payload: id.to_string().into(),
            });
        }
    }

    fn snapshot(&mut self) {
        let index = self.core.status().applied;
        let data = self.applied.join(" ").into();
        self.run(Event::Snapshot { index, data });
    }
}

fn founder() -> Config {
    Config {
        founder: true,
        ..Config::default()
    }
}

fn expected(range: std::ops::Range<u64>) -> Vec<String> {
    range.map(|id| id.to_string()).collect()
}

#[test]
fn a_single_voter_commits_and_goes_on_after_restarts() {
    let folder = tempfile::tempdir().unwrap();
    for life in 0..4 {
        let mut voter = Voter::start(folder.path(), founder());
        assert!(
            voter.core.lease(voter.now).is_some(),
            "{:?}",
            voter.core.status()
        );
        assert_eq!(voter.applied, expected(0..life * 10));
        voter.propose(life * 10..life * 10 + 10);
        assert_eq!(voter.applied, expected(0..life * 10 + 10));
        if life == 1 {
            voter.snapshot();
        }
    }
}
