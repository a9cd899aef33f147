//! Command line for operators.

use std::{io::Write, process::ExitCode};

use bluebellctl::{args, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = args::options().run();
    match run(&options).await {
        Ok(text) => {
            print_text(&text);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("bluebellctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn print_text(text: &str) {
    // A reader that has seen enough closes the pipe; that is no fault.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}
