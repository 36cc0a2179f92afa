//! Measures the real programs on loopback; `docs/MEASUREMENTS.md` holds what it printed.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use argh::FromArgs;
use hyper::Method;
use proofs::{
    process::usage,
    site::{Plan, Site},
};
use prost::Message;
use serde_json::{Value, json};
use standins::load;
use tanagershift::{
    follower::Leader,
    link::{Greeting, Pool},
    voter::command::{Claim, Command, Order},
    wire::{Body, Follow, Heartbeat, Query},
};
use tokio::{task::JoinSet, time::sleep};

/// Requests a second of the measurement of the added time.
const HOP_RATE: f64 = 200.0;
/// Tokens of its answers, at 20 ms each: 64 streams are open.
const HOP_TOKENS: u32 = 16;
/// Requests a second of plain calls.
const PLAIN_RATE: f64 = 2000.0;

/// Time between two heartbeats of a host.
const BEAT: Duration = Duration::from_millis(400);
/// Bytes around a message: length, stream and kind, and the headers of TCP and IP both ways.
const FRAME_OVERHEAD: usize = 4 + 8 + 2 * 52;

/// Measure the real programs on loopback.
#[derive(FromArgs)]
struct Arguments {
    /// what: hop, plain, memory, in-force, leader, holder, commits, restart, scale
    #[argh(positional)]
    what: String,
    /// seconds of each load
    #[argh(option, default = "20")]
    seconds: u64,
    /// adapters (memory)
    #[argh(option, default = "3000")]
    adapters: usize,
    /// voters
    #[argh(option, default = "3")]
    voters: usize,
    /// hosts that beat and follow (scale)
    #[argh(option, default = "11")]
    hosts: usize,
    /// replicas that are listed (scale)
    #[argh(option, default = "18")]
    replicas: usize,
    /// rounds of a failure, or of a publish
    #[argh(option, default = "10")]
    rounds: usize,
    /// entries in the log (restart)
    #[argh(option, default = "500")]
    entries: usize,
    /// entries after which a snapshot is written (restart)
    #[argh(option, default = "4096")]
    snapshot_every: usize,
}

#[tokio::main]
async fn main() {
    let arguments: Arguments = argh::from_env();
    let report = match arguments.what.as_str() {
        "hop" => hop(&arguments).await,
        "plain" => plain(&arguments).await,
        "memory" => memory(&arguments).await,
        "in-force" => in_force(&arguments).await,
        "leader" => leader(&arguments).await,
        "holder" => holder(&arguments).await,
        "commits" => commits(&arguments).await,
        "restart" => restart(&arguments).await,
        "scale" => scale(&arguments).await,
        other => panic!("unknown measurement `{other}`"),
    };
    println!("{report:#}");
}

/// Quantiles of times, in milliseconds.
fn quantiles(mut times: Vec<Duration>) -> Value {
    times.sort();
    let at = |share: f64| {
        let last = times.len().saturating_sub(1);
        let time = times.get((last as f64 * share).round() as usize);
        time.map_or(0.0, |time| (time.as_secs_f64() * 10_000.0).round() / 10.0)
    };
    json!({ "count": times.len(), "p50_ms": at(0.5), "p99_ms": at(0.99), "max_ms": at(1.0) })
}

