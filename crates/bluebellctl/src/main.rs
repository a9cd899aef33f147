//! Executable `bluebellctl`.

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
    // Write errors are ignored: a reader such as `head` may close the pipe early, which is not a failure.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}
