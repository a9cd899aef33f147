//! Benchmark of an entry's decisions for different numbers of runners: choosing the subset when the list of instances
//! changes, and choosing the version and runner of each request. Also measures admission control per attempt.

#![expect(clippy::print_stdout, reason = "prints the measured times")]

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bluebell_core::{
    gate::{AdmissionRequest, Gate, GateEvent, Work},
    ids::Revision,
    members::{Listed, Members, MembersEvent, Phase, Role},
    quality::Quality,
    routing::{Load, Plan, Subset, Wanted, pick_two},
    settings::{Action, Branch, Record, State},
    units::Priority,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SETTINGS: &str = include_str!("../../../sample_configs/settings/valid/two_crews.yaml");
const VERSIONS: [&str; 3] = ["atlas-small@1", "atlas-small@2", "atlas-large@1"];
const ZONES: usize = 10;
const REQUESTS: u32 = 200_000;

fn plan() -> Plan {
    let branches = Branch::file_from_yaml(SETTINGS).expect("the sample is valid");
    let texts = branches.iter().map(|branch| branch.to_yaml().expect("it can be written")).collect();
    let record = Record {
        revision: Revision(1),
        change: "sample".parse().expect("an id"),
        author: "example".to_owned(),
        action: Action::Set { texts, base: Revision(0) },
    };
    let mut state = State::default();
    state.apply(&record).expect("the sample is valid");
    Plan::new(&state).expect("the sample is valid")
}

fn members(runners: usize) -> Members {
    let listed = |number: usize| Listed {
        instance: format!("sidecar-{number}").parse().expect("an id"),
        role: Role::Sidecar,
        zone: format!("zone-{}", number % ZONES).parse().expect("an id"),
        address: format!("10.{}.{}.1:9000", number / 250, number % 250),
        serves: vec![VERSIONS[number % VERSIONS.len()].to_owned()],
        phase: Phase::Live,
    };
    let mut members = Members::default();
    members.handle(Duration::ZERO, MembersEvent::List((0..runners).map(listed).collect()));
    members
}

fn main() {
    let plan = plan();
    let policy = plan.policy(&"maktabat-vans".parse().expect("an id")).expect("it is in the sample").clone();
    let quality = Quality::default();
    let mut random = StdRng::seed_from_u64(1);
    for runners in [10, 400, 3800] {
        let members = members(runners);
        let start = Instant::now();
        let own = "entry-1".parse().expect("an id");
        let zone = "zone-1".parse().expect("an id");
        let subset = Subset::choose(&own, &zone, &members.listed_sidecars());
        let subset_time = start.elapsed();
        let start = Instant::now();
        // Sum of the chosen indices, printed so that the results are used.
        let mut sum = 0;
        for request in 0..REQUESTS {
            let seed = format!("{request:x}");
            let found = plan.candidates(&policy, &Wanted::Any, &quality, &seed).expect("one is allowed");
            let known = &subset.by_target[found[0].as_str()];
            let loads: Vec<Load> =
                known.iter().map(|_| Load { own: 1, reported: random.random(), other_zone: false }).collect();
            sum += pick_two(&loads, &mut random).expect("there are some");
        }
        let request_time = start.elapsed() / REQUESTS;
        println!(
            "{runners:>5} runners: subset of {:>2} in {subset_time:?}, version and runner in {request_time:?} ({sum})",
            subset.members().len()
        );
    }
    gate_cost(Arc::new(plan));
}

fn gate_cost(plan: Arc<Plan>) {
    let mut gate = Gate::new(64, VERSIONS.iter().map(|text| (*text).to_owned()).collect());
    gate.handle(Duration::ZERO, GateEvent::Plan { revision: Revision(1), plan });
    let start = Instant::now();
    for number in 0..REQUESTS {
        let attempt = format!("attempt-{number}").parse().expect("an id");
        let ask = AdmissionRequest {
            attempt,
            org: "maktabat".parse().expect("an id"),
            branch: "maktabat-vans".parse().expect("an id"),
            work: Work::Version(VERSIONS[0].parse().expect("an id")),
            priority: Priority::Urgent,
            cost: 100,
            max_wait: Duration::from_secs(1),
            two_step: false,
            resumed: false,
            isolated: false,
        };
        let attempt = ask.attempt.clone();
        gate.handle(Duration::from_micros(u64::from(number)), GateEvent::Ask(ask));
        gate.handle(Duration::from_micros(u64::from(number)), GateEvent::Finish { attempt });
    }
    println!("gate: {:?} per attempt from request to completion", start.elapsed() / REQUESTS);
}