/// What the path entry, holder, engine adds to the time to the first token over a direct call.
async fn hop(arguments: &Arguments) -> Value {
    let engine = ["--slots", "64", "--batch", "512", "--step-us", "20000"];
    let site = Site::start(Plan {
        engines: 2,
        engine: engine.iter().map(|text| (*text).to_owned()).collect(),
        entry: "[holder]\nslots = 32\nbatch = 256".to_owned(),
        ..Plan::default()
    })
    .await;
    for number in 1..=2 {
        let url = format!(
            "http://{}/v1/load_lora_adapter",
            site.address(&format!("engine{number}"))
        );
        let body = json!({ "lora_name": "plan-000000@1", "lora_path": "plan/1" }).to_string();
        let reply = site.client.send(Method::POST, &url, &[], body).await;
        assert!(
            reply.is_ok_and(|reply| reply.status == 200),
            "an adapter is loaded directly"
        );
    }
    site.complete("entry1", "plan@1", "warm").await;
    let mut rounds = Vec::new();
    for _ in 0..2 {
        let config = |targets: [&str; 2], prefix: &str, suffix: &str| load::Config {
            target: targets.iter().map(|name| socket(&site, name)).collect(),
            rate: HOP_RATE,
            seconds: arguments.seconds,
            prefix: prefix.to_owned(),
            suffix: suffix.to_owned(),
            models: 1,
            skew: 1.0,
            tokens: HOP_TOKENS,
            path: None,
            seed: 1,
            strict: true,
        };
        let direct = load::measure(config(["engine1", "engine2"], "plan-", "@1")).await;
        let through = load::measure(load::Config {
            models: 0,
            ..config(["entry1", "entry2"], "plan@1", "")
        })
        .await;
        let direct = direct.expect("the direct calls succeed");
        let through = through.expect("the calls through the system succeed");
        let added = |key: &str| {
            let of = |report: &Value| report["first_token"][key].as_f64().unwrap_or(0.0);
            ((of(&through) - of(&direct)) * 1000.0).round() / 1000.0
        };
        rounds.push(json!({
            "direct": direct["first_token"], "through": through["first_token"],
            "added_p50_ms": added("p50_ms"), "added_p99_ms": added("p99_ms"),
            "outcomes": through["outcomes"],
        }));
    }
    json!({ "rate": HOP_RATE, "rounds": rounds })
}

fn socket(site: &Site, name: &str) -> std::net::SocketAddr {
    site.address(name).parse().expect("it is an address")
}

/// Processor time of short plain calls, through an entry host and direct.
async fn plain(arguments: &Arguments) -> Value {
    let site = Site::start(Plan::default()).await;
    let config = |target: &str, path: &str| load::Config {
        target: vec![socket(&site, target)],
        rate: PLAIN_RATE,
        seconds: arguments.seconds,
        prefix: String::new(),
        suffix: String::new(),
        models: 1,
        skew: 1.0,
        tokens: 1,
        path: Some(path.to_owned()),
        seed: 1,
        strict: true,
    };
    let mut report = json!({ "rate": PLAIN_RATE });
    let runs = [
        ("direct", "service1", "service1", "/fill/7"),
        ("through", "entry1", "entry1", "/services/booking/fill/7"),
    ];
    for (name, target, process, path) in runs {
        let before = usage(site.id(process)).processor;
        let load = load::measure(config(target, path))
            .await
            .expect("the calls succeed");
        let used = usage(site.id(process)).processor - before;
        let sent = load["sent"].as_f64().unwrap_or(1.0);
        report[name] = json!({
            "requests_per_core_second": (sent / used.as_secs_f64()).round(),
            "whole": load["whole"],
        });
    }
    let rate = |name: &str| {
        report[name]["requests_per_core_second"]
            .as_f64()
            .unwrap_or(0.0)
    };
    let ratio = rate("through") / rate("direct");
    report["ratio"] = json!((ratio * 100.0).round() / 100.0);
    report
}

/// Memory of idle hosts by the number of adapters, and what a host's restart takes.
async fn memory(arguments: &Arguments) -> Value {
    let mut site = Site::start(Plan::default()).await;
    let began = Instant::now();
    publish_adapters(&site, arguments.adapters).await;
    let published = began.elapsed();
    sleep(Duration::from_secs(3)).await;
    let of = |site: &Site, name: &str| usage(site.id(name)).memory_mib.round();
    let entry = of(&site, "entry1");
    let leader = site.leader().expect("a leader is known");
    let leads = of(&site, &leader);
    site.kill("entry1");
    let began = Instant::now();
    site.launch("entry1");
    site.until_ready("entry1").await;
    let ready = began.elapsed();
    sleep(Duration::from_secs(1)).await;
    let before = usage(site.id("entry1")).processor;
    sleep(Duration::from_secs(20)).await;
    let idle = usage(site.id("entry1")).processor - before;
    json!({
        "adapters": arguments.adapters,
        "entry_mib": entry,
        "entry_after_restart_mib": of(&site, "entry1"),
        "leader_mib": leads,
        "publish_all_s": published.as_secs_f64(),
        "restart_to_ready_s": ready.as_secs_f64(),
        "idle_percent_of_a_core": idle.as_secs_f64() / 20.0 * 100.0,
    })
}

