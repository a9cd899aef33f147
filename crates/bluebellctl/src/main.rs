//! Command line for operators.

use std::process::ExitCode;

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

#[expect(clippy::print_stdout, reason = "the answer is what the tool is for")]
fn print_text(text: &str) {
    println!("{}", text.trim_end());
}
