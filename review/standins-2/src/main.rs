//! Cases of the second review that are scripts: `review-2 CASE REPOSITORY FOLDER` plays one against the project's programs.

mod cut;
mod entries;
mod http;
mod memory;
mod parts;
mod runner;
mod site;
mod stop;

use std::{path::PathBuf, process::ExitCode};

use site::{Fault, Record};

/// Bounds and limits of a small deployment, by the names of the settings file.
pub const BOUNDS: [(&str, &str); 9] = [
    ("bounds.retryBudgetRatio", "0.9"),
    ("bounds.budgetSlack", "58"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.graceS", "8"),
    ("bounds.sessionS", "5"),
    ("bounds.exposeShare", "0.15"),
    ("bounds.exposeSlack", "30"),
    ("limits.memoryMb", "260"),
    ("limits.maxFds", "4100"),
];

/// Where the project and the case are.
pub struct Paths {
    pub root: PathBuf,
    pub case: PathBuf,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [name, address, id] = args.as_slice()
        && name == "engine"
    {
        return match cut::serve(address, id) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let [case, root, folder] = args.as_slice() else {
        eprintln!("usage: review-2 CASE REPOSITORY FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let _started = site::Started;
    let paths = Paths { root: PathBuf::from(root), case: PathBuf::from(folder) };
    match play(case, &paths, trouble) {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, paths: &Paths, trouble: bool) -> Result<bool, Fault> {
    let record = Record::create(&paths.case.join("record.txt"))?;
    let result = match case {
        "cut" => cut::run(paths, &record, trouble),
        "entries" => entries::run(paths, &record, trouble),
        "memory" => memory::run(paths, &record, trouble),
        "parts" => parts::run(paths, &record, trouble),
        "stop" => stop::run(paths, &record, trouble),
        _ => Err(format!("there is no case {case}").into()),
    };
    match &result {
        Ok(broken) => record.line(if *broken { "the rule is broken" } else { "the rule held" }),
        Err(error) => record.line(&format!("the case couldn't run: {error}")),
    }
    result
}
