//! Case: many users send a request with a long body at the same time. Each body is within the limit that the
//! configuration declares, all together take half of the machine's link. The check is LOST.

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::Gateway,
    http::{Call, Outcome, ask, connect, exchange},
    site::{KEY, Record, Site, Verdict, request_id},
};

/// Memory of a `front` machine; the platform kills a process that exceeds it.
const MEMORY_KB: u64 = 110 * 1024;
/// Time after which the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(500);
/// Users of a burst, at one gateway.
const USERS: usize = 16;
const BODY: usize = 4_000_000;
/// Time over which they send; all together take half of a link of 1,000 Mbit/s.
const UPLOAD: Duration = Duration::from_millis(1100);

struct Lost {
    id: String,
    is_kept: bool,
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> Verdict {
    let Some(site) = Site::start(root, record) else { return Verdict::CouldNotRun };
    let runners: Vec<_> =
        [("ledger", "i-b6610e95", 7103), ("ledger", "i-d51f23aa", 7104), ("shelf", "i-a9e3077f", 7102)]
            .into_iter()
            .filter_map(|(service, id, port)| site.runner(service, id, port, Duration::from_millis(100)))
            .collect();
    let gateways: Vec<_> = [1, 2].into_iter().filter_map(|number| site.gateway(site.place(number))).collect();
    if runners.len() < 3 || gateways.len() < 2 || !gateways.iter().all(|one| one.await_ready(Duration::from_secs(10))) {
        return Verdict::CouldNotRun;
    }
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let may_stop = Arc::new(AtomicBool::new(false));
    let platform: Vec<_> = gateways.into_iter().map(|gateway| watch(gateway, &site.record, &may_stop)).collect();
    site.record.line("all gateways are ready; traffic starts");

    // Users with short requests on connections that they keep.
    let lost: Arc<Mutex<Vec<Lost>>> = Arc::default();
    let clients: Vec<_> = (0..12)
        .map(|number| {
            let (lost, is_over, record) = (Arc::clone(&lost), Arc::clone(&is_over), site.record.clone());
            let front = fronts[number % 2];
            thread::spawn(move || {
                let mut kept = None;
                while !is_over.load(Ordering::Relaxed) {
                    let is_kept = kept.is_some();
                    let Some(mut stream) = kept.take().or_else(|| connect(front)) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    let mut call = Call::new("POST", "/record/loan", &request_id(), KEY, Duration::from_millis(2500));
                    call.body = vec![b'l'; 600];
                    let at = Instant::now();
                    let outcome = exchange(&mut stream, &call);
                    match &outcome {
                        Outcome::Answer { .. } => kept = Some(stream),
                        Outcome::Closed(_) => lost.lock().unwrap().push(Lost { id: call.id.clone(), is_kept }),
                        Outcome::NoConnection | Outcome::TimedOut => {}
                    }
                    let connection = if is_kept { "kept connection" } else { "new connection" };
                    record
                        .at(at, &format!("{} POST /record/loan to {front}, {connection}: {}", call.id, outcome.text()));
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(5));
    for burst in 1..=3 {
        site.record.line(&format!("burst {burst}: {USERS} users send {BODY} bytes each to front-1"));
        let upload = move |front, upload: Duration, record: Record| {
            let mut call = Call::new("POST", "/upload/returned-book", &request_id(), KEY, Duration::from_millis(5000));
            (call.body, call.upload) = (vec![b'b'; BODY], upload);
            let at = Instant::now();
            let outcome = ask(front, &call);
            record.at(at, &format!("{} POST /upload/returned-book to {front}: {}", call.id, outcome.text()));
        };
        if trouble {
            let users: Vec<_> = (0..USERS)
                .map(|_| {
                    let (front, record) = (fronts[0], site.record.clone());
                    thread::spawn(move || upload(front, UPLOAD, record))
                })
                .collect();
            users.into_iter().for_each(|user| drop(user.join()));
        } else {
            // The same users, one after the other.
            (0..USERS).for_each(|_| upload(fronts[0], UPLOAD / USERS as u32, site.record.clone()));
        }
        thread::sleep(Duration::from_secs(4));
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    may_stop.store(true, Ordering::Relaxed);
    let ends: u32 = platform.into_iter().filter_map(|one| one.join().ok()).sum();

    let ran: Vec<_> = runners.iter().flat_map(|runner| runner.runs()).collect();
    let lost = lost.lock().unwrap();
    let passed_on: Vec<&Lost> =
        lost.iter().filter(|one| one.is_kept && ran.iter().any(|run| run.request == one.id)).collect();
    for one in &passed_on {
        site.record.line(&format!("lost: {} ran, and its kept connection was closed without an answer", one.id));
    }
    site.record.line(&format!("gateways ended over their memory: {ends}"));
    site.record
        .line(&format!("requests from kept connections that ran and whose connection was closed: {}", passed_on.len()));
    if passed_on.len() > 3 { Verdict::Broken } else { Verdict::Held }
}

// The platform: kills a process over its memory and starts it again. Returns how often it did.
fn watch(mut gateway: Gateway, record: &Record, may_stop: &Arc<AtomicBool>) -> thread::JoinHandle<u32> {
    let (record, may_stop) = (record.clone(), Arc::clone(may_stop));
    thread::spawn(move || {
        let (mut ends, mut peak) = (0, 0);
        while !may_stop.load(Ordering::Relaxed) {
            let memory = gateway.memory_kb();
            peak = peak.max(memory);
            if memory > MEMORY_KB {
                gateway.kill();
                ends += 1;
                record.line(&format!("gateway {} holds {memory} kB and is killed", gateway.place.name));
                thread::sleep(RESTART);
                if gateway.start_again().is_err() {
                    return ends;
                }
                record.line(&format!("gateway {} starts", gateway.place.name));
            }
            thread::sleep(Duration::from_millis(5));
        }
        record.line(&format!("most memory of gateway {}: {peak} kB", gateway.place.name));
        ends
    })
}
