//! Messages between gateways of this version and of earlier ones, which lack the last fields of a status.

use std::time::Duration;

use bluebell_core::{replica::Origin, units::Rate, upstreams::UpstreamIncarnation};
use bluebell_wire::messages::{ExchangeMessage, GatewayStatus, ReadStatus, UpstreamLimit};

fn status() -> GatewayStatus {
    GatewayStatus {
        connected: true,
        loads: Vec::new(),
        tallies: Vec::new(),
        sessions: Vec::new(),
        rejected: vec![7],
        limits: Vec::new(),
        departures: Vec::new(),
        reading: None,
        omits_loads: false,
        latest: Vec::new(),
    }
}

fn encode(status: GatewayStatus) -> Vec<u8> {
    let message = ExchangeMessage::Status(Box::new(status));
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("the message should be encodable")
}

fn decode(bytes: &[u8]) -> Option<ExchangeMessage> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard()).ok().map(|(message, _)| message)
}

#[test]
fn status_without_its_last_fields_is_read_as_one_with_empty_ones() {
    let bytes = encode(status());
    // Each empty field at the end takes one byte.
    for missing in 0..=5 {
        let message = decode(&bytes[..bytes.len() - missing]);
        assert_eq!(message, Some(ExchangeMessage::Status(Box::new(status()))), "{missing} missing");
    }
    assert_eq!(decode(&bytes[..bytes.len() - 6]), None, "earlier fields are not optional");
}

#[test]
fn status_begins_with_the_fields_that_older_programs_read() {
    let upstream = "upstream-1".parse().expect("the id should be valid");
    let incarnation = UpstreamIncarnation { upstream, started_at_ms: 3 };
    let limit =
        UpstreamLimit { incarnation: incarnation.clone(), limit: Some(Rate::per_second(3.4)), age: Duration::ZERO };
    let zone = "z1".parse().expect("the id should be valid");
    let reading = Some(ReadStatus { zone, reads: true, answer_age: Some(Duration::from_millis(7)), era: 1 });
    let departures = vec![(incarnation, Duration::ZERO)];
    let latest = vec![(Origin::Operator, 7)];
    let full = GatewayStatus { limits: vec![limit], departures, reading, latest, ..status() };
    let (short, long) = (encode(status()), encode(full.clone()));
    assert_eq!(short[..short.len() - 5], long[..short.len() - 5]);
    assert_eq!(decode(&long), Some(ExchangeMessage::Status(Box::new(full))));
}

#[test]
fn rate_of_a_peer_is_clamped() {
    for (sent, read) in [(f64::NAN, 0.0), (-1.0, 0.0), (f64::INFINITY, 1e6), (3.4, 3.4)] {
        let bytes = bincode::serde::encode_to_vec(sent, bincode::config::standard()).expect("it should be encodable");
        let rate: (Rate, usize) =
            bincode::serde::decode_from_slice(&bytes, bincode::config::standard()).expect("it should be readable");
        assert_eq!(rate.0.value(), read, "{sent}");
    }
}
