//! Error texts and HTTP heads in the middle of a stream never reach the caller as part of an event.

use bluebell_core::events::EventSplitter;
use proptest::{collection::vec, prelude::*, sample::Index};

const STREAM_EVENTS: u64 = 6;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn events(first: u64) -> String {
    (first..=STREAM_EVENTS).map(event).collect()
}

/// Pushes bytes in pieces cut at the given places, up to the first error; returns what was let through.
fn push_all(splitter: &mut EventSplitter, bytes: &[u8], cuts: &[Index]) -> Vec<u8> {
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).chain([bytes.len()]).collect();
    ends.sort_unstable();
    let (mut start, mut out) = (0, Vec::new());
    for end in ends {
        let Ok(batch) = splitter.push(&bytes[start..end]) else { break };
        out.extend(batch.bytes);
        start = end;
        if splitter.fault().is_some() {
            break;
        }
    }
    out
}

/// Whether the bytes are whole events of the stream, from the first one on.
fn is_prefix(out: &[u8]) -> bool {
    (0..=STREAM_EVENTS).any(|count| (1..=count).map(event).collect::<String>().as_bytes() == out)
}

fn error_text() -> impl Strategy<Value = String> {
    let line_end = prop_oneof![Just("\n"), Just("\r\n")];
    let text = "[a-zA-Z<{\"][a-zA-Z0-9 <>{}\",.-]{0,40}";
    (text, line_end, 0..3_usize).prop_map(|(text, end, count)| text + &end.repeat(count))
}

fn error_head() -> impl Strategy<Value = String> {
    let status = prop_oneof![Just(200_u16), 400..600_u16];
    let names = prop_oneof![Just("content-length"), Just("Content-Type"), Just("request-id"), Just("Connection")];
    let headers = vec((names, "[a-z0-9/-]{1,12}"), 1..5);
    (0..2_u8, status, "[A-Za-z ]{0,12}", headers, error_text()).prop_map(|(minor, status, reason, headers, text)| {
        let headers: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        format!("HTTP/1.{minor} {status} {reason}\r\n{headers}\r\n{text}")
    })
}

proptest! {
    #[test]
    fn error_text_between_events_is_not_let_through(
        after in 0..STREAM_EVENTS, text in error_text(), cuts in vec(any::<Index>(), 0..6),
    ) {
        let whole: String = (1..=after).map(event).collect();
        let bytes = format!("{whole}{text}\n\n{}", events(after + 1));
        let out = push_all(&mut EventSplitter::after(0), bytes.as_bytes(), &cuts);
        prop_assert_eq!(String::from_utf8(out).expect("text"), whole);
    }

    #[test]
    fn head_at_any_byte_of_a_stream_is_not_let_through(
        at in any::<Index>(), head in error_head(), goes_on in any::<bool>(), cuts in vec(any::<Index>(), 0..6),
    ) {
        let stream = events(1);
        let at = at.index(stream.len());
        let rest = if goes_on { &stream[at..] } else { "" };
        let bytes = format!("{}{head}{rest}", &stream[..at]);
        let out = push_all(&mut EventSplitter::after(0), bytes.as_bytes(), &cuts);
        prop_assert!(is_prefix(&out), "{:?}", String::from_utf8_lossy(&out));
    }

    #[test]
    fn resumed_stream_does_not_join_the_text_of_two_upstreams(
        cut in any::<Index>(), error in prop_oneof![error_text(), error_head()], cuts in vec(any::<Index>(), 0..6),
    ) {
        let stream = events(1);
        let mut splitter = EventSplitter::after(0);
        let mut out = push_all(&mut splitter, &stream.as_bytes()[..cut.index(stream.len())], &cuts);
        splitter.reset();
        out.extend(push_all(&mut splitter, error.as_bytes(), &cuts));
        prop_assert!(is_prefix(&out), "{:?}", String::from_utf8_lossy(&out));
        splitter.reset();
        let rest = events(splitter.last() + 1);
        out.extend(push_all(&mut splitter, rest.as_bytes(), &cuts));
        prop_assert_eq!(String::from_utf8(out).expect("text"), stream);
    }
}

#[test]
fn texts_about_http_are_let_through_within_events() {
    for data in [
        "data: HTTP/1.1 200 OK",
        "data: HTTP/1.1 404 Not Found\ndata: content-length: 6",
        "data: the status line is HTTP/1.1 500 x\r\ndata:",
        "event: HTTP/1.1 500 x\r\ndata: a",
        "weights: 7\nevent: HTTP/1.0 200 x",
    ] {
        let block = format!("id: 1\n{data}\n\n");
        let batch = EventSplitter::after(0).push(block.as_bytes()).expect("an event");
        assert_eq!((batch.bytes, batch.count), (block.into_bytes(), 1));
    }
}
