//! Case: the one runner of a service gives no answer to two requests in five for some seconds, while its entry is good. The
//! check is CONFIG: requests get a final answer half a second after their route's `timeoutMs` at the latest.

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
    http::{Call, ask},
    site::{KEY, LOOK_TIMEOUT, Site, Verdict, request_id},
};

/// Time for which the runner fails a part of its requests.
const GREY: Duration = Duration::from_millis(6500);

struct Sent {
    at: Instant,
    took: Duration,
    is_answered: bool,
    front: usize,
    is_look: bool,
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> Verdict {
    let Some(site) = Site::start(root, record) else { return Verdict::CouldNotRun };
    let work = Duration::from_millis(20);
    let (Some(shelf), Some(_ledger), Some(_other)) = (
        site.runner("shelf", "i-c40c11d2", 7101, work),
        site.runner("ledger", "i-b6610e95", 7103, work),
        site.runner("ledger", "i-d51f23aa", 7104, work),
    ) else {
        return Verdict::CouldNotRun;
    };
    let mut gateways: Vec<_> = [1, 2].into_iter().filter_map(|number| site.gateway(site.place(number))).collect();
    if gateways.len() < 2 || !gateways.iter().all(|gateway| gateway.await_ready(Duration::from_secs(10))) {
        return Verdict::CouldNotRun;
    }
    site.record.line("all gateways are ready; traffic starts");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..12)
        .map(|number| {
            let (sent, is_over, record) = (Arc::clone(&sent), Arc::clone(&is_over), site.record.clone());
            let (front, address) = (number % 2, gateways[number % 2].front);
            thread::spawn(move || {
                let is_look = number % 4 < 2;
                let (method, path) = if is_look { ("GET", "/look/van") } else { ("POST", "/record/loan") };
                while !is_over.load(Ordering::Relaxed) {
                    let call = Call::new(method, path, &request_id(), KEY, Duration::from_millis(2500));
                    let at = Instant::now();
                    let outcome = ask(address, &call);
                    let took = at.elapsed();
                    record.at(
                        at,
                        &format!("{} {method} {path} to {address}: {} after {took:.0?}", call.id, outcome.text()),
                    );
                    let is_answered = outcome.status() > 0;
                    sent.lock().unwrap().push(Sent { at, took, is_answered, front, is_look });
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(4));
    if trouble {
        site.record.line("the runner of shelf gives no answer to two requests in five");
        shelf.set_grey(true);
    }
    thread::sleep(GREY);
    shelf.set_grey(false);
    let good_at = Instant::now();
    site.record.line("the runner of shelf answers all again");
    thread::sleep(Duration::from_secs(12));
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));

    let sent = sent.lock().unwrap();
    let limit = LOOK_TIMEOUT + Duration::from_millis(500);
    let (mut long, mut open) = (0, 0);
    for one in sent.iter().filter(|one| one.is_look && one.took >= LOOK_TIMEOUT) {
        long += 1;
        open += u32::from(!one.is_answered || one.took > limit);
    }
    for (number, gateway) in gateways.iter_mut().enumerate() {
        let after: Vec<&Sent> =
            sent.iter().filter(|one| one.front == number && one.at > good_at + Duration::from_secs(5)).collect();
        let answered = after.iter().filter(|one| one.is_answered).count();
        let (name, is_ready, is_running) = (gateway.place.name.clone(), gateway.is_ready(), !gateway.has_ended());
        site.record.line(&format!(
            "{name}: of {} requests sent later than 5 s after the runner was good again, {answered} answered; process runs: \
             {is_running}, ready: {is_ready}, processor time: {} ticks",
            after.len(),
            gateway.processor_ticks()
        ));
    }
    site.record.line(&format!("requests that lasted longer than their route's timeoutMs: {long}"));
    site.record.line(&format!("of these without a final answer half a second after it: {open}"));
    if open >= 8 && 4 * open > long { Verdict::Broken } else { Verdict::Held }
}
