//! Drives the real decisions against small models of engines and store, in virtual time.
//!
//! An hour of a deployment takes seconds, and the same seed gives the same figures every time.

mod bound;
mod report;
mod workload;
mod world;

use argh::FromArgs;

use crate::{
    report::Report,
    workload::{Deployment, Workload},
    world::{Routing, World},
};

/// Drive the real decisions against small models of engines and store, in virtual time.
#[derive(FromArgs)]
struct Arguments {
    /// what: one, baselines, slots, skew, loads, shift, overload, all
    #[argh(positional)]
    what: String,
    /// deployment: cumbre or glasinzamel
    #[argh(option, default = "Deployment::Cumbre")]
    deployment: Deployment,
    /// how replicas are chosen: ours, random, least-loaded or rendezvous
    #[argh(option, default = "Routing::Ours")]
    routing: Routing,
    /// requests a second
    #[argh(option, default = "12.0")]
    rate: f64,
    /// seconds of virtual time
    #[argh(option, default = "1800")]
    seconds: u64,
    /// exponent of the popularity (Zipf)
    #[argh(option, default = "1.0")]
    skew: f64,
    /// adapters that fit on an engine
    #[argh(option, default = "8")]
    slots: usize,
    /// loads that one replica does at once
    #[argh(option, default = "2")]
    loads: usize,
    /// seed of arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let base = Workload {
        deployment: arguments.deployment,
        rate: arguments.rate,
        seconds: arguments.seconds,
        skew: arguments.skew,
        slots: arguments.slots,
        loads: arguments.loads,
        seed: arguments.seed,
        ..Workload::default()
    };
    let names: Vec<&str> = match arguments.what.as_str() {
        "all" => vec!["baselines", "slots", "skew", "loads", "shift", "overload"],
        other => vec![other],
    };
    for name in names {
        let rows = rows(name, &base, arguments.routing);
        if arguments.json {
            for (label, report) in &rows {
                println!("{}", report.json(label));
            }
            continue;
        }
        println!(
            "### {name}: {}, seed {}\n",
            base.deployment.name(),
            base.seed
        );
        report::print(&rows);
        println!();
    }
}

/// The runs of one table, each with its label.
fn rows(name: &str, base: &Workload, routing: Routing) -> Vec<(String, Report)> {
    let run =
        |label: String, workload: Workload, routing| (label, World::new(&workload, routing).run());
    match name {
        "one" => vec![run("one run".to_owned(), base.clone(), routing)],
        "baselines" => Routing::ALL
            .iter()
            .map(|routing| run(routing.name().to_owned(), base.clone(), *routing))
            .collect(),
        "slots" => [4, 8, 16]
            .iter()
            .map(|slots| {
                let workload = Workload {
                    slots: *slots,
                    ..base.clone()
                };
                run(format!("{slots} slots"), workload, routing)
            })
            .collect(),
        "skew" => [0.8, 1.0, 1.2]
            .iter()
            .map(|skew| {
                let workload = Workload {
                    skew: *skew,
                    ..base.clone()
                };
                run(format!("Zipf {skew}"), workload, routing)
            })
            .collect(),
        "loads" => [1, 2, 8]
            .iter()
            .map(|loads| {
                let workload = Workload {
                    loads: *loads,
                    ..base.clone()
                };
                run(format!("{loads} loads at once"), workload, routing)
            })
            .collect(),
        "shift" => {
            let shifted = Workload {
                shift_at: Some(base.seconds / 2),
                ..base.clone()
            };
            let restarts = Workload {
                restart_every: Some(300),
                ..base.clone()
            };
            let waking = Workload {
                waking_percent: 54,
                ..base.clone()
            };
            vec![
                run("steady".to_owned(), base.clone(), routing),
                run(
                    "popularity shifts at half time".to_owned(),
                    shifted,
                    routing,
                ),
                run(
                    "an engine restarts every 300 s".to_owned(),
                    restarts,
                    routing,
                ),
                run("54% wake or idle an hour".to_owned(), waking, routing),
            ]
        }
        "overload" => [0.5, 0.8, 1.0, 1.5, 3.0]
            .iter()
            .map(|share| {
                let workload = Workload {
                    // Few adapters, so that the engines and not the store are the limit.
                    adapters: base.slots * 12,
                    rate: base.deployment.engine_capacity() * share,
                    seconds: base.seconds.min(300),
                    ..base.clone()
                };
                run(format!("{share} of capacity"), workload, routing)
            })
            .collect(),
        other => panic!("unknown table `{other}`"),
    }
}
