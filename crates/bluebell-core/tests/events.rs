//! Streams are forwarded only in complete events with consecutive ids.

use bluebell_core::events::{EventError, EventSplitter};

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: piece {id}\n\n").into_bytes()
}

#[test]
fn events_split_at_any_byte_are_reassembled() {
    let stream: Vec<u8> = (1..=4).flat_map(event).collect();
    for cut in 0..=stream.len() {
        let mut splitter = EventSplitter::after(0);
        let mut out = splitter.push(&stream[..cut]).expect("first part").bytes;
        assert!(out.is_empty() || out.ends_with(b"\n\n"), "incomplete event with a split at byte {cut}");
        out.extend(splitter.push(&stream[cut..]).expect("second part").bytes);
        assert_eq!(out, stream);
        assert!(splitter.is_whole());
        assert_eq!(splitter.last(), 4);
    }
}

#[test]
fn incomplete_event_is_discarded_before_a_resume() {
    let mut splitter = EventSplitter::after(0);
    let mut bytes = event(1);
    bytes.extend(&event(2)[..7]);
    let batch = splitter.push(&bytes).expect("events");
    assert_eq!((batch.bytes, batch.count), (event(1), 1));
    assert!(!splitter.is_whole());
    splitter.reset();
    assert_eq!(splitter.push(&event(2)).expect("resumed").bytes, event(2));
}

#[test]
fn gaps_repeats_and_missing_ids_are_rejected() {
    let mut splitter = EventSplitter::after(3);
    assert_eq!(splitter.push(&event(5)), Err(EventError::Gap { last: 3, found: 5 }));
    let mut splitter = EventSplitter::after(3);
    assert_eq!(splitter.push(&event(3)), Err(EventError::Gap { last: 3, found: 3 }));
    let mut splitter = EventSplitter::after(3);
    assert_eq!(splitter.push(b"data: x\n\n"), Err(EventError::NoId { last: 3 }));
}

#[test]
fn comments_are_forwarded_but_not_counted() {
    let mut splitter = EventSplitter::after(0);
    let batch = splitter.push(b": still here\n\nid: 1\r\ndata: x\r\n\r\n").expect("events");
    assert_eq!(batch.count, 1);
    assert_eq!(splitter.last(), 1);
}

#[test]
fn oversized_event_is_rejected() {
    let mut splitter = EventSplitter::after(0);
    assert_eq!(splitter.push(&vec![b'x'; 2 << 20]), Err(EventError::TooLong));
}

#[test]
fn too_many_bytes_without_events_are_rejected() {
    for filler in ["\n", ": nothing yet\n\n"] {
        let mut splitter = EventSplitter::after(0);
        let block = filler.repeat(1000);
        let pushed = (0..200).try_for_each(|_| splitter.push(block.as_bytes()).map(drop));
        assert!(matches!(pushed, Err(EventError::NoEvent { last: 0 })), "{filler:?}: {pushed:?}");
    }
    let mut splitter = EventSplitter::after(0);
    for id in 1..=100 {
        let pushed = splitter.push(format!("{}id: {id}\ndata: x\n\n", ": wait\n\n".repeat(100)).as_bytes());
        assert_eq!(pushed.map(|batch| batch.count), Ok(1));
    }
}

#[test]
fn valid_events_before_an_invalid_one_are_returned() {
    for bad in [event(6), b"data: no id\n\n".to_vec(), b"id: x\n\n".to_vec()] {
        let mut splitter = EventSplitter::after(3);
        let batch = splitter.push(&[event(4), bad].concat()).expect("event 4");
        assert_eq!((batch.bytes, batch.count, splitter.last()), (event(4), 1, 4));
        assert!(splitter.fault().is_some() && splitter.fault().is_none());
        splitter.reset();
        assert_eq!(splitter.push(&event(5)).expect("resumed").bytes, event(5));
    }
}
