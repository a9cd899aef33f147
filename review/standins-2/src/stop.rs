//! A planned stop of a gateway while callers read answers at the pace of a slow link.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    Paths, http,
    runner::{Next, Request, Runner, success},
    site::{Fault, Gateway, Record, SIGTERM, Scratch, Store, host, wait_for},
};

/// Size of an answer.
const ANSWER_BYTES: usize = 1_000_000;
/// A caller takes this much ...
const READ_BYTES: usize = 6_000;
/// ... each time: 1.2 Mbit/s.
const READ_PAUSE: Duration = Duration::from_millis(40);
/// Time that a caller waits, and the route's `timeoutMs`.
const DEADLINE_MS: u64 = 20_000;
const GRACE: Duration = Duration::from_secs(8);
/// Callers of each kind of route.
const CALLERS: usize = 3;

/// How one request went, as its caller saw it.
#[derive(Debug, Clone)]
struct Outcome {
    id: String,
    sent: Duration,
    ended: Duration,
    status: u16,
    announced: usize,
    received: usize,
}

/// Returns whether the rule was broken.
pub fn run(paths: &Paths, record: &Record, trouble: bool) -> Result<bool, Fault> {
    let scratch = Scratch::create()?;
    let store = Arc::new(Store::start(&paths.root, &scratch)?);
    let runs: Arc<Mutex<Vec<(String, Duration, Option<Duration>)>>> = Arc::default();
    let mut runners = Vec::new();
    for number in 1..=3 {
        let runs = Arc::clone(&runs);
        let answer = move |runner: &Runner, request: &Request, socket: &mut TcpStream| {
            let began = runner.record.now();
            runner.record.line(&format!("run {} at {}", request.id(), runner.name));
            runs.lock().unwrap().push((request.id().to_owned(), began, None));
            socket.write_all(success(request, ANSWER_BYTES).as_bytes())?;
            socket.write_all(&vec![b'x'; ANSWER_BYTES])?;
            let ended = runner.record.now();
            runner.record.line(&format!("run of {} ends, its answer is written", request.id()));
            if let Some(run) = runs.lock().unwrap().iter_mut().find(|run| run.0 == request.id()) {
                run.2 = Some(ended);
            }
            Ok(Next::Open)
        };
        let name = format!("ledger-{number}");
        runners.push(Runner::start(record, &store, &host(50), &name, "member-ledger", "v1", Box::new(answer))?);
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
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let address = gateways[0].callers;
    let callers: Vec<_> = (0..2 * CALLERS)
        .map(|number| {
            let (outcomes, record) = (Arc::clone(&outcomes), record.clone());
            let (kind, method) = if number % 2 == 0 { ("export", "POST") } else { ("report", "GET") };
            let id = format!("{kind}-{number}");
            thread::spawn(move || match ask(address, &record, method, kind, &id) {
                Ok(outcome) => outcomes.lock().unwrap().push(outcome),
                Err(error) => record.line(&format!("caller of {id}: {error}")),
            })
        })
        .collect();
    wait_for("all requests to run", Duration::from_secs(5), || runs.lock().unwrap().len() == 2 * CALLERS)?;
    sleep(Duration::from_millis(500));
    let stopped = record.now();
    if trouble {
        record.line(&format!("SIGTERM to {}", gateways[0].name));
        gateways[0].process.signal(SIGTERM);
        let limit = GRACE + Duration::from_secs(1);
        while record.now() < stopped + limit && !gateways[0].process.has_ended() {
            sleep(Duration::from_millis(10));
        }
        record.line(&format!(
            "{} ended {:.3} s after the SIGTERM",
            gateways[0].name,
            (record.now() - stopped).as_secs_f64()
        ));
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    let outcomes = outcomes.lock().unwrap().clone();
    if outcomes.len() < 2 * CALLERS {
        return Err("not every caller got an answer's head".into());
    }
    let runs = runs.lock().unwrap().clone();
    let mut lost = 0;
    for outcome in &outcomes {
        let run = runs.iter().find(|run| run.0 == outcome.id);
        let is_cut = outcome.received < outcome.announced;
        // Not counted by the rule: what the deadline or the route's timeout has ended, and work that the runner was
        // still doing in the last sixth of the grace time.
        let in_time = outcome.ended < outcome.sent + Duration::from_millis(DEADLINE_MS);
        let at_work = run.is_none_or(|run| run.2.is_none_or(|ended| ended >= stopped + GRACE * 5 / 6));
        let by_stop = outcome.ended >= stopped && outcome.ended <= stopped + GRACE + Duration::from_secs(1);
        let is_lost = is_cut && in_time && !at_work && by_stop;
        lost += u32::from(is_lost);
        record.line(&format!(
            "{}: status {}, {} of {} bytes, connection ended {:.3} s after the SIGTERM{}",
            outcome.id,
            outcome.status,
            outcome.received,
            outcome.announced,
            outcome.ended.as_secs_f64() - stopped.as_secs_f64(),
            if is_lost { ", LOST" } else { "" }
        ));
    }
    record.line(&format!("LOST: {lost} of {} requests", outcomes.len()));
    Ok(lost > 0)
}

fn declarations() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"granite.example","prefix":"/{name}/","routeType":"{kind}","timeoutMs":{DEADLINE_MS},"targetLatencyMs":1000,"priority":1,"service":"member-ledger","maxAttempts":{attempts},"public":false}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{{"name":"member-ledger","healthPath":"/health","maxConnections":200}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"org-1","apiKeys":["key-1"]}}]}}"#,
        route("export", "non_idempotent", 1),
        route("report", "idempotent", 2)
    )
}

// Sends a request and reads its answer slowly.
fn ask(address: SocketAddr, record: &Record, method: &str, kind: &str, id: &str) -> Result<Outcome, Fault> {
    let mut socket = TcpStream::connect(address)?;
    socket.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let request = format!(
        "{method} /{kind}/1 HTTP/1.1\r\nhost: granite.example\r\nrequest-id: {id}\r\ndeadline-ms: {DEADLINE_MS}\r\n\
         authorization: Bearer key-1\r\ncontent-length: 0\r\n\r\n"
    );
    let sent = record.now();
    record.line(&format!("sent {id}"));
    socket.write_all(request.as_bytes())?;
    let mut buffer = Vec::new();
    let head = http::read_head(&mut socket, &mut buffer)?.ok_or("closed without an answer")?;
    let announced = head.length().ok_or("an answer without a length")?;
    let mut received = buffer.len();
    let mut bytes = vec![0; READ_BYTES];
    while received < announced {
        match socket.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(count) => received += count,
        }
        sleep(READ_PAUSE);
    }
    Ok(Outcome { id: id.to_owned(), sent, ended: record.now(), status: head.status(), announced, received })
}
