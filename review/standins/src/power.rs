//! Case: all machines lose power and are back three quarters of a second later. The runners start again at their addresses under new ids
//! while the platform still lists the old ones. The check is RECOVER.

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
    site::{KEY, OTHER_KEY, Site, Verdict, config, request_id},
};

/// Time without power.
const DARK: Duration = Duration::from_millis(750);
/// Three heartbeat intervals, after which the platform removes the entry of a runner that is silent.
const LAPSE: Duration = Duration::from_millis(3600);
const RECOVER: Duration = Duration::from_secs(12);

struct Sent {
    at: Instant,
    is_served: bool,
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> Verdict {
    let Some(site) = Site::start(root, record) else { return Verdict::CouldNotRun };
    let work = Duration::from_millis(20);
    // The ids have no order: each new one sorts before or after the old one by chance.
    let plan = [
        ("shelf", "i-c40c11d2", "i-5a7790be", 7101),
        ("shelf", "i-a9e3077f", "i-1fd2c604", 7102),
        ("ledger", "i-b6610e95", "i-0e48fa73", 7103),
        ("ledger", "i-d51f23aa", "i-72c9b81d", 7104),
    ];
    let runners: Vec<_> =
        plan.iter().filter_map(|(service, id, _, port)| site.runner(service, id, *port, work)).collect();
    if runners.len() < plan.len() {
        return Verdict::CouldNotRun;
    }
    let mut gateways: Vec<_> = [1, 2].into_iter().filter_map(|number| site.gateway(site.place(number))).collect();
    if gateways.len() < 2 || !gateways.iter().all(|gateway| gateway.await_ready(Duration::from_secs(10))) {
        return Verdict::CouldNotRun;
    }
    site.record.line("all gateways are ready; traffic starts");

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let (sent, is_over, record) = (Arc::clone(&sent), Arc::clone(&is_over), site.record.clone());
            let front = gateways[number % 2].front;
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let (method, path) = if number % 4 < 2 { ("GET", "/look/van") } else { ("POST", "/record/loan") };
                    let call = Call::new(method, path, &request_id(), KEY, Duration::from_millis(2500));
                    let at = Instant::now();
                    let outcome = ask(front, &call);
                    record.at(at, &format!("{} {method} {path} to {front}: {}", call.id, outcome.text()));
                    sent.lock().unwrap().push(Sent { at, is_served: outcome.status() == 200 });
                    thread::sleep(Duration::from_millis(200).saturating_sub(at.elapsed()));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(6));
    site.store.put("op", "config", &config(2, &[KEY, OTHER_KEY]));
    site.record.line("version 2 of the configuration is acknowledged");
    let fault_at = Instant::now();
    if trouble {
        site.record.line("all machines lose power");
        runners.iter().for_each(|runner| runner.lose_power());
        gateways.iter_mut().for_each(|gateway| gateway.kill());
        thread::sleep(DARK);
        for (runner, (service, old, new, _)) in runners.iter().zip(plan) {
            if runner.start_again(new).is_err() {
                return Verdict::CouldNotRun;
            }
            site.record
                .line(&format!("power is back: runner {new} of {service} starts at {} (was {old})", runner.address));
        }
        thread::sleep(Duration::from_millis(200));
        for gateway in &mut gateways {
            if gateway.start_again().is_err() {
                return Verdict::CouldNotRun;
            }
            site.record.line(&format!("gateway {} starts", gateway.place.name));
        }
    }
    let back_at = Instant::now();
    if trouble {
        thread::sleep((fault_at + LAPSE).saturating_duration_since(Instant::now()));
        for (_, old, _, _) in plan {
            site.store.delete("servers", old);
            site.record.line(&format!("the platform removes the entry of {old}, which has been silent"));
        }
    }
    thread::sleep((back_at + RECOVER + Duration::from_secs(8)).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));

    let share = |from: Instant, to: Instant| {
        let sent = sent.lock().unwrap();
        let inside: Vec<&Sent> = sent.iter().filter(|one| one.at >= from && one.at < to).collect();
        let served = inside.iter().filter(|one| one.is_served).count();
        (served, inside.len())
    };
    let (before, before_all) = share(fault_at - Duration::from_secs(5), fault_at);
    let (after, after_all) = share(back_at + RECOVER, back_at + RECOVER + Duration::from_secs(7));
    let ran: Vec<String> = runners
        .iter()
        .map(|runner| runner.runs().iter().filter(|run| run.at > back_at + RECOVER).count().to_string())
        .collect();
    site.record.line(&format!("served before the fault: {before} of {before_all}"));
    site.record.line(&format!("served later than recoverS after the machines are back: {after} of {after_all}"));
    site.record
        .line(&format!("requests that the four runners, all up and listed, ran in that time: {}", ran.join(", ")));
    if 4 * before < before_all || after_all == 0 {
        return Verdict::CouldNotRun;
    }
    if 4 * after < after_all { Verdict::Broken } else { Verdict::Held }
}
