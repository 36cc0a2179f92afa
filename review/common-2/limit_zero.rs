//! For a few seconds the replicas of a plain service say in all their answers that they are in need. Then
//! they are well again. Clients go on to ask, also another service that is well all the while.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::replica::{Arrivals, Desk, Style};
use crate::{call, Fault, Site, Verdict, CONTACT, HOSTS, PORT_FRONT};

const STYLE: Style = Style {
    service: "desk",
    run_time: Duration::from_millis(50),
    has_no_length: false,
    born: 1_790_000_000_000,
};
/// Time for which the replicas are in need.
const NEED: Duration = Duration::from_secs(5);
/// The platform's `recoverS`.
const RECOVER: Duration = Duration::from_secs(12);
/// Time for which requests are counted.
const COUNTED: Duration = Duration::from_secs(40);
const PATIENCE: Duration = Duration::from_millis(2500);
const CLIENTS: u64 = 6;
const INTERVAL: Duration = Duration::from_millis(250);

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":2500,"targetLatencyMs":1000,"priority":2,"service":"desk","maxAttempts":1},{"name":"ticket","host":"desk.example","pathPrefix":"/ticket/","kind":"unsafe","timeoutMs":2500,"targetLatencyMs":1000,"priority":2,"service":"scale","maxAttempts":1}],"services":[{"name":"scale","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false},{"name":"desk","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

struct Outcome {
    at: Instant,
    is_book: bool,
    is_served: bool,
}

fn ask(site: &Site, number: u64, is_book: bool) -> bool {
    let id = site.request_id();
    let host = (number % u64::from(HOSTS)) as u8 + 1;
    let body = format!("lesson {id}");
    let request = format!(
        "POST /{}/1 HTTP/1.1\r\nHost: desk.example\r\nTanagershift-Request-Id: {id}\r\n\
         Tanagershift-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        if is_book { "book" } else { "ticket" },
        PATIENCE.as_millis(),
        body.len()
    );
    let answer = call(site.address(host, PORT_FRONT), request.as_bytes(), PATIENCE).ok();
    let told = answer.as_ref().map_or("nothing".to_owned(), |one| one.status.to_string());
    site.record.add(format!("{} {id} at host {host}: {told}", if is_book { "book" } else { "ticket" }));
    answer.is_some_and(|one| one.status == 200 && one.body == format!("done {id}").into_bytes())
}

fn share(outcomes: &[Outcome], from: Instant, until: Instant, kind: Option<bool>) -> (usize, usize) {
    let counted = outcomes.iter().filter(|one| one.at >= from && one.at < until);
    let counted = counted.filter(|one| kind.is_none_or(|kind| one.is_book == kind));
    let all: Vec<bool> = counted.map(|one| one.is_served).collect();
    (all.iter().filter(|served| **served).count(), all.len())
}

pub fn run(site: &Arc<Site>, says: &str) -> Fault<Verdict> {
    let arrivals = Arrivals::default();
    let desks: Fault<Vec<Desk>> = (0..2)
        .map(|one| Desk::start(site, 10 + one, &format!("i-{one}"), STYLE, &arrivals))
        .collect();
    let desks = desks?;
    let scale_style = Style { service: "scale", ..STYLE };
    let scale = Desk::start(site, 12, "i-scale", scale_style, &arrivals)?;
    let mut entries: Vec<Vec<u8>> = desks.iter().map(|one| one.entry(site, "ready")).collect();
    entries.push(scale.entry(site, "ready"));
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
    for client in 0..CLIENTS {
        let (site, outcomes, stop) = (site.clone(), outcomes.clone(), stop.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(INTERVAL * client as u32 / CLIENTS as u32);
            let mut number = client;
            while !stop.load(Ordering::SeqCst) {
                let at = Instant::now();
                let is_book = client % 2 == 0;
                let is_served = ask(&site, number, is_book);
                outcomes.lock().unwrap().push(Outcome { at, is_book, is_served });
                number += 1;
                thread::sleep(INTERVAL.saturating_sub(at.elapsed()));
            }
        }));
    }
    let calm_from = Instant::now();
    thread::sleep(Duration::from_secs(6));
    let calm_until = Instant::now();
    if site.trouble {
        site.record.add(format!("both replicas say {}", says.trim()));
        desks.iter().for_each(|one| *one.extra.lock().unwrap() = says.to_owned());
    }
    thread::sleep(NEED);
    desks.iter().for_each(|one| one.extra.lock().unwrap().clear());
    site.record.add("both replicas are well, and would say nothing any more");
    thread::sleep(RECOVER);
    let counted_from = Instant::now();
    let before = arrivals.lock().unwrap().len();
    thread::sleep(COUNTED);
    let counted_until = Instant::now();
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let reached = arrivals.lock().unwrap();
    let reached = reached[before..].iter().filter(|one| one.path.starts_with("/book/")).count();
    let outcomes = outcomes.lock().unwrap();
    let calm = share(&outcomes, calm_from, calm_until, None);
    let books = share(&outcomes, counted_from, counted_until, Some(true));
    let all = share(&outcomes, counted_from, counted_until, None);
    site.record.add(format!(
        "served in calm {}/{}; later than recoverS after the need ended: bookings {}/{}, all requests {}/{}; \
         {reached} bookings reached a replica",
        calm.0, calm.1, books.0, books.1, all.0, all.1
    ));
    let ratio = |(served, of): (usize, usize)| served as f64 / of.max(1) as f64;
    if ratio(calm) < 0.95 || all.1 == 0 {
        return Err("the requests were not served in calm".to_owned());
    }
    if ratio(books) < ratio(all) / 4.0 {
        return Ok(Verdict::Broken(format!(
            "Starved: {} of {} bookings served for {} s, {reached} sent to a replica; {} of {} requests in all",
            books.0,
            books.1,
            COUNTED.as_secs(),
            all.0,
            all.1
        )));
    }
    Ok(Verdict::Held)
}
