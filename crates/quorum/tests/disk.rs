//! Tests of the on-disk store: restarts, torn and corrupt files, full disks and the writer thread.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, channel};

use cornelhitch_quorum::disk::{
    Block, DiskStore, ExpectedIdentity, InjectedFailure, MAX_PAYLOAD_BYTES, Writer, scan,
};
use cornelhitch_quorum::log::{Entry, Payload, Snapshot};
use cornelhitch_quorum::prelude::*;
use cornelhitch_quorum::store::{HardState, Record};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OWNER: ExpectedIdentity = ExpectedIdentity {
    cluster: 7,
    group: 0,
    member: 1,
    incarnation: 41,
};

/// Size of the frame header.
const HEADER_BYTES: usize = 20;

/// The only voter of a group, whose owner waits for the disk after each event.
struct Voter {
    core: Core,
    writer: Writer,
    done: Receiver<Event>,
    now: Time,
    applied: Vec<String>,
    last: Index,
    rejected: Vec<(RequestId, RejectReason)>,
    /// How many snapshots the core has requested.
    wanted: usize,
}

impl Voter {
    fn start(disk: DiskStore) -> Self {
        let mut voter = Self::new(disk);
        voter.tick(3);
        voter
    }

    fn new(disk: DiskStore) -> Self {
        let recovered = disk.recovered();
        let (sender, done) = channel();
        let report = move |result: cornelhitch_quorum::disk::WriteResult| {
            sender.send(result.into()).unwrap();
        };
        let writer = Writer::start(Box::new(disk), report).unwrap();
        let config = Config {
            may_bootstrap: true,
            ..Config::default()
        };
        let core = Core::new(config, recovered, 1, Time::ZERO);
        let (now, last) = (Time::ZERO, 0);
        let (applied, rejected) = (Vec::new(), Vec::new());
        Self {
            core,
            writer,
            done,
            now,
            applied,
            last,
            rejected,
            wanted: 0,
        }
    }

    fn tick(&mut self, times: usize) {
        for _ in 0..times {
            self.now = self.now.max(self.core.next_wake());
            self.run(Event::Tick);
        }
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
                        self.last = entry.index;
                        self.applied
                            .push(String::from_utf8(entry.payload.to_vec()).unwrap());
                    }
                    Action::Restore(snapshot) => {
                        self.last = snapshot.index;
                        let text = String::from_utf8(snapshot.data.to_vec()).unwrap();
                        self.applied = text.split_terminator(' ').map(str::to_owned).collect();
                    }
                    Action::Rejected { id, reason, .. } => self.rejected.push((id, reason)),
                    Action::NeedSnapshot => self.wanted += 1,
                    _ => {}
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
        let data = self.applied.join(" ").into();
        self.run(Event::Snapshot {
            index: self.last,
            data,
        });
    }
}

fn expected(range: std::ops::Range<u64>) -> Vec<String> {
    range.map(|id| id.to_string()).collect()
}

fn entry(index: Index) -> Record {
    let payload = Payload::Data(format!("entry {index}").into());
    Record::Entry(Entry {
        index,
        term: 1,
        payload,
    })
}

fn snapshot(index: Index) -> Record {
    let membership = Membership::of(&[Peer {
        id: 1,
        incarnation: 41,
    }]);
    Record::Snapshot(Snapshot {
        index,
        term: 1,
        membership,
        data: "state".into(),
    })
}

/// Creates a directory with entries 1 to 9, one frame each, and returns it with the log file's
/// path.
fn dir_with_entries() -> (tempfile::TempDir, PathBuf) {
    let dir = tempfile::tempdir().unwrap();
    let mut disk = DiskStore::open(dir.path(), OWNER).unwrap();
    (1..10).for_each(|index| disk.append(&[entry(index)]).unwrap());
    let log = find_file(dir.path(), "log-");
    (dir, log)
}

