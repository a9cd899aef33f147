//! Upstreams that stop in the middle of their answer's head and close the connection.

use bluebell_standins::site::{Fault, REQUEST_ID, RawAnswer, RawEnd};

use super::{caller::Ask, site::Site};

/// Heads of answers, which end before their bodies.
fn heads() -> Vec<String> {
    let signed = format!("request-id: {REQUEST_ID}\r\nresponse-stamp: s\r\n");
    vec![
        format!("HTTP/1.1 200 OK\r\n{signed}content-length: 120\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\n{signed}transfer-encoding: chunked\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\n{signed}content-type: text/event-stream\r\n\r\n"),
        format!("HTTP/1.1 103 Early Hints\r\n{signed}\r\nHTTP/1.1 200 OK\r\n{signed}content-length: 9\r\n\r\n"),
        format!("HTTP/1.0 200 OK\n{signed}content-length: 12\n\n"),
    ]
}

#[tokio::test]
async fn answer_that_is_cut_in_its_head_is_no_success() {
    let site = Site::start(1).await;
    for (index, head) in heads().iter().enumerate() {
        // Cuts in the text that stands for the request's id would send a part of that text.
        let cuts = (0..head.len()).filter(|cut| head.is_char_boundary(*cut) && !cuts_id(head, *cut));
        // Requests that may be repeated take several attempts each, so fewer positions are tried.
        let kinds =
            [("/book/", "call", 1), ("/once/", "stream", 1), ("/look/", "repeated", 7), ("/talk/", "resumed", 7)];
        for (path, kind, step) in kinds {
            for cut in cuts.clone().step_by(step) {
                let end = if cut % 2 == 0 { RawEnd::Closed } else { RawEnd::Reset };
                let fault = Fault::Raw(RawAnswer { text: head[..cut].to_owned(), end });
                let upstreams = site.chat.iter().chain(&site.ledger);
                upstreams.for_each(|upstream| upstream.set_default_fault(Some(fault.clone())));
                let id = format!("{kind}-{index}-{cut}");
                let ask = Ask::new(&format!("{path}{cut}"), &id).header("model", "small");
                let answer = site.gateways[0].ask(&ask.header("token-count", "10,5")).await;
                assert!(!(200..300).contains(&answer.status), "{id}: {} for a cut head", answer.status);
                let is_unknown = [502, 504].contains(&answer.status);
                assert!(is_unknown || site.runs(&id).is_empty(), "{id}: {} though it ran", answer.status);
            }
        }
    }
}

fn cuts_id(head: &str, cut: usize) -> bool {
    head.match_indices(REQUEST_ID).any(|(start, text)| cut > start && cut < start + text.len())
}
