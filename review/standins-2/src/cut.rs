//! Engines a few of whose streams have neither a length nor chunks; one engine is killed while it answers.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    Paths, http,
    site::{Fault, Gateway, Process, Record, Scratch, Store, host},
};

const EVENTS: u64 = 49;
const EVENT_PAUSE: Duration = Duration::from_millis(60);
/// Requests, and the time between two of them: the site's traffic is 73 a second.
const CALLERS: usize = 280;
const ARRIVAL_PAUSE: Duration = Duration::from_millis(14);
/// Engines that send answers without framing, of nine, and the share of their answers that have none: one in this many.
const UNFRAMED_ENGINES: u8 = 4;
const UNFRAMED_EACH: u64 = 20;
const KILL_AFTER: Duration = Duration::from_millis(3400);
/// Three heartbeats of silence, after which the platform removes an entry.
const ENTRY_LAPSE: Duration = Duration::from_millis(3600);

/// Serves as an engine in a process of its own, until it is killed. Prints its address, and a line for each run.
pub fn serve(address: &str, id: &str) -> Result<(), Fault> {
    let number: u8 = id.trim_start_matches("engine-").parse()?;
    let answers = Arc::new(AtomicU64::new(0));
    let listener = TcpListener::bind(address)?;
    println!("{}", listener.local_addr()?);
    for socket in listener.incoming() {
        let (mut socket, id, answers) = (socket?, id.to_owned(), Arc::clone(&answers));
        // A caller that leaves ends its connection.
        thread::spawn(move || drop(answer(&mut socket, &id, number, &answers)));
    }
    Ok(())
}

fn answer(socket: &mut TcpStream, id: &str, number: u8, answers: &AtomicU64) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let mut buffer = Vec::new();
    let Some(head) = http::read_head(socket, &mut buffer)? else { return Ok(()) };
    if http::read_length(socket, &mut buffer, head.length().unwrap_or(0))?.is_none() {
        return Ok(());
    }
    let request = head.header("request-id");
    if head.header("expect-instance") != id {
        let refusal = format!("HTTP/1.1 421 x\r\nrequest-id: {request}\r\ncontent-length: 0\r\n\r\n");
        return socket.write_all(refusal.as_bytes());
    }
    let count = answers.fetch_add(1, Ordering::SeqCst);
    let is_framed = number > UNFRAMED_ENGINES || count % UNFRAMED_EACH != UNFRAMED_EACH / 2;
    let framing = if is_framed { "transfer-encoding: chunked\r\n" } else { "" };
    let start = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {request}\r\nresponse-stamp: stand-in.2\r\ncontent-type: text/event-stream\r\n\
         confidence: 99\r\nconnection: close\r\n{framing}\r\n"
    );
    println!("{} {request}", if is_framed { "run" } else { "unframed run" });
    socket.write_all(start.as_bytes())?;
    let last: u64 = head.header("last-event-id").parse().unwrap_or(0);
    for event in last + 1..=EVENTS {
        let text = format!("id: {event}\ndata: piece {event} of {request}\n\n");
        let text = if is_framed { format!("{:x}\r\n{text}\r\n", text.len()) } else { text };
        socket.write_all(text.as_bytes())?;
        sleep(EVENT_PAUSE);
    }
    if is_framed {
        socket.write_all(b"0\r\n\r\n")?;
    } else {
        println!("unframed end {request}");
    }
    Ok(())
}

struct Engine {
    id: String,
    address: SocketAddr,
    process: Process,
    // Streams without framing under way.
    runs: Arc<Mutex<usize>>,
}