fn find_file(dir: &Path, prefix: &str) -> PathBuf {
    let mut files = fs::read_dir(dir).unwrap().map(|file| file.unwrap().path());
    let named = |path: &PathBuf| {
        path.file_name()
            .unwrap()
            .to_string_lossy()
            .starts_with(prefix)
    };
    files.find(named).unwrap()
}

#[test]
fn single_voter_keeps_committed_entries_across_restarts() {
    let dir = tempfile::tempdir().unwrap();
    for restart in 0..4 {
        let mut voter = Voter::start(DiskStore::open(dir.path(), OWNER).unwrap());
        assert!(
            voter.core.lease(voter.now).is_some(),
            "{:?}",
            voter.core.status()
        );
        assert_eq!(voter.applied, expected(0..restart * 10));
        voter.propose(restart * 10..restart * 10 + 10);
        assert_eq!(voter.applied, expected(0..restart * 10 + 10));
        if restart == 1 {
            voter.snapshot();
        }
    }
}

/// With a full disk, the leader must step down and acknowledge nothing, and must resume once writes
/// succeed again.
#[test]
fn leader_with_full_disk_steps_down_until_writes_succeed() {
    for bytes in [0, 7, HEADER_BYTES + 1, 10_000] {
        let dir = tempfile::tempdir().unwrap();
        let mut disk = DiskStore::open(dir.path(), OWNER).unwrap();
        disk.append(&[Record::HardState(HardState::default())])
            .unwrap();
        let mut voter = Voter::start(disk);
        voter.propose(0..3);
        drop(voter);
        let mut disk = DiskStore::open(dir.path(), OWNER).unwrap();
        disk.fail_next(InjectedFailure::Write { after: bytes });
        let mut voter = Voter::new(disk);
        voter.tick(1);
        assert!(
            !voter.core.is_leader(),
            "a candidate became leader before its vote was synced"
        );
        voter.propose(3..4);
        assert_eq!(voter.rejected, [(3, RejectReason::NotLeader)]);
        voter.tick(8);
        assert!(voter.core.is_leader(), "{:?}", voter.core.status());
        voter.propose(4..6);
        drop(voter);
        let voter = Voter::start(DiskStore::open(dir.path(), OWNER).unwrap());
        assert_eq!(voter.applied, ["0", "1", "2", "4", "5"]);
    }
}

#[test]
fn failed_write_leaves_only_records_that_were_appended_again() {
    for bytes in [0, 1, HEADER_BYTES, 30, 10_000] {
        let (dir, _) = dir_with_entries();
        let mut disk = DiskStore::open(dir.path(), OWNER).unwrap();
        disk.fail_next(InjectedFailure::Write { after: bytes });
        assert!(disk.append(&[entry(10)]).is_err());
        assert_eq!(disk.recovered().last(), 9);
        disk.append(&[entry(10), entry(11)]).unwrap();
        let recovered = disk.recovered();
        drop(disk);
        assert_eq!(
            DiskStore::open(dir.path(), OWNER).unwrap().recovered(),
            recovered
        );
    }
}

/// Guards against a log of large entries that is compacted by their number alone, until it fills the
/// disk and the memory. A log may have a quarter of the users' disk of 128 MB, so that a second one fits
/// beside it. Of the users' 256 MB of memory it may have a sixteenth; once a snapshot is taken, it may have
/// what is kept before the snapshot.
#[test]
fn a_log_of_large_entries_stays_small() {
    const ENTRY_BYTES: usize = 200_000;
    const ENTRIES: u64 = 300;
    const MAX_BYTES: u64 = 32 << 20;
    const MAX_BYTES_IN_MEMORY: u64 = 16 << 20;
    let kept_bytes = Config::default().trailing_bytes as u64;
    let dir = tempfile::tempdir().unwrap();
    let mut voter = Voter::start(DiskStore::open(dir.path(), OWNER).unwrap());
    let mut snapshots = 0;
    for id in 0..ENTRIES {
        voter.run(Event::Propose {
            id,
            payload: vec![b'x'; ENTRY_BYTES].into(),
        });
        voter.applied.clear();
        if std::mem::take(&mut voter.wanted) > 0 {
            snapshots += 1;
            voter.snapshot();
            let kept = voter.core.status().log_bytes;
            assert!(kept <= kept_bytes, "{kept} bytes kept after {id} entries");
        }
        let in_memory = voter.core.status().log_bytes;
        assert!(
            in_memory <= MAX_BYTES_IN_MEMORY,
            "{in_memory} bytes after {id} entries"
        );
        let files = fs::read_dir(dir.path()).unwrap();
        let bytes: u64 = files
            .map(|file| file.unwrap().metadata().unwrap().len())
            .sum();
        assert!(bytes <= MAX_BYTES, "{bytes} bytes after {id} entries");
    }
    assert_eq!(voter.rejected, []);
    assert!(snapshots <= ENTRIES / 10, "{snapshots} snapshots");
}

