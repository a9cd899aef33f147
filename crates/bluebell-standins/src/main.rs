//! Entry point of the `bluebell-standins` binary.

use std::process::ExitCode;

use bluebell_standins::{args, run};

#[tokio::main]
async fn main() -> ExitCode {
    match run(args::options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bluebell-standins: {error}");
            ExitCode::FAILURE
        }
    }
}
