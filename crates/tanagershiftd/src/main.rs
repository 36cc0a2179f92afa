//! The daemon: one host of the system.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use env_logger::Env;
use tanagershift::{
    daemon::{Daemon, Error},
    settings::Settings,
};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a host that could not start or go on.
const EXIT_FAILED: u8 = 1;

/// One host of tanagershift, a serving layer for very many LoRA adapters.
#[derive(FromArgs)]
struct Arguments {
    /// settings file
    #[argh(option)]
    config: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
    let settings = match Settings::read(&arguments.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("tanagershiftd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: ok", arguments.config.display());
        return ExitCode::SUCCESS;
    }
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tanagershiftd: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs until the first signal, then shuts down; a second signal exits at once.
async fn run(settings: Settings) -> Result<(), Error> {
    let mut daemon = Daemon::start(settings).await?;
    tokio::select! {
        () = signalled() => {}
        error = daemon.failed() => return Err(error),
    }
    tokio::select! {
        () = daemon.shutdown() => Ok(()),
        () = signalled() => Ok(()),
    }
}

/// Waits for the signal to terminate, or to interrupt.
async fn signalled() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        // Without handlers the system ends the process itself.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
