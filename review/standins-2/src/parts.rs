//! Requests with a prompt part that crashes the engines, far down in a long list of parts.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    Paths, http,
    runner::{Next, Request, Runner},
    site::{Fault, Gateway, Record, Scratch, Store, host},
};

/// The part that crashes engines.
const POISON: &str = "dead0001";
/// Shared parts of each prompt; PLACE counts from zero.
const SHARED_PARTS: usize = 24;
const PLACE: usize = 20;
/// Time that an engine is down after a crash.
const DOWN: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
/// Requests that may still reach engines, by the rule.
const ALLOWED: usize = 3;
const PLAY: Duration = Duration::from_secs(40);
/// Time between two requests of a caller.
const SOUND_PAUSE: Duration = Duration::from_millis(150);
const POISON_PAUSE: Duration = Duration::from_millis(1500);
const EVENTS: u64 = 4;

/// Returns whether the rule was broken.
pub fn run(paths: &Paths, record: &Record, trouble: bool) -> Result<bool, Fault> {
    let place = std::env::var("PLACE").ok().and_then(|place| place.parse().ok()).unwrap_or(PLACE);
    let scratch = Scratch::create()?;
    let store = Arc::new(Store::start(&paths.root, &scratch)?);
    let arrivals: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let crashes: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let mut engines = Vec::new();
    for number in 1..=6 {
        let (arrivals, crashes) = (Arc::clone(&arrivals), Arc::clone(&crashes));
        let answer = move |engine: &Runner, request: &Request, socket: &mut TcpStream| {
            let is_poison = request.head.header("prompt-prefix").contains(POISON);
            if is_poison {
                engine.record.line(&format!("{} reaches {}", request.id(), engine.id()));
                arrivals.lock().unwrap().push(engine.record.now());
            }
            sleep(Duration::from_millis(20));
            if is_poison && trouble {
                crashes.lock().unwrap().push(engine.record.now());
                return Ok(Next::Crash(DOWN));
            }
            answer_stream(request, socket)?;
            Ok(Next::Open)
        };
        let name = format!("engine-{number}");
        engines.push(Runner::start(record, &store, &host(50), &name, "optika-llm", "v1", Box::new(answer))?);
    }
    for engine in &engines {
        engine.register("ready")?;
    }
    store.put("op", "config", DECLARATIONS)?;
    let mut gateways = Vec::new();
    for (number, zone) in [(0, "a"), (1, "b")] {
        gateways.push(Gateway::start(&paths.root, &scratch, &store, number, zone, &crate::BOUNDS)?);
    }
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    sleep(Duration::from_secs(1));
    let end = record.now() + PLAY;
    let mut callers = Vec::new();
    for (index, gateway) in gateways.iter().enumerate() {
        for (kind, pause) in [("sound", SOUND_PAUSE), ("poison", POISON_PAUSE)] {
            let (address, record) = (gateway.callers, record.clone());
            callers.push(thread::spawn(move || {
                let mut answered = 0;
                let mut number = 0;
                if kind == "poison" {
                    sleep(Duration::from_secs(2));
                }
                while record.now() < end {
                    number += 1;
                    let id = format!("{kind}-{index}-{number}");
                    let prefix = prompt_prefix(kind == "poison", place, &format!("{index}{number:05}"));
                    let status = ask(address, &id, &prefix).unwrap_or(0);
                    answered += u32::from(status == 200);
                    record.line(&format!("{id}: {status}"));
                    sleep(pause);
                }
                record
                    .line(&format!("{kind} requests at gateway {index}: {answered} of {number} answered with success"));
            }));
        }
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    let crashes = crashes.lock().unwrap().clone();
    let arrivals = arrivals.lock().unwrap().clone();
    let Some(fifth) = crashes.get(4) else {
        record.line(&format!("{} crashes, {} requests with the part reached engines", crashes.len(), arrivals.len()));
        return Ok(false);
    };
    let late = arrivals.iter().filter(|at| **at > *fifth + CONTACT).count();
    record.line(&format!(
        "BUDGET: {late} requests with the part reached engines later than {CONTACT:?} after the fifth crash, which was at \
         {:.3}; {} crashes in all",
        fifth.as_secs_f64(),
        crashes.len()
    ));
    Ok(late > ALLOWED)
}

// Parts of a prompt: those that all requests of the caller share, one of which is the poison or a sound one, and a last
// one of its own.
fn prompt_prefix(is_poison: bool, place: usize, own: &str) -> String {
    let shared = (0..SHARED_PARTS).map(|index| match (index == place, is_poison) {
        (true, true) => format!("{POISON}:40"),
        (true, false) => "500d0001:40".to_owned(),
        _ => format!("{:08x}:40", 0x1000_0000 + index),
    });
    shared.chain([format!("f{own}:60")]).collect::<Vec<_>>().join(",")
}

fn answer_stream(request: &Request, socket: &mut TcpStream) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-stamp: stand-in.2\r\ncontent-type: text/event-stream\r\n\
         confidence: 99\r\ntransfer-encoding: chunked\r\n\r\n",
        request.id()
    );
    socket.write_all(head.as_bytes())?;
    for id in 1..=EVENTS {
        let event = format!("id: {id}\ndata: piece\n\n");
        socket.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        sleep(Duration::from_millis(10));
    }
    socket.write_all(b"0\r\n\r\n")
}

/// One route with streams that may be resumed.
pub const DECLARATIONS: &str = r#"{"version":7,"routes":[{"name":"question","host":"kp.example","prefix":"/question/","routeType":"stream","streamResume":true,"gapAimMs":1200,"timeoutMs":20000,"targetLatencyMs":1500,"priority":0,"service":"optika-llm","maxAttempts":3,"public":false,"sessionAffinity":true}],"services":[{"name":"optika-llm","healthPath":"/health","maxConnections":370,"engine":{"slots":64,"kvCapacityTokens":685000,"models":[{"name":"m0","cost":0.1}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"org-1","apiKeys":["key-1"]}]}"#;

// Sends a request on a new connection and reads its answer to the end; the status, or zero if the answer isn't whole.
fn ask(address: SocketAddr, id: &str, prefix: &str) -> Result<u16, Fault> {
    let mut socket = TcpStream::connect(address)?;
    socket.set_read_timeout(Some(Duration::from_secs(20)))?;
    let body = format!("ask {id}");
    let request = format!(
        "POST /question/1 HTTP/1.1\r\nhost: kp.example\r\nrequest-id: {id}\r\ndeadline-ms: 20000\r\nmodel: m0\r\n\
         token-count: {},8\r\nprompt-prefix: {prefix}\r\nauthorization: Bearer key-1\r\ncontent-length: {}\r\n\r\n{body}",
        40 * SHARED_PARTS + 60,
        body.len()
    );
    socket.write_all(request.as_bytes())?;
    let mut buffer = Vec::new();
    let head = http::read_head(&mut socket, &mut buffer)?.ok_or("closed without an answer")?;
    if let Some(length) = head.length() {
        http::read_length(&mut socket, &mut buffer, length)?.ok_or("cut")?;
    } else {
        while !buffer.ends_with(b"0\r\n\r\n") {
            if http::fill(&mut socket, &mut buffer)? == 0 {
                return Ok(0);
            }
        }
    }
    Ok(head.status())
}