/// Publishes adapters with one version each, in change sets of ten thousand.
async fn publish_adapters(site: &Site, count: usize) {
    const CHUNK: usize = 10_000;
    for start in (0..count).step_by(CHUNK) {
        let files: Vec<(String, String)> = (start..count.min(start + CHUNK))
            .flat_map(|number| {
                let name = format!("student-{number:06}");
                let adapter =
                    format!("[adapter]\nname = {name}\nbase = alphorn\naudience = academies\n");
                let version =
                    format!("[version]\nadapter = {name}\nnumber = 1\nweights = a/{name}/1\n");
                [
                    (format!("{name}.ini"), adapter),
                    (format!("{name}-1.ini"), version),
                ]
            })
            .collect();
        let files: Vec<(&str, &str)> = files
            .iter()
            .map(|(name, text)| (name.as_str(), text.as_str()))
            .collect();
        site.write_files(&files);
        let output = site.ctl(&["publish", "FILES", "--wait"]);
        assert!(output.status.success(), "{output:?}");
    }
}

/// Time from an accepted change until it is in force on every host.
async fn in_force(arguments: &Arguments) -> Value {
    let site = Site::start(Plan::default()).await;
    let hosts = ["voter1", "voter2", "voter3", "entry1", "entry2"];
    let mut times = Vec::new();
    for number in 2..2 + arguments.rounds {
        let version =
            format!("[version]\nadapter = plan\nnumber = {number}\nweights = w/{number}\n");
        site.write_files(&[("plan.ini", &version)]);
        let report = site.report(&["publish", "FILES"]);
        let accepted = Instant::now();
        let revision = report["revision"].as_u64().expect("it is accepted");
        for host in hosts {
            while revision_of(&site, host).await < revision {
                sleep(Duration::from_millis(1)).await;
            }
        }
        times.push(accepted.elapsed());
    }
    json!({ "accepted_to_in_force_everywhere": quantiles(times) })
}

/// Revision in force on a host, by its metrics.
async fn revision_of(site: &Site, host: &str) -> u64 {
    let reply = site.admin(host, "/metrics").await;
    let text = reply.map_or(String::new(), |reply| {
        String::from_utf8_lossy(&reply.body).into_owned()
    });
    let name = "tanagershift_revision_in_force ";
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|text| text.parse().ok()).unwrap_or(0)
}

async fn publish_until_accepted(site: &mut Site, number: usize) -> Duration {
    let version = format!("[version]\nadapter = plan\nnumber = {number}\nweights = w/{number}\n");
    site.write_files(&[("plan.ini", &version)]);
    let id = format!("version-{number}");
    let arguments = ["publish", "FILES", "--id", id.as_str(), "--timeout", "10"];
    site.until("accepted", |site| site.ctl(&arguments).status.success())
        .await
}

/// Time without an accepting leader after it is killed, and after it is frozen.
async fn leader(arguments: &Arguments) -> Value {
    let mut site = Site::start(Plan {
        voters: arguments.voters,
        ..Plan::default()
    })
    .await;
    let (mut killed, mut frozen) = (Vec::new(), Vec::new());
    for round in 0..arguments.rounds {
        let leads = site.leader().expect("a leader is known");
        site.kill(&leads);
        killed.push(publish_until_accepted(&mut site, 100 + round).await);
        site.launch(&leads);
        sleep(Duration::from_secs(2)).await;
        let leads = site.leader().expect("a leader is known");
        site.freeze(&leads);
        frozen.push(publish_until_accepted(&mut site, 1000 + round).await);
        site.thaw(&leads);
        sleep(Duration::from_secs(2)).await;
    }
    json!({ "voters": arguments.voters, "killed": quantiles(killed), "frozen": quantiles(frozen) })
}

/// Time until a replica serves again after its holder is killed, and the longest wait of a request
/// while it is handed over on purpose.
async fn holder(arguments: &Arguments) -> Value {
    let mut site = Site::start(Plan {
        engines: 1,
        ..Plan::default()
    })
    .await;
    site.complete("entry1", "plan@1", "warm").await;
    let (mut killed, mut handed) = (Vec::new(), Vec::new());
    for _ in 0..arguments.rounds {
        let (holds, other) = holders(&site);
        site.kill(&holds);
        let began = Instant::now();
        until_served(&site, &other).await;
        killed.push(began.elapsed());
        site.launch(&holds);
        site.until_ready(&holds).await;
        sleep(Duration::from_secs(1)).await;
        let (holds, other) = holders(&site);
        site.ctl(&["drain", &holds]);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(2) {
            let asked = Instant::now();
            until_served(&site, &other).await;
            handed.push(asked.elapsed());
        }
        site.ctl(&["drain", &holds, "--undo"]);
    }
    json!({ "killed_until_served": quantiles(killed), "requests_while_handed_over": quantiles(handed) })
}

