//! Two base models: a busy one on two replicas, another one on one replica. That replica crashes and is back
//! after some seconds, empty as replicas start again.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::engine::{Engine, Style};
use crate::{call, Fault, Site, Verdict, CONTACT, HOSTS, PORT_FRONT};

const BUSY: Style = Style {
    born: 1_790_000_000_000,
    model: Some("busy"),
    has_no_length: false,
    repeats_late: 0.0,
};
/// Time for which the replica that crashed is down.
const DOWN: Duration = Duration::from_secs(3);
/// The platform's `recoverS`.
const RECOVER: Duration = Duration::from_secs(12);
/// Time for which requests are counted.
const COUNTED: Duration = Duration::from_secs(40);
const PATIENCE: Duration = Duration::from_secs(10);
/// Clients of the busy model, and of the other one.
const BUSY_CLIENTS: u64 = 9;
const OTHER_CLIENTS: u64 = 3;
const INTERVAL: Duration = Duration::from_millis(300);
const OTHER_INTERVAL: Duration = Duration::from_millis(900);

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"notes","host":"llm.example","pathPrefix":"/notes/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":1000,"priority":1,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":300},{"name":"plans","host":"llm.example","pathPrefix":"/plans/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":1000,"priority":1,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":300}],"services":[{"name":"llm","healthPath":"/health","maxConns":390,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":121105,"tokenKvBytes":327680,"linkMbps":740000.0,"moves":true,"backups":true,"stride":3,"maxCount":12,"hostMb":130000.0,"diskMb":390000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"busy","weightsMb":34300.0,"loadS":2.0,"adapters":3000,"adapterMb":40.0,"warmS":0.78,"diskS":1.0},{"name":"other","weightsMb":34300.0,"loadS":2.0,"adapters":3000,"adapterMb":40.0,"warmS":0.78,"diskS":1.0}],"weightsMb":36000.0,"adapterSlots":18,"loadsPerS":4.8}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

struct Outcome {
    at: Instant,
    is_other: bool,
    is_served: bool,
}

fn attempt(site: &Site, number: u64, is_other: bool, left: Duration) -> (bool, Option<Duration>) {
    let id = site.request_id();
    let host = (number % u64::from(HOSTS)) as u8 + 1;
    let (path, model) = match is_other {
        true => ("plans", format!("other/a{}", 1 + number % 2)),
        false => ("notes", format!("busy/a{}", 1 + number % 4)),
    };
    let request = format!(
        "POST /{path}/1 HTTP/1.1\r\nHost: llm.example\r\nTanagershift-Request-Id: {id}\r\n\
         Tanagershift-Model: {model}\r\nTanagershift-Token-Usage: 600,24\r\n\
         Tanagershift-Prompt-Prefix: 5c1e07a2:155,{number:08x}:445\r\n\
         Tanagershift-Deadline-Ms: {}\r\nContent-Length: 4\r\n\r\nnote",
        left.as_millis()
    );
    let answer = call(site.address(host, PORT_FRONT), request.as_bytes(), left).ok();
    let told = answer.as_ref().map_or("nothing".to_owned(), |one| one.status.to_string());
    site.record.add(format!("{path} {id} for {model} at host {host}: {told}"));
    let whole = answer.as_ref().is_some_and(|one| {
        one.status == 200 && String::from_utf8_lossy(&one.body).contains(&format!("{model} 6"))
    });
    let after = answer.as_ref().and_then(|one| one.headers.get("retry-after")?.parse().ok());
    (whole, after.map(Duration::from_secs_f64))
}

/// One request, sent once more after a refusal if `Retry-After` is no more than a third of the time left.
fn ask(site: &Site, number: u64, is_other: bool) -> bool {
    let until = Instant::now() + PATIENCE;
    for step in 0..2 {
        let left = until.saturating_duration_since(Instant::now());
        let (is_served, after) = attempt(site, number + step, is_other, left);
        if is_served {
            return true;
        }
        let left = until.saturating_duration_since(Instant::now());
        let after = after.unwrap_or_default();
        if after > left / 3 {
            return false;
        }
        thread::sleep(after);
    }
    false
}

fn share(outcomes: &[Outcome], from: Instant, until: Instant, kind: Option<bool>) -> (usize, usize) {
    let counted = outcomes.iter().filter(|one| one.at >= from && one.at < until);
    let counted = counted.filter(|one| kind.is_none_or(|kind| one.is_other == kind));
    let all: Vec<bool> = counted.map(|one| one.is_served).collect();
    (all.iter().filter(|served| **served).count(), all.len())
}

pub fn run(site: &Arc<Site>) -> Fault<Verdict> {
    let mut engines = vec![
        Engine::start(site, 10, "i-0", BUSY)?,
        Engine::start(site, 11, "i-1", BUSY)?,
        Engine::start(site, 12, "i-2", Style { model: Some("other"), ..BUSY })?,
    ];
    let entries = |engines: &[Engine]| -> Vec<Vec<u8>> {
        engines.iter().map(|one| one.entry(site, "llm")).collect()
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
    for client in 0..BUSY_CLIENTS + OTHER_CLIENTS {
        let (site, outcomes, stop) = (site.clone(), outcomes.clone(), stop.clone());
        clients.push(thread::spawn(move || {
            let is_other = client >= BUSY_CLIENTS;
            let interval = if is_other { OTHER_INTERVAL } else { INTERVAL };
            thread::sleep(interval * client as u32 / (BUSY_CLIENTS + OTHER_CLIENTS) as u32);
            let mut number = client;
            while !stop.load(Ordering::SeqCst) {
                let at = Instant::now();
                let is_served = ask(&site, number, is_other);
                outcomes.lock().unwrap().push(Outcome { at, is_other, is_served });
                number += 1;
                thread::sleep(interval.saturating_sub(at.elapsed()));
            }
        }));
    }
    // The first requests wait for their adapters.
    thread::sleep(Duration::from_secs(3));
    let calm_from = Instant::now();
    thread::sleep(Duration::from_secs(8));
    let calm_until = Instant::now();
    if site.trouble {
        site.record.add("i-2, the only replica with the model `other`, crashes");
        engines[2].server.stop();
        thread::sleep(DOWN);
        engines[2] = Engine::start(site, 12, "i-2b", Style { born: BUSY.born + 60_000, model: None, ..BUSY })?;
        site.set_list(&entries(&engines));
        site.record.add("it is back, empty, as i-2b");
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(RECOVER);
    site.set_list(&entries(&engines));
    let counted_from = Instant::now();
    thread::sleep(COUNTED);
    let counted_until = Instant::now();
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for engine in &engines {
        site.record.add(format!("{} holds {:?} at the end", engine.id, engine.models()));
    }
    let outcomes = outcomes.lock().unwrap();
    let calm = share(&outcomes, calm_from, calm_until, None);
    let other = share(&outcomes, counted_from, counted_until, Some(true));
    let all = share(&outcomes, counted_from, counted_until, None);
    site.record.add(format!(
        "served in calm {}/{}; later than recoverS after the replica was back: requests for `other` {}/{}, \
         all requests {}/{}",
        calm.0, calm.1, other.0, other.1, all.0, all.1
    ));
    let ratio = |(served, of): (usize, usize)| served as f64 / of.max(1) as f64;
    if ratio(calm) < 0.95 || all.1 == 0 {
        return Err("the requests were not served in calm".to_owned());
    }
    if ratio(other) < ratio(all) / 4.0 {
        return Ok(Verdict::Broken(format!(
            "Starved: {} of {} requests for a model served for {} s, {} of {} requests in all",
            other.0,
            other.1,
            COUNTED.as_secs(),
            all.0,
            all.1
        )));
    }
    Ok(Verdict::Held)
}