/// Guards against a disk that was full for a moment and has no room for a second log: each write since
/// would fail, to the end. A folder in the place of the new file takes that room.
#[test]
fn after_a_full_disk_the_log_goes_on_without_room_for_a_second_one() {
    for bytes in [0, 1, HEADER_BYTES, 30, 10_000] {
        let (dir, _) = dir_with_entries();
        let mut disk = DiskStore::open(dir.path(), OWNER).unwrap();
        fs::create_dir(dir.path().join("unfinished")).unwrap();
        disk.fail_next(InjectedFailure::Write { after: bytes });
        assert!(disk.append(&[entry(10)]).is_err());
        let again = disk.append(&[entry(10), entry(11)]);
        assert!(again.is_ok(), "after {bytes} bytes: {again:?}");
        let recovered = disk.recovered();
        drop(disk);
        let reopened = DiskStore::open(dir.path(), OWNER).unwrap();
        assert_eq!(reopened.recovered(), recovered, "after {bytes} bytes");
        assert_eq!(recovered.last(), 11);
    }
}

/// Guards against a log that goes on after a failed sync: which of its bytes the disk has is unknown, and a
/// later sync may succeed without them.
#[test]
fn after_a_failed_sync_the_log_is_written_anew() {
    let (dir, log) = dir_with_entries();
    let mut disk = DiskStore::open(dir.path(), OWNER).unwrap();
    disk.fail_next(InjectedFailure::Sync);
    assert!(disk.append(&[entry(10)]).is_err());
    disk.append(&[entry(10), entry(11)]).unwrap();
    let recovered = disk.recovered();
    drop(disk);
    assert!(!log.exists(), "the log whose sync failed is still in use");
    let reopened = DiskStore::open(dir.path(), OWNER).unwrap();
    assert_eq!(reopened.recovered(), recovered);
    assert_eq!(recovered.last(), 11);
}

/// A folder with the next log's name keeps the new file from getting it.
#[test]
fn a_log_that_cannot_be_written_anew_leaves_no_unfinished_file() {
    let (dir, log) = dir_with_entries();
    let next = log
        .to_string_lossy()
        .replace("log-0000000000000001", "log-0000000000000002");
    let mut disk = DiskStore::open(dir.path(), OWNER).unwrap();
    fs::create_dir_all(Path::new(&next).join("full")).unwrap();
    assert!(disk.append(&[snapshot(9)]).is_err());
    assert!(!dir.path().join("unfinished").exists());
    fs::remove_dir_all(&next).unwrap();
    disk.append(&[snapshot(9)]).unwrap();
}

/// Modifies the content of a log file, given the offsets of its frames.
type Corruption = fn(&mut Vec<u8>, &[usize]);

