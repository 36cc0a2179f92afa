//! One model replica crashes once and is back after some seconds. Its streams are short and have neither a
//! length nor chunks. All streams share the first part of their prompts. A plain service is well all the while.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::{
    engine::{self, Engine},
    replica::{self, Arrivals, Desk},
};
use crate::{call, Fault, Site, Verdict, CONTACT, HOSTS, PORT_FRONT};

const ENGINE: engine::Style = engine::Style {
    born: 1_790_000_000_000,
    model: Some("base"),
    has_no_length: true,
    repeats_late: 0.0,
};
const DESK: replica::Style = replica::Style {
    service: "desk",
    run_time: Duration::from_millis(20),
    has_no_length: false,
    born: 1_790_000_000_000,
};
/// Time for which the replica that crashed is down.
const DOWN: Duration = Duration::from_secs(3);
/// The platform's `recoverS`.
const RECOVER: Duration = Duration::from_secs(12);
/// Time for which requests are counted.
const COUNTED: Duration = Duration::from_secs(40);
/// Time limits of the clients.
const STREAM_PATIENCE: Duration = Duration::from_secs(10);
const BOOK_PATIENCE: Duration = Duration::from_millis(2500);
const STREAM_CLIENTS: u64 = 9;
const BOOK_CLIENTS: u64 = 3;
const INTERVAL: Duration = Duration::from_millis(300);

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"plans","host":"small.example","pathPrefix":"/plans/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":1000,"priority":0,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":300},{"name":"book","host":"small.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":2500,"targetLatencyMs":1000,"priority":2,"service":"desk","maxAttempts":1}],"services":[{"name":"desk","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false},{"name":"llm","healthPath":"/health","maxConns":390,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":121105,"tokenKvBytes":327680,"linkMbps":740000.0,"moves":true,"backups":true,"stride":3,"maxCount":12,"hostMb":130000.0,"diskMb":390000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"base","weightsMb":34300.0,"loadS":2.0,"adapters":3000,"adapterMb":40.0,"warmS":0.78,"diskS":1.0}],"weightsMb":36000.0,"adapterSlots":18,"loadsPerS":4.8}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// A request as its client has seen it, with the client's repetition.
struct Outcome {
    at: Instant,
    is_stream: bool,
    is_served: bool,
}

/// Sends a request; says whether the whole answer came, and when to come again if the answer says so.
fn attempt(site: &Site, number: u64, is_stream: bool, left: Duration) -> (bool, Option<Duration>) {
    let id = site.request_id();
    let host = (number % u64::from(HOSTS)) as u8 + 1;
    let model = format!("base/a{}", 1 + number % 6);
    let (head, last) = match is_stream {
        true => (
            format!(
                "POST /plans/week HTTP/1.1\r\nTanagershift-Model: {model}\r\n\
                 Tanagershift-Token-Usage: 600,24\r\n\
                 Tanagershift-Prompt-Prefix: 5c1e07a2:155,{number:08x}:445\r\n"
            ),
            format!("{model} 6"),
        ),
        false => ("POST /book/lesson HTTP/1.1\r\n".to_owned(), format!("done {id}")),
    };
    let body = format!("lesson {id}");
    let request = format!(
        "{head}Host: small.example\r\nTanagershift-Request-Id: {id}\r\n\
         Tanagershift-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        left.as_millis(),
        body.len()
    );
    let answer = call(site.address(host, PORT_FRONT), request.as_bytes(), left).ok();
    let told = answer.as_ref().map_or("nothing".to_owned(), |one| one.status.to_string());
    let kind = if is_stream { "stream" } else { "book" };
    site.record.add(format!("{kind} {id} at host {host}: {told}"));
    let is_whole = answer.as_ref().is_some_and(|one| {
        one.status == 200 && String::from_utf8_lossy(&one.body).contains(&last)
    });
    let after = answer.as_ref().and_then(|one| one.headers.get("retry-after")?.parse().ok());
    (is_whole, after.map(Duration::from_secs_f64))
}

/// One request, sent once more as the pages say, if `Retry-After` is no more than a third of the time left.
fn ask(site: &Site, number: u64, is_stream: bool) -> bool {
    let patience = if is_stream { STREAM_PATIENCE } else { BOOK_PATIENCE };
    let until = Instant::now() + patience;
    for step in 0..2 {
        let left = until.saturating_duration_since(Instant::now());
        let (is_served, after) = attempt(site, number + step, is_stream, left);
        if is_served || !is_stream {
            return is_served;
        }
        let after = after.unwrap_or_default();
        if after > until.saturating_duration_since(Instant::now()) / 3 {
            return false;
        }
        thread::sleep(after);
    }
    false
}

fn share(outcomes: &[Outcome], from: Instant, until: Instant, kind: Option<bool>) -> (usize, usize) {
    let counted = outcomes.iter().filter(|one| one.at >= from && one.at < until);
    let counted = counted.filter(|one| kind.is_none_or(|kind| one.is_stream == kind));
    let all: Vec<bool> = counted.map(|one| one.is_served).collect();
    (all.iter().filter(|served| **served).count(), all.len())
}

pub fn run(site: &Arc<Site>) -> Fault<Verdict> {
    let engines: Fault<Vec<Engine>> =
        (0..3).map(|one| Engine::start(site, 10 + one, &format!("i-{one}"), ENGINE)).collect();
    let mut engines = engines?;
    let desk = Desk::start(site, 20, "d-0", DESK, &Arrivals::default())?;
    let entries = |engines: &[Engine]| -> Vec<Vec<u8>> {
        let engines = engines.iter().map(|one| one.entry(site, "llm"));
        engines.chain([desk.entry(site, "ready")]).collect()
    };
    site.set_list(&entries(&engines));
    let _list = site.serve_list()?;
    for host in 1..=HOSTS {
        site.start_host(host, true)?;
    }
    site.put_manifest(MANIFEST, Duration::from_secs(30))?;
    site.await_ready(Duration::from_secs(30))?;
    thread::sleep(CONTACT);

    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..STREAM_CLIENTS + BOOK_CLIENTS {
        let (site, outcomes, stop) = (site.clone(), outcomes.clone(), stop.clone());
        clients.push(thread::spawn(move || {
            let is_stream = client < STREAM_CLIENTS;
            thread::sleep(INTERVAL * client as u32 / (STREAM_CLIENTS + BOOK_CLIENTS) as u32);
            let mut number = client;
            while !stop.load(Ordering::SeqCst) {
                let at = Instant::now();
                let is_served = ask(&site, number, is_stream);
                outcomes.lock().unwrap().push(Outcome { at, is_stream, is_served });
                number += STREAM_CLIENTS;
                thread::sleep(INTERVAL.saturating_sub(at.elapsed()));
            }
        }));
    }
    // The first requests wait for their adapters.
    thread::sleep(Duration::from_secs(3));
    let calm_from = Instant::now();
    thread::sleep(Duration::from_secs(6));
    let calm_until = Instant::now();
    if site.trouble {
        let at = loop {
            match engines.iter().position(Engine::has_just_begun) {
                Some(at) => break at,
                None => thread::sleep(Duration::from_millis(2)),
            }
        };
        site.record.add(format!("{} crashes while a stream begins there", engines[at].id));
        engines[at].server.stop();
        thread::sleep(DOWN);
        let style = engine::Style { born: ENGINE.born + 60_000, ..ENGINE };
        let id = format!("i-{at}b");
        engines[at] = Engine::start(site, 10 + at as u8, &id, style)?;
        site.set_list(&entries(&engines));
        site.record.add(format!("it is back, as {id}"));
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(RECOVER);
    let counted_from = Instant::now();
    thread::sleep(COUNTED);
    let counted_until = Instant::now();
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let calm = share(&outcomes, calm_from, calm_until, None);
    let streams = share(&outcomes, counted_from, counted_until, Some(true));
    let all = share(&outcomes, counted_from, counted_until, None);
    for host in 1..=HOSTS {
        let log = site.host_log(host);
        for line in log.lines().filter(|line| line.contains("part=5c1e07a2")).take(3) {
            site.record.add(format!("log of host {host}: {line}"));
        }
    }
    site.record.add(format!(
        "served in calm {}/{}; later than recoverS after the replica was back: streams {}/{}, all requests {}/{}",
        calm.0, calm.1, streams.0, streams.1, all.0, all.1
    ));
    let ratio = |(served, of): (usize, usize)| served as f64 / of.max(1) as f64;
    if ratio(calm) < 0.95 || all.1 == 0 {
        return Err("the requests were not served in calm".to_owned());
    }
    if ratio(streams) < ratio(all) / 4.0 {
        return Ok(Verdict::Broken(format!(
            "Starved: {} of {} streams served for {} s, {} of {} requests in all",
            streams.0,
            streams.1,
            COUNTED.as_secs(),
            all.0,
            all.1
        )));
    }
    Ok(Verdict::Held)
}
