//! Streams that broke off, for which the next upstream gives a wrong answer. Callers get only whole events in order, no
//! byte of an error, and no response that is framed as complete before all events came.

use std::{ops::RangeInclusive, sync::PoisonError};

use bluebell_standins::site::{Fault, REQUEST_ID, RawAnswer, RawEnd, SharedFaults};
use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{
    caller::{Answer, Ask, Caller},
    site::{EVENT_COUNT, Site},
};

/// Marks the texts of errors.
const ERROR_TEXT: &str = "out of order";
/// Numbers of events after which the first upstream breaks off.
const BREAKS: [u64; 3] = [0, 1, 3];

/// How the first upstream breaks off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Break {
    ChunkedInEvent,
    UnframedInEvent,
    UnframedBetweenEvents,
    Reset,
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: raw {id}\n\n")
}

fn events(ids: RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

fn head(status: u16, headers: &str) -> String {
    format!("HTTP/1.1 {status} x\r\nrequest-id: {REQUEST_ID}\r\nresponse-stamp: stand-in.1\r\n{headers}\r\n")
}

fn stream_head(headers: &str) -> String {
    head(200, &format!("content-type: text/event-stream\r\n{headers}"))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn chunked(body: &str) -> String {
    format!("{}{}0\r\n\r\n", stream_head("transfer-encoding: chunked\r\n"), chunk(body))
}

fn unframed(body: &str) -> String {
    format!("{}{body}", stream_head("connection: close\r\n"))
}

fn with_length(length: usize, body: &str) -> String {
    format!("{}{body}", stream_head(&format!("content-length: {length}\r\n")))
}

fn error_answer(status: u16, headers: &str) -> String {
    let body = format!("{ERROR_TEXT}\n\n");
    format!("{}{body}", head(status, &format!("content-length: {}\r\n{headers}", body.len())))
}

fn broken_answer(how: Break, after: u64) -> RawAnswer {
    let whole = events(1..=after);
    let next = event(after + 1);
    let partial = format!("{whole}{}", &next[..next.len() / 2]);
    let chunked_head = stream_head("transfer-encoding: chunked\r\n");
    let (text, end) = match how {
        Break::ChunkedInEvent => (format!("{chunked_head}{}", chunk(&partial)), RawEnd::Closed),
        Break::UnframedInEvent => (unframed(&partial), RawEnd::Closed),
        Break::UnframedBetweenEvents => (unframed(&whole), RawEnd::Closed),
        Break::Reset => (unframed(&whole), RawEnd::Reset),
    };
    RawAnswer { text, end }
}

/// Wrong or unusual answers of the next upstream, by name. The flag tells whether the stream becomes complete: the
/// upstream after it is sound.
fn next_answers(after: u64) -> Vec<(&'static str, bool, RawAnswer)> {
    let rest = events(after + 1..=EVENT_COUNT);
    let error_head =
        format!("HTTP/1.1 500 x\r\ncontent-type: text/plain\r\ncontent-length: 12\r\n\r\n{ERROR_TEXT}\n\n");
    let next = event(after + 1);
    let torn = &next[..next.len() / 2];
    let unstamped = |status: u16, body: &str| {
        format!("HTTP/1.1 {status} x\r\nrequest-id: {REQUEST_ID}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
    };
    let json = format!("{{\"error\": \"{ERROR_TEXT}\"}}");
    let json_head = head(200, &format!("content-type: application/json\r\ncontent-length: {}\r\n", json.len()));
    let (open, closed) = (RawEnd::Open, RawEnd::Closed);
    let answers = [
        ("500", true, error_answer(500, ""), open),
        ("502", true, error_answer(502, ""), open),
        ("503", true, error_answer(503, ""), open),
        ("503 not run", true, error_answer(503, "not-executed: 1\r\n"), open),
        ("400", false, error_answer(400, ""), open),
        ("404", false, error_answer(404, ""), open),
        ("413", false, error_answer(413, ""), open),
        ("421", true, error_answer(421, ""), open),
        ("500 that breaks off", true, head(500, "content-length: 99\r\n") + ERROR_TEXT, closed),
        ("500 without signature", true, unstamped(500, ERROR_TEXT), closed),
        ("bytes that are no answer", true, ERROR_TEXT.to_owned(), closed),
        ("json", true, json_head + &json, open),
        ("json between empty lines", true, unframed(&format!("\n\n{json}\n\n")), closed),
        ("empty, with a length", true, with_length(0, ""), open),
        ("empty, in chunks", true, stream_head("transfer-encoding: chunked\r\n") + "0\r\n\r\n", open),
        ("empty, unframed", true, unframed(""), closed),
        ("no content", true, head(204, ""), open),
        ("a comment alone", true, unframed(": nothing\n\n"), closed),
        ("begins again", true, chunked(&events(1..=EVENT_COUNT)), open),
        ("no signature", true, unstamped(200, &rest), closed),
        ("other ids", true, chunked(&events(after + 5..=EVENT_COUNT + 5)), open),
        ("unframed", true, unframed(&rest), closed),
        ("head between events", true, unframed(&format!("{next}{error_head}{rest}")), closed),
        ("head in an event", true, unframed(&format!("{torn}{error_head}{rest}")), closed),
        ("head before the end of an event", true, unframed(&format!("{}{error_head}", next.trim_end())), closed),
        ("head after an event's last line", true, unframed(&format!("{}\n{error_head}", next.trim_end())), closed),
        ("text in chunks after an event", true, chunked(&format!("{next}{ERROR_TEXT}\n\n")), open),
        ("error event without id", true, chunked(&format!("{next}event: error\ndata: {ERROR_TEXT}\n\n")), open),
        ("length too short", true, with_length(rest.len() - 5, &rest), closed),
        // All events come, but no attempt is left that could confirm the end.
        ("length too long", false, with_length(rest.len() + 5, &rest), closed),
        ("interim head first", true, format!("HTTP/1.1 103 x\r\n\r\n{}", chunked(&rest)), open),
    ];
    answers.into_iter().map(|(name, heals, text, end)| (name, heals, RawAnswer { text, end })).collect()
}

/// Whether a caller got whole events, numbered from 1, and nothing else. Returns their number.
fn count_events(body: &str) -> Result<u64, String> {
    let mut count = 0;
    for block in body.split_inclusive("\n\n").filter(|block| !block.trim().is_empty() && !block.starts_with(':')) {
        count += 1;
        let data = block.strip_prefix(&format!("id: {count}\ndata: ")).unwrap_or_default();
        if !data.ends_with(&format!(" {count}\n\n")) || data.lines().count() != 2 {
            return Err(format!("event {count} is wrong in {body:?}"));
        }
    }
    if body.contains(ERROR_TEXT) || body.contains("HTTP/1.") { Err(format!("error in {body:?}")) } else { Ok(count) }
}

fn check_answer(answer: Option<Answer>, heals: bool) -> Result<(), String> {
    let Some(answer) = answer.filter(|answer| heals || answer.complete || !answer.body.is_empty()) else {
        return if heals { Err("no answer".to_owned()) } else { Ok(()) };
    };
    let count = count_events(&answer.body)?;
    let expected = (200, heals);
    if (answer.status, answer.complete) == expected && (!answer.complete || count == EVENT_COUNT) {
        return Ok(());
    }
    Err(format!("status {}, complete {} after {count} events", answer.status, answer.complete))
}

/// Starts a site whose engines share a queue of faults.
async fn start_site() -> (Site, SharedFaults) {
    let (site, faults) = (Site::start(1).await, SharedFaults::default());
    site.chat.iter().for_each(|engine| engine.share_faults(&faults));
    (site, faults)
}

fn set_faults(queue: &SharedFaults, answers: impl IntoIterator<Item = RawAnswer>) {
    *queue.lock().unwrap_or_else(PoisonError::into_inner) = answers.into_iter().map(Fault::Raw).collect();
}

fn stream_request(id: &str) -> Ask {
    Ask::new("/talk/1", id).header("model", "middle").header("token-count", "10,5").body(id)
}

/// Two sound answers, which leave room in the retry budget for the next case.
async fn check_sound_answers(site: &Site, context: &str) {
    let asks = (0..2).map(|number| stream_request(&format!("{context}-sound-{number}")));
    for answer in join_all(asks.map(|ask| async move { site.gateways[0].ask(&ask).await })).await {
        assert_eq!((answer.complete, count_events(&answer.body)), (true, Ok(EVENT_COUNT)), "{context}");
    }
}

/// Asks for streams that break off, once for each next answer; returns what was wrong.
async fn try_all_answers(how: Break, after: u64) -> Vec<String> {
    let (site, faults) = start_site().await;
    let address = site.gateways[0].caller_address;
    let mut failures = Vec::new();
    for (name, heals, next) in next_answers(after) {
        for closes in [false, true] {
            let context = format!("{how:?}-{after}-{}-{closes}", name.replace([' ', ',', '\''], "-"));
            set_faults(&faults, []);
            check_sound_answers(&site, &context).await;
            set_faults(&faults, [broken_answer(how, after), next.clone()]);
            let mut ask = stream_request(&context);
            if closes {
                ask = ask.header("connection", "close");
            }
            let mut caller = Caller::connect(address).await.expect("the connection should be accepted");
            let checked = check_answer(caller.ask(&ask).await, heals);
            failures.extend(checked.err().map(|failure| format!("{context}: {failure}")));
        }
    }
    failures
}

async fn check_all_answers(how: Break, breaks: &[u64]) {
    let tried = join_all(breaks.iter().map(|after| try_all_answers(how, *after))).await;
    let failures = tried.concat();
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}

#[tokio::test]
async fn wrong_answers_after_a_chunked_stream_broke_off_do_not_reach_the_caller() {
    check_all_answers(Break::ChunkedInEvent, &BREAKS).await;
}

#[tokio::test]
async fn wrong_answers_after_an_unframed_stream_broke_off_do_not_reach_the_caller() {
    check_all_answers(Break::UnframedInEvent, &BREAKS).await;
}

#[tokio::test]
async fn wrong_answers_after_a_reset_do_not_reach_the_caller() {
    check_all_answers(Break::Reset, &BREAKS).await;
}

#[tokio::test]
async fn wrong_answers_after_an_unframed_stream_without_events_do_not_reach_the_caller() {
    check_all_answers(Break::UnframedBetweenEvents, &[0]).await;
}

// Nothing in such an answer tells its end from a break.
#[tokio::test]
async fn unframed_stream_that_ends_between_events_is_forwarded_as_it_is() {
    let (site, faults) = start_site().await;
    for after in [1, 3, EVENT_COUNT] {
        set_faults(&faults, [broken_answer(Break::UnframedBetweenEvents, after)]);
        let answer = site.gateways[0].ask(&stream_request(&format!("r-{after}"))).await;
        assert_eq!((answer.status, answer.complete, count_events(&answer.body)), (200, true, Ok(after)));
        assert_eq!(site.runs(&format!("r-{after}")).len(), 1);
    }
}

// The stand-in answers with no event after the last one.
#[tokio::test]
async fn stream_of_which_only_the_end_was_lost_is_completed() {
    let (site, faults) = start_site().await;
    for round in 0..4 {
        set_faults(&faults, [broken_answer(Break::Reset, EVENT_COUNT)]);
        let answer = site.gateways[0].ask(&stream_request(&format!("r-{round}"))).await;
        assert_eq!((answer.status, answer.complete, count_events(&answer.body)), (200, true, Ok(EVENT_COUNT)));
    }
}

#[tokio::test]
async fn stream_that_the_caller_resumes_after_its_last_event_is_complete() {
    let (site, _) = start_site().await;
    let ask = stream_request("r-1").header("last-event-id", &EVENT_COUNT.to_string());
    let answer = site.gateways[0].ask(&ask).await;
    assert_eq!((answer.status, answer.complete, answer.body.as_str()), (200, true, ""));
    assert_eq!(site.runs("r-1").len(), 1);
}

// A body for such a caller has no framing: only a reset tells it from a complete one.
#[tokio::test]
async fn broken_stream_does_not_look_complete_to_an_http_1_0_caller() {
    let (site, faults) = start_site().await;
    for after in BREAKS {
        let refusal = RawAnswer { text: error_answer(400, ""), end: RawEnd::Open };
        set_faults(&faults, [broken_answer(Break::ChunkedInEvent, after), refusal]);
        let mut socket = TcpStream::connect(site.gateways[0].caller_address).await.expect("a connection");
        let request = format!(
            "POST /talk/1 HTTP/1.0\r\nhost: site.example\r\nrequest-id: r-{after}\r\ndeadline-ms: 8000\r\n\
             authorization: Bearer key-1\r\nmodel: middle\r\ntoken-count: 10,5\r\ncontent-length: 3\r\n\r\nask"
        );
        socket.write_all(request.as_bytes()).await.expect("the request should be accepted");
        let mut answer = Vec::new();
        let end = socket.read_to_end(&mut answer).await;
        let answer = String::from_utf8(answer).expect("the answer should be text");
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let is_framed = answer.to_lowercase().contains("transfer-encoding: chunked");
        assert!(!body.contains(ERROR_TEXT), "{answer:?}");
        let looks_whole = end.is_ok() && !answer.is_empty() && (!is_framed || body.ends_with("0\r\n\r\n"));
        assert!(!looks_whole, "after {after} events: {answer:?}");
    }
}
