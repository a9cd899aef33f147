//! A runner that drains, and an entry of another writer under its id that lacks fields.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    Paths, http,
    runner::{Next, Request, Runner, success},
    site::{Fault, Gateway, Record, Scratch, Store, host},
};

const DRAIN: Duration = Duration::from_secs(2);
/// Time from the runner's report to the entry of the other writer.
const ODD_AFTER: Duration = Duration::from_secs(4);
/// Time for which requests are sent after that.
const PLAY: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(40);
const BODY: &[u8] = b"booked";

/// Returns whether the rule was broken.
pub fn run(paths: &Paths, record: &Record, trouble: bool) -> Result<bool, Fault> {
    let scratch = Scratch::create()?;
    let store = Arc::new(Store::start(&paths.root, &scratch)?);
    let runs: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let mut runners = Vec::new();
    for number in 1..=3 {
        let runs = Arc::clone(&runs);
        let answer = move |runner: &Runner, request: &Request, socket: &mut TcpStream| {
            runner.record.line(&format!("run {} at {}", request.id(), runner.id()));
            runs.lock().unwrap().push((request.id().to_owned(), runner.id()));
            sleep(Duration::from_millis(15));
            socket.write_all(&[success(request, BODY.len()).as_bytes(), BODY].concat())?;
            Ok(Next::Open)
        };
        let name = format!("app-{number}");
        runners.push(Runner::start(record, &store, &host(50), &name, "szerviz-app", "v1", Box::new(answer))?);
    }
    for runner in &runners {
        runner.register("ready")?;
    }
    store.put("op", "config", &declarations())?;
    let mut gateways = Vec::new();
    for (number, zone) in [(0, "a"), (1, "b")] {
        gateways.push(Gateway::start(&paths.root, &scratch, &store, number, zone, &crate::BOUNDS)?);
    }
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    let begin = record.now();
    let end = begin + Duration::from_secs(2) + ODD_AFTER + PLAY;
    let sent: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
    let callers: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(index, gateway)| {
            let (address, record, sent) = (gateway.callers, record.clone(), Arc::clone(&sent));
            thread::spawn(move || {
                let mut number = 0;
                while record.now() < end {
                    number += 1;
                    let id = format!("book-{index}-{number}");
                    sent.lock().unwrap().push((id.clone(), record.now()));
                    let status = ask(address, &id).unwrap_or(0);
                    record.line(&format!("{id}: {status}"));
                    sleep(PAUSE);
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(2));
    let leaving = &runners[0];
    leaving.register("draining")?;
    let acknowledged = record.now();
    record.line(&format!("the store has accepted that {} is draining", leaving.id()));
    sleep(ODD_AFTER);
    if trouble {
        // Lacks `coldRemainingMs`, `sequence` and `born`.
        let entry = format!(
            r#"{{"service":"szerviz-app","address":"{}","zone":"a","version":"v1","slots":6,"state":"ready"}}"#,
            leaving.address
        );
        store.put("servers", &leaving.id(), &entry)?;
        record.line(&format!("another writer's entry under {}: {entry}", leaving.id()));
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    let sent = sent.lock().unwrap().clone();
    let is_late = |id: &String| sent.iter().any(|(known, at)| known == id && *at > acknowledged + DRAIN);
    let runs = runs.lock().unwrap().clone();
    let late = runs.iter().filter(|(id, runner)| *runner == leaving.id() && is_late(id)).count();
    let before = runs.iter().filter(|(id, runner)| *runner == leaving.id() && !is_late(id)).count();
    record.line(&format!(
        "DRAIN: {late} requests sent later than {DRAIN:?} after the acknowledgement ran at the leaving runner, {before} \
         before that"
    ));
    Ok(late > 0)
}

fn declarations() -> String {
    r#"{"version":7,"routes":[{"name":"book","host":"kp.example","prefix":"/book/","routeType":"non_idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"szerviz-app","maxAttempts":1,"public":false}],"services":[{"name":"szerviz-app","healthPath":"/health","maxConnections":110}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"org-1","apiKeys":["key-1"]}]}"#
        .to_owned()
}

// Sends a request on a new connection and reads its answer; the status.
fn ask(address: SocketAddr, id: &str) -> Result<u16, Fault> {
    let mut socket = TcpStream::connect(address)?;
    socket.set_read_timeout(Some(Duration::from_secs(2)))?;
    let request = format!(
        "POST /book/1 HTTP/1.1\r\nhost: kp.example\r\nrequest-id: {id}\r\ndeadline-ms: 1000\r\n\
         authorization: Bearer key-1\r\ncontent-length: 0\r\n\r\n"
    );
    socket.write_all(request.as_bytes())?;
    let mut buffer = Vec::new();
    let head = http::read_head(&mut socket, &mut buffer)?.ok_or("closed without an answer")?;
    http::read_length(&mut socket, &mut buffer, head.length().ok_or("no length")?)?.ok_or("cut")?;
    Ok(head.status())
}
