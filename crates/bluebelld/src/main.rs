//! Entry point of the daemon.

use std::process::ExitCode;

use bluebelld::{args, run};

/// mimalloc, because requests allocate many small blocks on one thread and free them on another.
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