/// Description, modification, and the expected last index or part of the error message.
const CORRUPTIONS: [(&str, Corruption, Result<Index, &str>); 9] = [
    ("unchanged", |_, _| {}, Ok(9)),
    (
        "last byte missing",
        |bytes, _| bytes.truncate(bytes.len() - 1),
        Ok(8),
    ),
    (
        "only the magic of the last frame",
        |bytes, at| bytes.truncate(at[9] + 4),
        Ok(8),
    ),
    (
        "last frame zeroed",
        |bytes, at| bytes[at[9]..].fill(0),
        Ok(8),
    ),
    (
        "byte flipped in the last frame",
        |bytes, at| bytes[at[9] + HEADER_BYTES + 2] ^= 1,
        Ok(8),
    ),
    (
        "garbage after the last frame",
        |bytes, _| bytes.extend([7; 99]),
        Ok(9),
    ),
    (
        "byte flipped in the fifth frame",
        |bytes, at| bytes[at[5] + HEADER_BYTES] ^= 1,
        Err("at byte"),
    ),
    (
        "length field changed",
        |bytes, at| bytes[at[5] + 4] ^= 0xff,
        Err("at byte"),
    ),
    (
        "byte flipped in the base",
        |bytes, _| bytes[HEADER_BYTES] ^= 1,
        Err("at byte 0"),
    ),
];

#[test]
fn torn_tail_is_truncated_and_other_corruption_is_rejected() {
    for (case, corrupt, result) in CORRUPTIONS {
        let (dir, log) = dir_with_entries();
        let mut bytes = fs::read(&log).unwrap();
        let frames: Vec<usize> = scan(&bytes)
            .blocks
            .iter()
            .map(|(at, _)| usize::try_from(*at).unwrap())
            .collect();
        corrupt(&mut bytes, &frames);
        fs::write(&log, &bytes).unwrap();
        match (DiskStore::open(dir.path(), OWNER), result) {
            (Ok(mut disk), Ok(last)) => {
                assert_eq!(disk.recovered().last(), last, "{case}");
                disk.append(&[entry(last + 1)]).unwrap();
                drop(disk);
                let disk = DiskStore::open(dir.path(), OWNER).unwrap();
                assert_eq!(disk.recovered().last(), last + 1, "{case}");
            }
            (Err(error), Err(part)) => {
                let text = error.to_string();
                let named = text.contains(&log.display().to_string()) && text.contains(part);
                assert!(named && text.contains("To rejoin"), "{case}: {text}");
            }
            (opened, _) => panic!("{case}: {opened:?}"),
        }
    }
}

/// A crash at any byte of an unfinished write must not lose synced entries.
#[test]
fn crash_at_any_byte_of_a_write_keeps_synced_entries() {
    let (dir, log) = dir_with_entries();
    let original = fs::read(&log).unwrap();
    let frames = scan(&original).blocks;
    let from = usize::try_from(frames[9].0).unwrap();
    for length in from..=original.len() {
        fs::write(&log, &original[..length]).unwrap();
        let last = DiskStore::open(dir.path(), OWNER)
            .unwrap()
            .recovered()
            .last();
        assert_eq!(last, if length == original.len() { 9 } else { 8 });
    }
}

#[test]
fn snapshot_replaces_log_and_obsolete_files_are_removed() {
    let (dir, _) = dir_with_entries();
    let mut disk = DiskStore::open(dir.path(), OWNER).unwrap();
    disk.append(&[snapshot(4), entry(10)]).unwrap();
    disk.append(&[snapshot(6)]).unwrap();
    fs::write(dir.path().join("unfinished"), "half a file").unwrap();
    let recovered = disk.recovered();
    drop(disk);
    let disk = DiskStore::open(dir.path(), OWNER).unwrap();
    assert_eq!(disk.recovered(), recovered);
    assert_eq!(recovered.entries.first().map(|entry| entry.index), Some(7));
    assert_eq!(recovered.last(), 10);
    assert_eq!(
        fs::read_dir(dir.path()).unwrap().count(),
        3,
        "expected log, snapshot and lock files"
    );
    drop(disk);
    fs::write(find_file(dir.path(), "snapshot-"), "stale").unwrap();
    let text = DiskStore::open(dir.path(), OWNER).unwrap_err().to_string();
    assert!(
        text.contains("snapshot-") && text.contains("To rejoin"),
        "{text}"
    );
    fs::remove_file(find_file(dir.path(), "log-")).unwrap();
    let text = DiskStore::open(dir.path(), OWNER).unwrap_err().to_string();
    assert!(
        text.contains("found a snapshot file but no log file"),
        "{text}"
    );
}

