//! One replica of a plain service crashes once and is back after some seconds. Its answers have neither a
//! length nor chunks. Clients go on to ask for the same resource.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::replica::{Arrival, Arrivals, Desk, Style};
use crate::{call, Answer, Fault, Site, Verdict, CONTACT, HOSTS, PORT_FRONT};

const STYLE: Style = Style {
    service: "desk",
    run_time: Duration::from_millis(300),
    has_no_length: true,
    born: 1_790_000_000_000,
};
/// Time for which the replica that crashed is down.
const DOWN: Duration = Duration::from_secs(3);
/// The platform's `recoverS`.
const RECOVER: Duration = Duration::from_secs(12);
/// Time for which requests are counted.
const COUNTED: Duration = Duration::from_secs(40);
/// Time limit of the clients.
const PATIENCE: Duration = Duration::from_millis(2500);
/// Clients of each kind of request, and the time between two requests of one of them.
const CLIENTS: u64 = 3;
const INTERVAL: Duration = Duration::from_millis(250);

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"lookup","host":"desk.example","pathPrefix":"/lookup/","kind":"safe","timeoutMs":2500,"targetLatencyMs":1000,"priority":2,"service":"desk","maxAttempts":2},{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":2500,"targetLatencyMs":1000,"priority":2,"service":"desk","maxAttempts":1}],"services":[{"name":"desk","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// A request as its client has seen it, with the client's repetition.
struct Outcome {
    at: Instant,
    is_lookup: bool,
    is_served: bool,
}

fn attempt(site: &Site, host: u8, is_lookup: bool, time_left: Duration) -> Option<Answer> {
    let id = site.request_id();
    let (line, body) = match is_lookup {
        true => ("GET /lookup/roster HTTP/1.1", String::new()),
        false => ("POST /book/lesson HTTP/1.1", format!("lesson {id}")),
    };
    let request = format!(
        "{line}\r\nHost: desk.example\r\nTanagershift-Request-Id: {id}\r\n\
         Tanagershift-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        time_left.as_millis(),
        body.len()
    );
    let address = site.address(host, PORT_FRONT);
    let answer = call(address, request.as_bytes(), time_left).ok();
    let told = answer.as_ref().map_or("nothing".to_owned(), |one| one.status.to_string());
    site.record.add(format!("{} {id} at host {host}: {told}", if is_lookup { "lookup" } else { "book" }));
    answer.filter(|one| one.status != 200 || one.body == format!("done {id}").into_bytes())
}

/// One request, sent once more as the pages say: after a refusal, if `Retry-After` is no more than a third of
/// the time that is left.
fn ask(site: &Site, number: u64, is_lookup: bool) -> bool {
    let until = Instant::now() + PATIENCE;
    for step in 0..2 {
        let host = ((number + step) % u64::from(HOSTS)) as u8 + 1;
        let left = until.saturating_duration_since(Instant::now());
        let answer = attempt(site, host, is_lookup, left);
        match &answer {
            Some(answer) if answer.status == 200 => return true,
            Some(answer) if answer.status != 503 && !is_lookup => return false,
            None if !is_lookup => return false,
            _ => {}
        }
        let after = answer.as_ref().and_then(|one| one.headers.get("retry-after"));
        let after = after.and_then(|text| text.parse().ok()).map_or(Duration::ZERO, Duration::from_secs_f64);
        let left = until.saturating_duration_since(Instant::now());
        if after > left / 3 {
            return false;
        }
        thread::sleep(after);
    }
    false
}

fn share(outcomes: &[Outcome], from: Instant, until: Instant, kind: Option<bool>) -> (usize, usize) {
    let counted = outcomes.iter().filter(|one| one.at >= from && one.at < until);
    let counted = counted.filter(|one| kind.is_none_or(|kind| one.is_lookup == kind));
    let all: Vec<bool> = counted.map(|one| one.is_served).collect();
    (all.iter().filter(|served| **served).count(), all.len())
}

pub fn run(site: &Arc<Site>) -> Fault<Verdict> {
    let arrivals = Arrivals::default();
    let desks: Fault<Vec<Desk>> = (0..3)
        .map(|one| Desk::start(site, 10 + one, &format!("i-{one}"), STYLE, &arrivals))
        .collect();
    let desks = desks?;
    let mut entries: Vec<Vec<u8>> = desks.iter().map(|one| one.entry(site, "ready")).collect();
    site.set_list(&entries);
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
    for client in 0..2 * CLIENTS {
        let (site, outcomes, stop) = (site.clone(), outcomes.clone(), stop.clone());
        clients.push(thread::spawn(move || {
            let is_lookup = client % 2 == 0;
            thread::sleep(INTERVAL * client as u32 / (2 * CLIENTS) as u32);
            let mut number = client;
            while !stop.load(Ordering::SeqCst) {
                let at = Instant::now();
                let is_served = ask(&site, number, is_lookup);
                outcomes.lock().unwrap().push(Outcome { at, is_lookup, is_served });
                number += 1;
                thread::sleep(INTERVAL.saturating_sub(at.elapsed()));
            }
        }));
    }
    let calm_from = Instant::now();
    thread::sleep(Duration::from_secs(6));
    let calm_until = Instant::now();
    let mut back = None;
    if site.trouble {
        let is_running = |one: &Arrival| {
            one.replica == "i-0" && one.path.starts_with("/lookup/") && one.at.elapsed() < STYLE.run_time / 3
        };
        while !arrivals.lock().unwrap().iter().any(is_running) {
            thread::sleep(Duration::from_millis(5));
        }
        site.record.add("i-0 crashes while a lookup runs there");
        desks[0].server.stop();
        thread::sleep(DOWN);
        let style = Style { born: STYLE.born + 60_000, ..STYLE };
        let again = Desk::start(site, 10, "i-0b", style, &arrivals)?;
        entries[0] = again.entry(site, "ready");
        site.set_list(&entries);
        site.record.add("it is back, as i-0b");
        back = Some(again);
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
    drop(back);
    let outcomes = outcomes.lock().unwrap();
    let calm = share(&outcomes, calm_from, calm_until, None);
    let lookups = share(&outcomes, counted_from, counted_until, Some(true));
    let all = share(&outcomes, counted_from, counted_until, None);
    for host in 1..=HOSTS {
        let log = site.host_log(host);
        for line in log.lines().filter(|line| line.contains("key=") && line.contains("TS")).take(3) {
            site.record.add(format!("log of host {host}: {line}"));
        }
    }
    site.record.add(format!(
        "served in calm {}/{}; later than recoverS after the replica was back: lookups {}/{}, all requests {}/{}",
        calm.0, calm.1, lookups.0, lookups.1, all.0, all.1
    ));
    let ratio = |(served, of): (usize, usize)| served as f64 / of.max(1) as f64;
    if ratio(calm) < 0.95 || all.1 == 0 {
        return Err("the requests were not served in calm".to_owned());
    }
    if ratio(lookups) < ratio(all) / 4.0 {
        return Ok(Verdict::Broken(format!(
            "Starved: {} of {} lookups served for {} s, {} of {} requests in all",
            lookups.0,
            lookups.1,
            COUNTED.as_secs(),
            all.0,
            all.1
        )));
    }
    Ok(Verdict::Held)
}
