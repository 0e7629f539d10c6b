//! What a process near its memory refuses, and whom it goes on serving.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use cornelhitch_node::process_memory::{ProcessMemory, Purpose};
use cornelhitch_node::shared_memory::{Reservation, SharedMemory};
use cornelhitch_settings::process::Serving;

/// What the process has allocated.
static HEAP: AtomicUsize = AtomicUsize::new(0);

/// Only one test has a heap at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// Size of a body.
const BODY_BYTES: usize = 1_000_000;
/// Size of the share that all bodies have without the bound on the process.
const BODIES_BYTES: usize = 1_000_000_000;

/// Uses of memory, from what is refused first.
const PURPOSES: [Purpose; 6] = [
    Purpose::Body,
    Purpose::Answer,
    Purpose::Request,
    Purpose::Message,
    Purpose::Connection,
    Purpose::Progress,
];

fn heap() -> usize {
    HEAP.load(Ordering::Relaxed)
}

fn memory() -> ProcessMemory {
    HEAP.store(0, Ordering::Relaxed);
    ProcessMemory::new(&Serving::default(), Some(heap))
}

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// Keeps bodies of one address until there is no room.
fn fill(bodies: &SharedMemory<IpAddr>, from: IpAddr) -> Vec<Reservation<IpAddr>> {
    let mut held = Vec::new();
    loop {
        let mut body = bodies.reservation(&from);
        if !body.resize(BODY_BYTES) {
            return held;
        }
        HEAP.fetch_add(BODY_BYTES, Ordering::Relaxed);
        held.push(body);
    }
}

/// Guards against a process that ends requests in progress while it still takes new bodies.
#[test]
fn what_has_not_begun_is_refused_first() {
    let _alone = ALONE.lock();
    let memory = memory();
    let mut refused = Vec::new();
    while refused.len() < PURPOSES.len() {
        HEAP.fetch_add(100_000, Ordering::Relaxed);
        let now = PURPOSES.into_iter().filter(|it| !memory.has_room(*it, 0));
        refused = now.collect();
        assert_eq!(refused[..], PURPOSES[..refused.len()]);
    }
}

/// Guards against a crowd of bodies that leaves no room for requests, or for the body of another address.
#[test]
fn bodies_of_a_crowd_leave_room_for_others() {
    let _alone = ALONE.lock();
    let memory = memory();
    let bodies = SharedMemory::new(BODIES_BYTES, 3).within(memory.room(Purpose::Body));
    let crowd: Vec<_> = (1..=4).map(|from| fill(&bodies, address(from))).collect();
    assert!(crowd.iter().flatten().count() > 100);
    assert!(memory.has_room(Purpose::Request, 0));
    assert!(bodies.reservation(&address(5)).resize(BODY_BYTES));
    assert!(!bodies.reservation(&address(1)).resize(BODY_BYTES));
}

/// Guards against the answer of a request that was admitted, and has run, which is refused for want of a few bytes.
#[test]
fn small_answers_have_room_as_long_as_requests_do() {
    let _alone = ALONE.lock();
    let memory = memory();
    let answers = SharedMemory::new(BODIES_BYTES, 3).within(memory.room(Purpose::Answer));
    let first = |bytes| {
        answers
            .reservation(&address(1))
            .small_up_to(8_192)
            .resize(bytes)
    };
    let mut held = answers.reservation(&address(1));
    assert!(held.resize(1));
    while memory.room(Purpose::Request).has_first(0) {
        assert!(first(8_192), "{} bytes are allocated", heap());
        HEAP.fetch_add(100_000, Ordering::Relaxed);
    }
    assert!(!first(8_193));
    HEAP.fetch_add(10 * BODY_BYTES, Ordering::Relaxed);
    assert!(!first(8_192));
}

/// Guards against a bound that holds where nothing counts allocations, as in a process that embeds the library.
#[test]
fn without_a_count_there_is_room() {
    let memory = ProcessMemory::new(&Serving::default(), None);
    assert!(
        PURPOSES
            .iter()
            .all(|it| memory.has_room(*it, BODIES_BYTES / 10))
    );
}

/// Guards against a bound on a process whose allocator doesn't count, as where the library is embedded.
#[test]
fn an_unknown_heap_is_not_bounded() {
    let serving = Serving {
        memory_mb: 1.0,
        ..Serving::default()
    };
    let memory = ProcessMemory::new(&serving, None);
    for purpose in PURPOSES {
        assert!(memory.has_room(purpose, BODY_BYTES), "{purpose:?}");
    }
}
