//! Prompt parts that crash each upstream which begins an answer on them. No two requests with such a part are alike, and
//! sound ones share their caller and their other parts.

use std::time::Duration;

use bluebell_standins::site::{Poison, PoisonMarker, StoreMode};
use futures_util::future::join_all;
use indexmap::IndexMap;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::{
    caller::{Answer, Ask},
    site::Site,
    until,
};

/// The part that crashes upstreams.
const POISON_PART: &str = "bad0";
/// A part that all requests share.
const COMMON_PART: &str = "c0";
/// Number of engines.
const ENGINES: usize = 8;
/// Time from the crash of an upstream to its restart.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Crash from which on the users' requirements count.
const COUNTED_CRASH: usize = 5;
/// Time after that crash in which further sends are not counted.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of sends that the users' requirement allows after that time.
const MAX_LATE_SENDS: usize = 3;
/// Pause between two requests with the poison part.
const POISON_PAUSE: Duration = Duration::from_millis(120);
/// Number of callers of sound requests.
const SOUND_CALLERS: usize = 12;

/// Starts gateways in front of engines that crash after the given number of events of an answer on the poison part.
async fn start_site(gateway_count: usize, events: u64) -> Site {
    let mut site = Site::start(gateway_count).await;
    for number in 3..=ENGINES {
        site.add_engine(&format!("chat-{number}"), "v1").await;
    }
    for upstream in &site.chat {
        let marker = PoisonMarker::Part(POISON_PART.to_owned());
        upstream.set_poison(Some(Poison { marker, events, down: RESTART_DELAY }));
    }
    site.register_all();
    site.wait_for_peer_connections().await;
    sleep(Duration::from_millis(300)).await;
    site
}

/// A request that shares only the common part and `part` with others.
fn request_with_part(id: &str, part: &str) -> Ask {
    let parts = format!("{COMMON_PART}:40,{part}:30,own-{id}:30");
    Ask::new("/talk/1", id)
        .header("model", "*")
        .header("token-count", "100,50")
        .header("prompt-prefix", &parts)
        .body(&format!("body of {id}"))
}

/// Sends different requests with the poison part for the given time, by turns to the gateways, without waiting for answers.
async fn send_poison_part(site: &Site, id_prefix: &str, duration: Duration) {
    let sends = (0..(duration.as_millis() / POISON_PAUSE.as_millis()) as u32).map(|number| async move {
        sleep(POISON_PAUSE * number).await;
        let gateway = &site.gateways[number as usize % site.gateways.len()];
        gateway.ask(&request_with_part(&format!("{id_prefix}-{number}"), POISON_PART)).await
    });
    for answer in join_all(sends).await {
        assert!(!answer.complete || answer.status >= 500, "{answer:?}");
    }
}

/// A sound request and its answer.
#[derive(Debug)]
struct SoundRequest {
    sent: Instant,
    answer: Answer,
}

impl SoundRequest {
    fn has_begun(&self) -> bool {
        self.answer.status == 200 && !self.answer.events().is_empty()
    }
}

/// Runs callers of sound requests for the given time. Each request is sent once; its second part comes from a set of 40.
async fn run_sound_callers(site: &Site, duration: Duration) -> Vec<SoundRequest> {
    let callers = (0..SOUND_CALLERS).map(|caller| async move {
        let (started, mut requests) = (Instant::now(), Vec::new());
        while started.elapsed() < duration {
            let number = requests.len();
            let gateway = &site.gateways[(caller + number) % site.gateways.len()];
            let part = format!("p{}", (caller * 7 + number * 3) % 40);
            let ask = request_with_part(&format!("s-{caller}-{number}"), &part);
            let sent = Instant::now();
            requests.push(SoundRequest { sent, answer: gateway.ask(&ask).await });
            sleep(Duration::from_millis(40)).await;
        }
        requests
    });
    join_all(callers).await.into_iter().flatten().collect()
}

/// Times at which upstreams started to run requests with the poison part, and times of the crashes that this caused, in
/// order.
fn poison_times(site: &Site) -> (Vec<Instant>, Vec<Instant>) {
    let marker = PoisonMarker::Part(POISON_PART.to_owned());
    let runs = site.chat.iter().flat_map(|upstream| upstream.runs()).filter(|run| marker.matches(&run.request));
    let runs: Vec<(String, Instant)> = runs.map(|run| (run.upstream, Instant::from_std(run.began))).collect();
    let mut crashes: IndexMap<&str, Instant> = IndexMap::new();
    for (upstream, began) in &runs {
        let first = crashes.entry(upstream).or_insert(*began);
        *first = (*first).min(*began);
    }
    let mut crashes: Vec<Instant> = crashes.into_values().collect();
    let mut sends: Vec<Instant> = runs.iter().map(|(_, began)| *began).collect();
    crashes.sort();
    sends.sort();
    (sends, crashes)
}

/// Checks the users' requirements on a site at which all requests were sent.
fn check_requirements(site: &Site, sound: &[SoundRequest]) {
    let (sends, crashes) = poison_times(site);
    let counted = crashes.get(COUNTED_CRASH - 1).or(crashes.last()).copied().expect("an upstream should have crashed");
    let late = sends.iter().filter(|at| **at > counted + CONTACT_TIME).count();
    let late_sound: Vec<&SoundRequest> = sound.iter().filter(|one| one.sent > counted + CONTACT_TIME * 2).collect();
    let begun = late_sound.iter().filter(|one| one.has_begun()).count();
    let summary = format!(
        "{late} late sends of {}, {} crashes, {begun} of {} late sound requests begun",
        sends.len(),
        crashes.len(),
        late_sound.len()
    );
    eprintln!("{summary}");
    assert!(late <= MAX_LATE_SENDS, "{summary}");
    assert!(late_sound.len() >= 20 && begun * 2 >= late_sound.len(), "{summary}");
}

