//! Command line of the daemon.

use std::process::ExitCode;

use bluebelld::{args, run};

fn main() -> ExitCode {
    match run(&args::options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bluebelld: {error}");
            ExitCode::FAILURE
        }
    }
}