/// The host that holds the only replica, and the other entry host.
fn holders(site: &Site) -> (String, String) {
    let holds = site.report(&["replicas"])[0]["holder"]
        .as_str()
        .unwrap_or("")
        .to_owned();
    let other = if holds == "entry1" {
        "entry2"
    } else {
        "entry1"
    };
    (holds, other.to_owned())
}

async fn until_served(site: &Site, entry: &str) {
    let body = json!({ "model": "plan@1", "prompt": "x", "max_tokens": 1 }).to_string();
    loop {
        let reply = site
            .send(entry, Method::POST, "/v1/completions", &[], &body)
            .await;
        if reply.is_some_and(|reply| reply.status == 200) {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// Claims a second through the group, with real syncs, by the number of askers.
async fn commits(arguments: &Arguments) -> Value {
    let site = Site::start(Plan {
        voters: arguments.voters,
        ..Plan::default()
    })
    .await;
    let mut rows = Vec::new();
    for askers in [1, 8, 64] {
        let mut tasks = JoinSet::new();
        let until = Instant::now() + Duration::from_secs(arguments.seconds.min(10));
        for asker in 0..askers {
            let leader = group(&site);
            tasks.spawn(async move { claim_until(leader, askers, asker, until).await });
        }
        let mut times = Vec::new();
        while let Some(more) = tasks.join_next().await {
            times.extend(more.expect("an asker does not panic"));
        }
        let seconds = arguments.seconds.min(10) as f64;
        let rate = (times.len() as f64 / seconds).round();
        rows.push(json!({ "askers": askers, "claims_per_second": rate, "time": quantiles(times) }));
    }
    json!({ "voters": arguments.voters, "rows": rows })
}

fn group(site: &Site) -> Leader {
    let token = std::fs::read_to_string(site.path("token")).expect("the token is there");
    let greeting = Greeting {
        host: String::new(),
        token: token.trim().to_owned(),
    };
    let voters = site.voters().split(',').map(str::to_owned).collect();
    Leader::new(Pool::new(greeting), voters)
}

async fn claim_until(leader: Leader, askers: usize, asker: usize, until: Instant) -> Vec<Duration> {
    let mut times = Vec::new();
    let second = Duration::from_secs(1);
    while Instant::now() < until {
        let name = format!("{askers}/{asker}/{}", times.len());
        let claim = Claim {
            key: name.clone(),
            digest: name.clone(),
            owner: name,
            millis: 1000,
        };
        let began = Instant::now();
        let body = Body::Propose(Command::of(Order::Claim(claim)));
        let answer = leader.ask(body, second * 10, second).await;
        assert!(matches!(answer, Ok(Body::Outcome(_))), "{answer:?}");
        times.push(began.elapsed());
    }
    times
}

/// Time from the start of all voters until a change is accepted, by the length of the log.
async fn restart(arguments: &Arguments) -> Value {
    let mut site = Site::start(Plan {
        voter: format!("snapshot-every = {}", arguments.snapshot_every),
        ..Plan::default()
    })
    .await;
    let mut tasks = JoinSet::new();
    let leader = group(&site);
    for asker in 0..50 {
        let leader = leader.clone();
        let count = arguments.entries / 50;
        tasks.spawn(async move {
            for number in 0..count {
                let name = format!("{asker}/{number}");
                let claim = Claim {
                    key: name.clone(),
                    digest: name.clone(),
                    owner: name,
                    millis: 1000,
                };
                let body = Body::Propose(Command::of(Order::Claim(claim)));
                let second = Duration::from_secs(1);
                leader
                    .ask(body, second * 10, second)
                    .await
                    .expect("it is claimed");
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let mut times = Vec::new();
    let voters = ["voter1", "voter2", "voter3"];
    for round in 0..arguments.rounds {
        for voter in voters {
            site.kill(voter);
        }
        let began = Instant::now();
        for voter in voters {
            site.launch(voter);
        }
        publish_until_accepted(&mut site, 100 + round).await;
        times.push(began.elapsed());
    }
    let log = std::fs::metadata(site.path("voter1.data/log"));
    json!({
        "entries": arguments.entries,
        "snapshot_every": arguments.snapshot_every,
        "log_bytes": log.map_or(0, |data| data.len()),
        "start_to_accepted": quantiles(times),
    })
}

/// Processor time and traffic of the leader by the number of hosts that beat and follow.
async fn scale(arguments: &Arguments) -> Value {
    let site = Site::start(Plan {
        entries: 0,
        engines: 0,
        services: 0,
        paper_engines: arguments.replicas,
        ..Plan::default()
    })
    .await;
    let second = Duration::from_secs(1);
    let mut hosts = JoinSet::new();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + second * (arguments.seconds as u32 + 20);
    for number in 0..arguments.hosts {
        let leader = group(&site);
        let follower = group(&site);
        let seen = seen.clone();
        hosts.spawn(async move { beat_until(leader, number, until).await });
        tokio::spawn(async move { follow(follower, number, &seen).await });
    }
    sleep(second * 10).await;
    let leads = site.leader().expect("a leader is known");
    let before = usage(site.id(&leads)).processor;
    sleep(second * arguments.seconds as u32).await;
    let used = usage(site.id(&leads)).processor - before;
    let held = site.report(&["replicas"]);
    let held = held.as_array().into_iter().flatten();
    let held = held.filter(|replica| replica["holder"].is_string()).count();
    site.write_files(&[("late.ini", "[intent]\nname = late\ntarget = plan@1\n")]);
    let output = site.ctl(&["publish", "FILES"]);
    assert!(output.status.success(), "{output:?}");
    let accepted = Instant::now();
    sleep(second * 2).await;
    let last = seen.lock().expect("nobody panicked").iter().copied().max();
    let mut bytes = 0;
    let mut beats = 0;
    while let Some(host) = hosts.join_next().await {
        let (more_bytes, more_beats) = host.expect("a host does not panic");
        bytes += more_bytes;
        beats += more_beats;
    }
    let per_host = bytes as f64 / beats.max(1) as f64 / BEAT.as_secs_f64();
    json!({
        "hosts": arguments.hosts,
        "replicas": arguments.replicas,
        "replicas_held": held,
        "leader_percent_of_a_core": used.as_secs_f64() / arguments.seconds as f64 * 100.0,
        "leader_mib": usage(site.id(&leads)).memory_mib.round(),
        "heartbeat_bytes_per_host_second": per_host.round(),
        "accepted_to_last_host_ms": last.map(|last: Instant| {
            last.saturating_duration_since(accepted).as_secs_f64() * 1000.0
        }),
        "hosts_that_saw_it": seen.lock().expect("nobody panicked").len(),
    })
}

/// Beats as a host does that holds replicas; returns bytes exchanged and beats.
async fn beat_until(leader: Leader, number: usize, until: Instant) -> (usize, usize) {
    let (mut bytes, mut beats) = (0, 0);
    sleep(BEAT.mul_f64(number as f64 / 97.0 % 1.0)).await;
    while Instant::now() < until {
        let sent = Instant::now();
        let beat = Heartbeat {
            host: format!("host-{number:04}"),
            zone: ["a", "b", "c"][number % 3].to_owned(),
            address: "127.0.0.1:9".to_owned(),
            session: number as u64 + 1,
            holds: true,
            ..Heartbeat::default()
        };
        bytes += beat.encoded_len() + FRAME_OVERHEAD;
        let answer = leader.ask(Body::Heartbeat(beat), BEAT * 5, BEAT * 2).await;
        if let Ok(Body::Lease(lease)) = answer {
            bytes += lease.encoded_len() + FRAME_OVERHEAD;
            beats += 1;
        }
        sleep(BEAT.saturating_sub(sent.elapsed())).await;
    }
    (bytes, beats)
}

/// Follows the configuration and notes when the second revision comes.
async fn follow(leader: Leader, number: usize, seen: &Mutex<Vec<Instant>>) {
    let query = Body::Query(Query {
        kind: "status".to_owned(),
        ..Query::default()
    });
    let second = Duration::from_secs(1);
    // Any answer tells which voter leads.
    let _ = leader.ask(query, second * 10, second).await;
    let Some(address) = leader.current().borrow().clone() else {
        return;
    };
    let follow = Body::Follow(Follow {
        host: format!("host-{number:04}"),
        revision: 0,
    });
    let Ok(mut call) = leader.pool().call(&address, follow).await else {
        return;
    };
    while let Ok(Some(Body::Update(update))) = call.next().await {
        if update.revision >= 2 {
            seen.lock().expect("nobody panicked").push(Instant::now());
            return;
        }
    }
}
