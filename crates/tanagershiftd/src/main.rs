//! The daemon: one host of the system.

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use argh::FromArgs;
use env_logger::{Env, Target};
use tanagershift::{
    daemon::{Daemon, Error},
    gateway,
    settings::Settings,
};
use tanagershift_platform::Platform;
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    time::{sleep, timeout},
};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a host that could not start or go on.
const EXIT_FAILED: u8 = 1;
/// Log lines that wait for a slow output; more are dropped and counted.
const LOG_LINES: usize = 4096;
/// Time between two readings of the settings file when no signal asks for one.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two looks at the number of dropped log lines.
const COUNT_INTERVAL: Duration = Duration::from_secs(5);
/// Threads that run tasks; a host has less than one core, and waiting for the disk gets a thread of
/// its own.
const WORKERS: usize = 1;
/// Stack of each thread in bytes.
const STACK: usize = 512 << 10;

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

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
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
    let (_flushed_at_exit, dropped) = start_log();
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .thread_stack_size(STACK)
        .enable_all()
        .build();
    let outcome =
        runtime.map(|runtime| runtime.block_on(run(settings, &arguments.config, dropped)));
    match outcome {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("tanagershiftd: {error}");
            ExitCode::from(EXIT_FAILED)
        }
        Err(error) => {
            eprintln!("tanagershiftd: cannot start the runtime: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Sends log lines to standard output without ever waiting for it.
fn start_log() -> (WorkerGuard, ErrorCounter) {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_LINES)
        .finish(io::BufWriter::new(io::stdout()));
    let dropped = writer.error_counter();
    env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .target(Target::Pipe(Box::new(writer)))
        .init();
    (guard, dropped)
}

/// Runs until the first signal, then shuts down; a second signal exits at once.
async fn run(mut settings: Settings, file: &Path, dropped: ErrorCounter) -> Result<(), Error> {
    match settings.gateway.take() {
        Some(config) => {
            let platform = Arc::new(Platform);
            let daemon = gateway::daemon::Daemon::start(settings, config, platform).await?;
            tokio::select! {
                () = signalled() => {}
                () = keep_reading(&daemon, file) => {}
                () = count_dropped(&daemon, &dropped) => {}
            }
            tokio::select! {
                () = daemon.shutdown() => Ok(()),
                () = signalled() => Ok(()),
            }
        }
        None => {
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
    }
}

/// Reads the settings again at each hangup signal and now and then, since they may change without
/// one.
async fn keep_reading(daemon: &gateway::daemon::Daemon, file: &Path) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    loop {
        // Either way the settings are read.
        let _ = timeout(RELOAD_INTERVAL, hangup.recv()).await;
        match Settings::read(file) {
            Ok(settings) => daemon.reload(&settings),
            Err(error) => log::error!("event=reload.failed reason={:?}", error.to_string()),
        }
    }
}

/// Keeps the figure of log lines that were dropped up to date.
async fn count_dropped(daemon: &gateway::daemon::Daemon, dropped: &ErrorCounter) {
    loop {
        sleep(COUNT_INTERVAL).await;
        daemon.set_dropped_lines(dropped.dropped_lines());
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
