//! Fuzz tests of the event stream parser and the settings parser: arbitrary input is parsed or rejected with a typed
//! error, without a panic, and the event parser outputs no bytes that were not in its input.

use bluebell_core::{
    events::{EventError, EventSplitter},
    settings::Branch,
};
use proptest::{collection::vec, prelude::*};

const SETTINGS: &str = include_str!("../../../sample_configs/settings/valid/two_crews.yaml");

/// Piece of a stream: a valid event with an arbitrary id, an event without data or id, or bytes that are no event.
fn piece() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        6 => (1u64..12).prop_map(|id| format!("id: {id}\ndata: piece {id}\n\n").into_bytes()),
        1 => (1u64..12).prop_map(|id| format!("data: first\r\nid:{id}\r\n\r\n").into_bytes()),
        1 => any::<u64>().prop_map(|id| format!("id: {id}\n\n").into_bytes()),
        1 => Just(b": a comment\n\n".to_vec()),
        1 => Just(b"data: no id\n\n".to_vec()),
        1 => Just(b"\n".to_vec()),
        1 => vec(any::<u8>(), 0..40),
    ]
}

/// Feeds the pieces to the parser; returns the output, the last event id and the error at which parsing stopped.
fn read_stream(pieces: &[Vec<u8>]) -> (Vec<u8>, u64, Option<EventError>) {
    let mut splitter = EventSplitter::after(0);
    let mut out = Vec::new();
    for piece in pieces {
        match splitter.push(piece) {
            Ok(batch) => out.extend(batch.bytes),
            Err(error) => return (out, splitter.last(), Some(error)),
        }
        if let Some(error) = splitter.fault() {
            return (out, splitter.last(), Some(error));
        }
    }
    (out, splitter.last(), None)
}

/// Event ids in the output.
fn ids(out: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(out);
    text.lines().filter_map(|line| line.strip_prefix("id:")?.trim().parse().ok()).collect()
}

proptest! {
    #[test]
    fn output_does_not_depend_on_chunk_boundaries(
        pieces in vec(piece(), 0..24),
        lengths in vec(1usize..50, 1..80),
    ) {
        let stream = pieces.concat();
        let mut rest = stream.as_slice();
        let mut chunks = Vec::new();
        for length in lengths.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, tail) = rest.split_at((*length).min(rest.len()));
            chunks.push(chunk.to_vec());
            rest = tail;
        }
        prop_assert_eq!(read_stream(&chunks), read_stream(&[stream]));
    }

    #[test]
    fn events_come_out_once_each_in_order_and_as_they_came(pieces in vec(piece(), 0..40)) {
        let (out, last, _) = read_stream(&pieces);
        prop_assert!(pieces.concat().starts_with(&out));
        prop_assert!(out.is_empty() || out.ends_with(b"\n"));
        prop_assert_eq!(ids(&out), (1..=last).collect::<Vec<_>>());
    }

    #[test]
    fn streams_that_go_on_after_any_event_are_read_or_refused(
        last in prop_oneof![any::<u64>(), Just(u64::MAX)],
        pieces in vec(piece(), 0..8),
    ) {
        let mut splitter = EventSplitter::after(last);
        for piece in pieces {
            let before = splitter.last();
            let Ok(batch) = splitter.push(&piece) else { break };
            prop_assert_eq!(splitter.last(), before + batch.count);
        }
    }

    #[test]
    fn settings_of_any_text_are_read_or_refused(text in ".{0,400}") {
        let _ = Branch::file_from_yaml(&text);
    }

    #[test]
    fn settings_with_a_part_replaced_are_read_or_refused(
        at in 0..SETTINGS.len(),
        length in 0usize..40,
        replacement in ".{0,40}",
    ) {
        let mut text = SETTINGS.as_bytes().to_vec();
        text.splice(at..(at + length).min(SETTINGS.len()), replacement.into_bytes());
        let _ = Branch::file_from_yaml(&String::from_utf8_lossy(&text));
    }
}
