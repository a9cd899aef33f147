//! Command line of the daemon.

use std::process::ExitCode;

use bluebelld::{args, run};

/// Requests allocate many small pieces on one thread and free them on another.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    match run(&args::options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bluebelld: {error}");
            ExitCode::FAILURE
        }
    }
}