async fn check_that_sends_stop(events: u64) {
    let site = start_site(3, events).await;
    let duration = Duration::from_secs(14);
    let (_, sound) = tokio::join!(send_poison_part(&site, "bad", duration), run_sound_callers(&site, duration));
    check_requirements(&site, &sound);
}

#[tokio::test]
async fn requests_with_a_part_that_crashes_upstreams_before_an_answer_stop() {
    check_that_sends_stop(0).await;
}

#[tokio::test]
async fn requests_with_a_part_that_crashes_upstreams_within_an_answer_stop() {
    check_that_sends_stop(1).await;
}

#[tokio::test]
async fn requests_with_a_crashing_part_stop_while_the_store_is_down() {
    let site = start_site(3, 0).await;
    for gateway in &site.gateways {
        gateway.store_mode.send_replace(StoreMode::Reset);
    }
    let duration = Duration::from_secs(14);
    send_poison_part(&site, "bad", duration).await;
    let (sends, crashes) = poison_times(&site);
    let counted = crashes.get(COUNTED_CRASH - 1).or(crashes.last()).copied().expect("an upstream should have crashed");
    let late = sends.iter().filter(|at| **at > counted + CONTACT_TIME).count();
    assert!(late <= MAX_LATE_SENDS, "{late} late sends of {}, {} crashes", sends.len(), crashes.len());
}

/// Waits until a gateway has blocked a prompt part, and until the upstreams have restarted.
async fn wait_until_blocked(site: &Site, gateway: usize) {
    until("the part to be blocked", || async {
        site.gateways[gateway].process.log().contains("prompt part is blocked")
    })
    .await;
    sleep(RESTART_DELAY * 2).await;
}

/// Checks that a gateway refuses requests with the poison part at once and as not run, and serves a sound one.
async fn check_blocked(site: &Site, gateway: usize, id: &str) {
    let started = Instant::now();
    let refused = site.gateways[gateway].ask(&request_with_part(id, POISON_PART)).await;
    assert!(started.elapsed() < Duration::from_millis(300), "answered after {:?}", started.elapsed());
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.body.contains("a part of this prompt"), "{refused:?}");
    assert!(refused.header("retry-after").parse::<f64>().is_ok_and(|seconds| seconds > 60.0), "{refused:?}");
    assert!(site.runs(id).is_empty(), "refused as not run, but ran");
    let served = site.gateways[gateway].ask(&request_with_part(&format!("{id}-sound"), "p1")).await;
    assert_eq!((served.status, served.complete), (200, true), "{served:?}");
}

#[tokio::test]
async fn crashing_part_is_still_blocked_at_gateways_that_restart_or_join() {
    let mut site = start_site(2, 0).await;
    send_poison_part(&site, "bad", Duration::from_secs(4)).await;
    wait_until_blocked(&site, 0).await;
    site.gateways[1].process.kill();
    site.gateways[1].process.restart();
    site.add_gateway(2).await;
    for gateway in 0..3 {
        until("a gateway to be ready", || site.gateways[gateway].is_ready()).await;
        check_blocked(&site, gateway, &format!("again-{gateway}")).await;
    }
    let log = site.gateways[0].process.log();
    let lines: Vec<Value> = log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    let refused = lines.iter().find(|line| line["request"] == "again-0").expect("the refusal should be logged");
    let part = refused["blocked"].as_str().expect("the refusal should name what is blocked");
    assert!(refused["parts"].as_str().is_some_and(|parts| parts.contains(part)), "{refused}");
    let names_part = |line: &&Value| line["fingerprints"].as_str().is_some_and(|all| all.contains(part));
    assert!(lines.iter().filter(names_part).count() >= 3, "the crash reports should name the part");
}

#[tokio::test]
async fn part_that_is_the_last_of_a_prompt_is_not_blocked() {
    let site = start_site(1, 0).await;
    let parts = format!("{COMMON_PART}:40,own:30,{POISON_PART}:30");
    for number in 0..6 {
        let ask = Ask::new("/talk/1", &format!("r-{number}")).header("model", "*").header("prompt-prefix", &parts);
        let answer = site.gateways[0].ask(&ask.body(&format!("body {number}"))).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
}

#[tokio::test]
async fn logs_name_the_shared_parts_of_a_request_whose_upstream_crashed() {
    let site = start_site(1, 0).await;
    let (id, other_id) = ("bad-1", "bad-2");
    for id in [id, other_id] {
        site.gateways[0].ask(&request_with_part(id, POISON_PART)).await;
    }
    let log = site.gateways[0].process.log();
    let lines: Vec<Value> = log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    let find = |id: &str, message: &str| {
        let is_it = |line: &&Value| {
            line["request"] == id && line["message"].as_str().is_some_and(|text| text.starts_with(message))
        };
        lines.iter().find(is_it).unwrap_or_else(|| panic!("no line {message:?} of {id}"))
    };
    let parts = find(id, "attempt failed")["parts"].clone();
    assert_eq!(parts.as_str().map(|text| text.split(' ').count()), Some(2), "the last part is not shared: {parts}");
    assert_eq!(find(other_id, "attempt failed")["parts"], parts);
    assert_eq!(find(id, "given up")["parts"], parts);
    assert!(!log.contains(POISON_PART), "the part's id is in the log");
}
