//! Case: three of four gateways are lost, and all users come to the one that is left. Each user keeps the connection open
//! that it used, within what the configuration allows. The check is RECOVER: a ready machine takes new connections.

use std::{
    net::{SocketAddr, TcpStream},
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Call, Outcome, ask, connect, exchange},
    site::{KEY, Site, Verdict, request_id},
};

/// Descriptors of a `front` machine.
pub const DESCRIPTORS: u32 = 4100;
/// New users a second, at all gateways together.
const USERS_PER_SECOND: u32 = 150;
const PLAY: Duration = Duration::from_secs(34);
const CONTACT: Duration = Duration::from_millis(3000);

pub fn run(root: &Path, record: &Path, trouble: bool) -> Verdict {
    let Some(site) = Site::start_with(root, record, 4) else { return Verdict::CouldNotRun };
    let runners: Vec<_> = [("shelf", "i-c40c11d2", 7101), ("shelf", "i-a9e3077f", 7102), ("ledger", "i-b6610e95", 7103)]
        .into_iter()
        .filter_map(|(service, id, port)| site.runner(service, id, port, Duration::from_millis(5)))
        .collect();
    let mut gateways: Vec<_> = (1..=4)
        .filter_map(|number| {
            let mut place = site.place(number);
            place.descriptors = Some(DESCRIPTORS);
            site.gateway(place)
        })
        .collect();
    if runners.len() < 3 || gateways.len() < 4 || !gateways.iter().all(|one| one.await_ready(Duration::from_secs(10))) {
        return Verdict::CouldNotRun;
    }
    // The platform asks for readiness once a second, on a connection that it keeps.
    let mut platform: Option<TcpStream> = connect(gateways[0].ready);
    let mut fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    site.record.line("all gateways are ready; traffic starts");
    if trouble {
        gateways.iter_mut().skip(1).for_each(|gateway| gateway.kill());
        fronts.truncate(1);
        site.record.line("front-2, front-3 and front-4 are lost");
    }
    let began = Instant::now();
    let mut kept = Vec::new();
    let mut last_ready = Instant::now();
    let (mut answered_at, mut failed_since, mut failures) = (Instant::now(), None, 0);
    let (mut is_ready, mut longest) = (true, (Duration::ZERO, 0));
    let mut number = 0;
    while began.elapsed() < PLAY {
        let due = Duration::from_secs(1) * number / USERS_PER_SECOND;
        thread::sleep(due.saturating_sub(began.elapsed()));
        if last_ready.elapsed() >= Duration::from_secs(1) {
            last_ready = Instant::now();
            let call = Call::new("GET", "/api/ready", "", "", Duration::from_millis(500));
            let answer = platform.as_mut().map_or(Outcome::NoConnection, |stream| exchange(stream, &call));
            is_ready = answer.status() == 200;
            site.record.line(&format!("front-1 says of itself: {}; {} users keep their connections", answer.text(), kept.len()));
        }
        let front = fronts[number as usize % fronts.len()];
        number += 1;
        let call = Call::new("GET", "/look/van", &request_id(), KEY, Duration::from_millis(300));
        let at = Instant::now();
        let outcome = match connect(front) {
            Some(mut stream) => {
                let outcome = exchange(&mut stream, &call);
                kept.push(stream);
                outcome
            }
            None => Outcome::NoConnection,
        };
        site.record.at(at, &format!("{} GET /look/van to {front}, new connection: {}", call.id, outcome.text()));
        if front != fronts[0] {
            continue;
        }
        if outcome.status() > 0 {
            (answered_at, failed_since, failures) = (Instant::now(), None, 0);
            continue;
        }
        failures += 1;
        failed_since.get_or_insert(at);
        let span = answered_at.elapsed();
        if is_ready && span > longest.0 {
            longest = (span, failures);
        }
        if span > CONTACT * 2 {
            break;
        }
    }
    // Users with connections of their own are still served.
    let served = kept.iter_mut().take(20).filter_map(|stream| {
        let call = Call::new("GET", "/look/van", &request_id(), KEY, Duration::from_millis(500));
        (exchange(stream, &call).status() == 200).then_some(())
    });
    site.record.line(&format!("of 20 kept connections still served: {}", served.count()));
    let last = ask(fronts[0], &Call::new("GET", "/look/van", &request_id(), KEY, Duration::from_millis(1000)));
    site.record.line(&format!("one more new connection to front-1: {}", last.text()));
    let (span, tries) = longest;
    site.record.line(&format!("front-1 said that it is ready and took no new connection for {span:.1?}, while {tries} clients tried"));
    if span >= CONTACT && tries >= 7 { Verdict::Broken } else { Verdict::Held }
}
