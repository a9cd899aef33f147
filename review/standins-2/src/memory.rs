//! Callers that leave long answers unread, as many as a gateway admits.

use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    Paths, http,
    runner::{Next, Request, Runner},
    site::{Fault, Gateway, Process, Record, Scratch, Store, host},
};

const MEMORY_MB: u64 = 96;
const DESCRIPTORS: &str = "3075";
/// Connections that a gateway of this size admits, by its own reckoning, less a few for ordinary callers.
const CROWD: usize = 660;
const BODY_BYTES: usize = 12_000;
const EVENTS: u64 = 1_000;
const EVENT_BYTES: usize = 300;
/// Times that a process has to end by itself, by the rule, and machines on which that has to happen.
const ENDS: usize = 3;
const MACHINES: usize = 2;
/// Crowds that come to each gateway.
const ROUNDS: usize = 4;
const WATCH: Duration = Duration::from_secs(6);
/// Time between two callers of the crowd when it makes no trouble: they come over seven seconds and read their answers.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(10);
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Returns whether the rule was broken.
pub fn run(paths: &Paths, record: &Record, trouble: bool) -> Result<bool, Fault> {
    let scratch = Scratch::create()?;
    let store = Arc::new(Store::start(&paths.root, &scratch)?);
    let mut engines = Vec::new();
    for number in 1..=18 {
        let answer = |_: &Runner, request: &Request, socket: &mut TcpStream| {
            answer_stream(request, socket)?;
            Ok(Next::Open)
        };
        let name = format!("engine-{number}");
        engines.push(Runner::start(record, &store, &host(50), &name, "code-assist", "v1", Box::new(answer))?);
    }
    for engine in &engines {
        engine.register("ready")?;
    }
    store.put("op", "config", &declarations())?;
    let memory = MEMORY_MB.to_string();
    let mut bounds = crate::BOUNDS.to_vec();
    bounds.retain(|(key, _)| !key.starts_with("limits."));
    bounds.extend([("limits.memoryMb", memory.as_str()), ("limits.maxFds", DESCRIPTORS)]);
    let mut machines = 0;
    for (number, zone) in [(0, "a"), (1, "b")] {
        let mut ends = 0;
        for round in 0..ROUNDS {
            let gateway = Gateway::start(&paths.root, &scratch, &store, number, zone, &bounds)?;
            gateway.wait_ready()?;
            if is_killed(record, gateway, round, trouble)? {
                ends += 1;
                sleep(RESTART_DELAY);
            }
            if ends == ENDS || !trouble && round == 0 {
                break;
            }
        }
        record.line(&format!("front-{zone}-{number} ended {ends} times, with memory over the limit"));
        machines += usize::from(ends >= ENDS);
    }
    record.line(&format!("Fault: on {machines} machines of 2 a process ended {ENDS} times by itself"));
    Ok(machines >= MACHINES)
}

