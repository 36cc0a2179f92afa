//! Stand-ins of the systems around tanagershift, and its load tool.

use std::process::ExitCode;

use argh::FromArgs;
use env_logger::Env;
use standins::{engine, list, load, ports, samples, service, session, store};

/// Stand-ins of the systems around tanagershift, and its load tool.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(engine::Config),
    Service(service::Config),
    Store(store::Config),
    List(list::Config),
    Ports(ports::Config),
    Samples(samples::Config),
    Session(session::Config),
    Load(load::Config),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    env_logger::Builder::from_env(Env::default().default_filter_or("warn"))
        .format_timestamp_millis()
        .init();
    let outcome = match arguments.command {
        Command::Engine(config) => engine::run(config).await,
        Command::Service(config) => service::run(config).await,
        Command::Store(config) => store::run(config).await,
        Command::List(config) => list::run(config).await,
        Command::Ports(config) => ports::run(&config),
        Command::Samples(config) => samples::run(&config),
        Command::Session(config) => session::run(config).await,
        Command::Load(config) => load::run(config).await,
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}
