//! Measures how many events per second one thread splits off a stream and parses.
//!
//! `cargo run --release -p cornelhitch-target --example events` prints a row for
//! each size of the pieces in which the bytes arrive.

use std::hint::black_box;
use std::time::Instant;

use cornelhitch_target::sse::{Event, EventSplitter};

/// Number of events in a run.
const EVENTS: u64 = 200_000;

/// Number of runs for each size, of which the fastest counts.
const RUNS: usize = 5;

/// Sizes of the pieces, in bytes.
const SIZES: [usize; 4] = [64, 256, 1_500, 16_384];

fn main() {
    let bytes = stream();
    println!("{EVENTS} events, {} bytes", bytes.len());
    println!("piece_bytes  events_per_s  ns_per_event");
    for size in SIZES {
        let fastest = (0..RUNS)
            .map(|_| run(&bytes, size))
            .fold(f64::MAX, f64::min);
        let per_event = fastest / f64::from(u32::try_from(EVENTS).unwrap_or(u32::MAX));
        println!(
            "{size:>11}  {:>12.0}  {:>12.0}",
            1.0 / per_event,
            per_event * 1e9
        );
    }
}

/// Returns a stream of [`EVENTS`] events of one token each.
fn stream() -> Vec<u8> {
    let events = (0..EVENTS).map(|at| {
        let next = at + 1;
        format!(
            "id: 1-1796341994003478-1-1/{at}/{next}\ndata: {{\"choices\":[{{\"delta\":\
             {{\"content\":\" 6c510b67\"}},\"finish_reason\":null,\"index\":0}}],\"id\":\
             \"r\",\"model\":\"report@3\",\"object\":\"chat.completion.chunk\"}}\n\n"
        )
    });
    events.collect::<String>().into_bytes()
}

/// Returns the duration of one run in seconds.
fn run(bytes: &[u8], size: usize) -> f64 {
    let start = Instant::now();
    let mut splitter = EventSplitter::default();
    let mut tokens = 0;
    for piece in bytes.chunks(size) {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            let position = Event::parse(&event).and_then(|event| event.position());
            tokens += position.map_or(0, |position| position.end - position.start);
            black_box(&event);
        }
    }
    assert_eq!(tokens, EVENTS, "every event is counted");
    start.elapsed().as_secs_f64()
}