impl Engine {
    fn start(number: u8, record: &Record) -> Result<Self, Fault> {
        let id = format!("engine-{number}");
        let mut child = Command::new(std::env::current_exe()?)
            .args(["engine", &format!("{}:0", host(50)), &id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        let mut output = BufReader::new(child.stdout.take().ok_or("no output")?);
        output.read_line(&mut line)?;
        let runs: Arc<Mutex<usize>> = Arc::default();
        let (counter, record, name) = (Arc::clone(&runs), record.clone(), id.clone());
        thread::spawn(move || {
            for run in output.lines().map_while(Result::ok) {
                record.line(&format!("{run} at {name}"));
                match run.split(' ').nth(1) {
                    Some("run") => *counter.lock().unwrap() += 1,
                    Some("end") => *counter.lock().unwrap() -= 1,
                    _ => {}
                }
            }
        });
        Ok(Self { id, address: line.trim().parse()?, process: Process { child }, runs })
    }
}

/// How a stream went, as its caller saw it.
#[derive(Debug, Clone)]
struct Outcome {
    id: String,
    status: u16,
    is_complete: bool,
    events: Vec<u64>,
}

/// Returns whether the rule was broken.
pub fn run(paths: &Paths, record: &Record, trouble: bool) -> Result<bool, Fault> {
    let scratch = Scratch::create()?;
    let store = Store::start(&paths.root, &scratch)?;
    let mut engines = Vec::new();
    for number in 1..=9 {
        let engine = Engine::start(number, record)?;
        let entry = format!(
            r#"{{"service":"optika-llm","address":"{}","zone":"a","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":1,"born":170000000000{number}}}"#,
            engine.address
        );
        store.put("servers", &engine.id, &entry)?;
        engines.push(engine);
    }
    store.put("op", "config", crate::parts::DECLARATIONS)?;
    let mut gateways = Vec::new();
    for (number, zone) in [(0, "a"), (1, "b")] {
        gateways.push(Gateway::start(&paths.root, &scratch, &store, number, zone, &crate::BOUNDS)?);
    }
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let address = gateways[number % gateways.len()].callers;
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            thread::spawn(move || {
                sleep(ARRIVAL_PAUSE * number as u32);
                let id = format!("question-{number}");
                record.line(&format!("sent {id}"));
                match ask(address, number, &id) {
                    Ok(outcome) => outcomes.lock().unwrap().push(outcome),
                    Err(error) => record.line(&format!("{id}: {error}")),
                }
            })
        })
        .collect();
    sleep(KILL_AFTER);
    if trouble {
        // The one with the most streams without framing under way.
        let busiest = (0..engines.len()).max_by_key(|index| *engines[*index].runs.lock().unwrap()).unwrap_or(0);
        let mut engine = engines.remove(busiest);
        engine.process.child.kill()?;
        record.line(&format!("{} killed", engine.id));
        sleep(ENTRY_LAPSE);
        store.delete("servers", &engine.id)?;
        record.line(&format!("the entry of {} is removed", engine.id));
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    let mut outcomes = outcomes.lock().unwrap().clone();
    outcomes.sort_by(|one, other| one.id.cmp(&other.id));
    let mut broken = 0;
    for outcome in &outcomes {
        let expected: Vec<u64> = (1..=EVENTS).collect();
        let is_broken = outcome.is_complete && outcome.status == 200 && outcome.events != expected;
        broken += u32::from(is_broken);
        record.line(&format!(
            "{}: status {}, events up to {} of {EVENTS}, {}{}",
            outcome.id,
            outcome.status,
            outcome.events.last().unwrap_or(&0),
            if outcome.is_complete { "ended as complete" } else { "cut" },
            if is_broken { ", ORDER" } else { "" }
        ));
    }
    record.line(&format!("ORDER: {broken} of {} streams ended as complete before their last event", outcomes.len()));
    Ok(broken > 0)
}

// Sends a request and reads its stream to the end.
fn ask(address: SocketAddr, number: usize, id: &str) -> Result<Outcome, Fault> {
    let mut socket = TcpStream::connect(address)?;
    socket.set_read_timeout(Some(Duration::from_secs(20)))?;
    let request = format!(
        "POST /question/1 HTTP/1.1\r\nhost: kp.example\r\nrequest-id: {id}\r\ndeadline-ms: 20000\r\nmodel: m0\r\n\
         token-count: 628,180\r\nprompt-prefix: {:08x}:119,{:08x}:79,{:08x}:430\r\nauthorization: Bearer key-1\r\n\
         content-length: {}\r\n\r\n{id}",
        0x5c1e_0000 + number % 40,
        0x91bd_0000 + number,
        0xe440_0000 + number,
        id.len()
    );
    socket.write_all(request.as_bytes())?;
    let mut buffer = Vec::new();
    let head = http::read_head(&mut socket, &mut buffer)?.ok_or("closed without an answer")?;
    let mut is_complete = false;
    let mut text = String::new();
    // Each line of the chunked stream that isn't the size of a chunk belongs to an event; the last chunk is empty.
    while !is_complete && http::fill(&mut socket, &mut buffer)? > 0 {
        text = String::from_utf8_lossy(&buffer).into_owned();
        is_complete = text.ends_with("\r\n0\r\n\r\n");
    }
    let events = text.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok()).collect();
    Ok(Outcome { id: id.to_owned(), status: head.status(), is_complete, events })
}