#[test]
fn directory_rejects_second_process_and_other_members() {
    let (dir, _) = dir_with_entries();
    let disk = DiskStore::open(dir.path(), OWNER).unwrap();
    let text = DiskStore::open(dir.path(), OWNER).unwrap_err().to_string();
    assert!(text.contains("in use by another process"), "{text}");
    drop(disk);
    let others = [
        ExpectedIdentity { member: 2, ..OWNER },
        ExpectedIdentity {
            cluster: 8,
            ..OWNER
        },
        ExpectedIdentity { group: 1, ..OWNER },
    ];
    for other in others {
        let text = DiskStore::open(dir.path(), other).unwrap_err().to_string();
        assert!(
            text.contains("belongs to member 1 of cluster 7 group 0"),
            "{text}"
        );
    }
    let later = ExpectedIdentity {
        incarnation: 99,
        ..OWNER
    };
    let found = DiskStore::open(dir.path(), later)
        .unwrap()
        .recovered()
        .identity;
    assert_eq!(
        found.peer.incarnation, OWNER.incarnation,
        "only an empty directory takes a new incarnation"
    );
    fs::remove_dir_all(dir.path()).unwrap();
    let fresh = DiskStore::open(dir.path(), later).unwrap().recovered();
    assert_eq!((fresh.identity.peer.incarnation, fresh.last()), (99, 0));
}

/// A frame with an arbitrary length field, as a foreign program might leave it.
fn frame_with_length(length: u32, rest: &[u8]) -> Vec<u8> {
    let mut bytes = b"cqf1".to_vec();
    bytes.extend(length.to_le_bytes());
    bytes.extend(rest);
    bytes
}

/// A frame with a valid checksum whose payload is arbitrary.
fn frame_with_valid_checksum(payload: &[u8]) -> Vec<u8> {
    let mut body = 0_u64.to_le_bytes().to_vec();
    body.extend(payload);
    let mut bytes = b"cqf1".to_vec();
    bytes.extend(u32::try_from(payload.len()).unwrap().to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn scanning_arbitrary_bytes_neither_panics_nor_exceeds_their_length(
        bytes in proptest::collection::vec(any::<u8>(), 0..2000),
        length in prop_oneof![any::<u32>(), 0..3000_u32, Just(u32::try_from(MAX_PAYLOAD_BYTES).unwrap())],
    ) {
        for bytes in [bytes.clone(), frame_with_length(length, &bytes), frame_with_valid_checksum(&bytes)] {
            let scan = scan(&bytes);
            prop_assert!(scan.end <= bytes.len() as u64);
            let total: usize = scan.blocks.iter().map(|(_, block)| size(block)).sum();
            prop_assert!(total <= bytes.len());
        }
    }

    #[test]
    fn any_flipped_byte_is_truncated_or_rejected(at in any::<prop::sample::Index>(), flip in 1..=255_u8) {
        let (dir, log) = dir_with_entries();
        let mut bytes = fs::read(&log).unwrap();
        let original = scan(&bytes).blocks;
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        let mut file = OpenOptions::new().write(true).truncate(true).open(&log).unwrap();
        file.write_all(&bytes).unwrap();
        let in_last_frame = original.last().is_some_and(|(start, _)| at as u64 >= *start);
        match DiskStore::open(dir.path(), OWNER) {
            Ok(disk) => prop_assert!(in_last_frame && disk.recovered().last() == 8),
            Err(error) => prop_assert!(!in_last_frame, "{}", error),
        }
    }
}

/// Total payload bytes in a block.
fn size(block: &Block) -> usize {
    let Block::Records(records) = block else {
        return 0;
    };
    let size = |record: &Record| match record {
        Record::Entry(Entry {
            payload: Payload::Data(data),
            ..
        }) => data.len(),
        Record::Snapshot(snapshot) => snapshot.data.len(),
        _ => 0,
    };
    records.iter().map(size).sum()
}