// Sends a crowd to a gateway, and ends it as the platform does if it takes more memory than its machine has.
fn is_killed(record: &Record, gateway: Gateway, round: usize, trouble: bool) -> Result<bool, Fault> {
    let start = resident(&gateway.process)?;
    let mut ordinary = Vec::new();
    for number in 0..5 {
        let (address, record, id) = (gateway.callers, record.clone(), format!("ordinary-{round}-{number}"));
        ordinary.push(thread::spawn(move || {
            sleep(Duration::from_millis(300) * number);
            let answer = send(address, &id).and_then(|socket| read_answer(socket, Duration::from_millis(20)));
            record.line(&format!("{id}: {}", if matches!(answer, Ok(true)) { "answered" } else { "cut" }));
        }));
    }
    let mut crowd = Vec::new();
    let mut refused = 0;
    let mut readers = Vec::new();
    for number in 0..CROWD {
        if !trouble {
            sleep(ARRIVAL_PAUSE);
        }
        match send(gateway.callers, &format!("crowd-{round}-{number}")) {
            Ok(socket) if trouble => crowd.push(socket),
            Ok(socket) => readers.push(thread::spawn(move || read_answer(socket, Duration::ZERO))),
            Err(_) => refused += 1,
        }
    }
    let limit = MEMORY_MB << 20;
    let end = record.now() + WATCH;
    let mut peak = 0;
    while record.now() < end && peak <= limit {
        peak = peak.max(resident(&gateway.process)?);
        sleep(Duration::from_millis(20));
    }
    record.line(&format!(
        "{}: {} connections with an unread answer and {} with one that is read, {refused} not opened; memory {:.1} MiB at the start, {:.1} at the peak, \
         the machine has {MEMORY_MB}{}",
        gateway.name,
        crowd.len(),
        readers.len(),
        start as f64 / 1_048_576.0,
        peak as f64 / 1_048_576.0,
        if peak > limit { ": killed" } else { "" }
    ));
    let is_over = peak > limit;
    if is_over {
        drop(gateway);
    }
    drop(crowd);
    let read =
        readers.into_iter().filter_map(|reader| reader.join().ok()).filter(|read| matches!(read, Ok(true))).count();
    if !trouble {
        record.line(&format!("{read} answers of the crowd were read to their ends"));
    }
    for caller in ordinary {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    Ok(is_over)
}

// Reads an answer to its end, with a pause after each part. False if it is cut.
fn read_answer(mut socket: TcpStream, pause: Duration) -> std::io::Result<bool> {
    let mut bytes = Vec::new();
    socket.set_read_timeout(Some(Duration::from_secs(20)))?;
    // The end of a chunked answer.
    while !bytes.ends_with(b"0\r\n\r\n") {
        sleep(pause);
        if http::fill(&mut socket, &mut bytes)? == 0 {
            return Ok(false);
        }
    }
    Ok(true)
}

// Resident memory of a process, in bytes.
fn resident(process: &Process) -> Result<u64, Fault> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.child.id()))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).ok_or("the gateway has ended")?;
    Ok(line.split_whitespace().nth(1).ok_or("no figure")?.parse::<u64>()? * 1024)
}

fn answer_stream(request: &Request, socket: &mut TcpStream) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-stamp: stand-in.2\r\ncontent-type: text/event-stream\r\n\
         confidence: 99\r\ntransfer-encoding: chunked\r\n\r\n",
        request.id()
    );
    socket.write_all(head.as_bytes())?;
    let text = "x".repeat(EVENT_BYTES);
    for id in 1..=EVENTS {
        let event = format!("id: {id}\ndata: {text}\n\n");
        socket.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    socket.write_all(b"0\r\n\r\n")
}

fn declarations() -> String {
    r#"{"version":7,"routes":[{"name":"review","host":"neeeca.example","prefix":"/review/","routeType":"stream","streamResume":true,"gapAimMs":1200,"timeoutMs":25000,"targetLatencyMs":4000,"priority":2,"service":"code-assist","maxAttempts":3,"public":false,"sessionAffinity":true}],"services":[{"name":"code-assist","healthPath":"/health","maxConnections":500,"engine":{"slots":64,"kvCapacityTokens":439036,"models":[{"name":"m0","cost":0.1}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"org-1","apiKeys":["key-1"]}]}"#
        .to_owned()
}

// Sends a request on a new connection.
fn send(address: SocketAddr, id: &str) -> std::io::Result<TcpStream> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let request = format!(
        "POST /review/1 HTTP/1.1\r\nhost: neeeca.example\r\nrequest-id: {id}\r\ndeadline-ms: 25000\r\nmodel: m0\r\n\
         token-count: 11992,8000\r\nprompt-prefix: 5c1e07a2:512,91bd3f06:4870,e4402b7d:6610\r\nauthorization: Bearer key-1\r\n\
         content-length: {BODY_BYTES}\r\n\r\n{}",
        "q".repeat(BODY_BYTES)
    );
    socket.write_all(request.as_bytes())?;
    socket.flush()?;
    Ok(socket)
}
