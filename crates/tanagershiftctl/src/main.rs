//! The operators' tool.

mod arguments;
mod commands;
mod quarantine;
mod table;

use std::process::ExitCode;

use arguments::Arguments;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match commands::run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tanagershiftctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
