//! Plays one case of the review: `review-standins CASE ROOT RECORD`. `TROUBLE=0` leaves the disruption out.

mod gateway;
mod hang;
mod http;
mod json;
mod power;
mod runner;
mod site;
mod store;
mod uploads;

use std::path::Path;

use site::Verdict;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, record] = args.as_slice() else {
        eprintln!("usage: review-standins CASE ROOT RECORD");
        std::process::exit(2);
    };
    let (root, record) = (Path::new(root), Path::new(record));
    gateway::end_after(std::time::Duration::from_secs(115));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "power" => power::run(root, record, trouble),
        "uploads" => uploads::run(root, record, trouble),
        "hang" => hang::run(root, record, trouble),
        _ => Verdict::CouldNotRun,
    };
    println!("{case}, trouble {trouble}: {verdict:?}");
    std::process::exit(verdict as i32);
}
