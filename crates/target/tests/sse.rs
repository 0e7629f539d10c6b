//! Splitting a byte stream into events does not depend on how the bytes arrive, and loses or changes
//! none of them.

use cornelhitch_target::sse::{Event, EventSplitter};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Splits pieces of a stream into events; returns them and the number of remaining bytes.
fn split(pieces: &[&[u8]]) -> (Vec<Vec<u8>>, usize) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            events.push(event.to_vec());
        }
    }
    (events, splitter.buffered_len())
}

/// Returns a configuration with a fixed seed, so that each run has the same cases.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn events_do_not_depend_on_the_piece_size(
        stream in "([a-c:]{0,3}(\r\n|\n)){0,24}[a-c]{0,3}",
        step in 1_usize..9,
    ) {
        let bytes = stream.as_bytes();
        let pieces: Vec<_> = bytes.chunks(step).collect();
        let (events, rest) = split(&pieces);
        prop_assert_eq!(&split(&[bytes]), &(events.clone(), rest));

        let mut whole = events.concat();
        whole.extend_from_slice(&bytes[bytes.len() - rest..]);
        prop_assert_eq!(whole, bytes);
        for event in events {
            let text = String::from_utf8(event).expect("UTF-8");
            let lines: Vec<_> = text.lines().collect();
            let empty = lines.iter().position(|line| line.is_empty());
            prop_assert_eq!(empty, Some(lines.len() - 1));
        }
    }
}

#[test]
fn event_ids_are_parsed_from_the_right() {
    // The id, and the request, `from` and `to` that it holds; `None` if it is invalid.
    let rows = [
        ("r-1/0/2", Some(("r-1", 0, 2))),
        ("a/b/c/3/3", Some(("a/b/c", 3, 3))),
        ("r-1/3/2", None),
        ("r-1/2", None),
        ("r-1/-1/2", None),
        ("r-1/0/18446744073709551616", None),
        ("", None),
    ];
    for (id, expected) in rows {
        let text = format!("id: {id}\ndata: x\n\n");
        let event = Event::parse(text.as_bytes()).expect("UTF-8");
        let position = event.position().map(|p| (p.request, p.start, p.end));
        assert_eq!(position, expected, "{id}");
    }
}
