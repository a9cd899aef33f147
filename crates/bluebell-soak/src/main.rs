//! Executable of the soak test; exits with a failure if a rule was violated.

use std::process::ExitCode;

use bluebell_soak::{args, run};

#[tokio::main]
async fn main() -> ExitCode {
    match run(&args::options().run()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("bluebell-soak: {error}");
            ExitCode::FAILURE
        }
    }
}
