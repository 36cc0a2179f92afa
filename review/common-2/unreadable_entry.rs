//! Another writer leaves an entry with bytes that can't be read in the platform's list. Then a replica
//! leaves, as planned work, and a request comes later than `drainMs` after the list has shown it.

use std::{
    sync::{atomic::Ordering, Arc},
    thread,
    time::{Duration, Instant},
};

use super::replica::{Arrivals, Desk, Style};
use crate::{call, Fault, Site, Verdict, CONTACT, DRAIN, HOSTS, PORT_FRONT};

const STYLE: Style = Style {
    service: "desk",
    run_time: Duration::from_millis(900),
    has_no_length: false,
    born: 1_790_000_000_000,
};
/// Requests before the disruption, one after the other, and after it, at once.
const FIRST: usize = 6;
const LATER: usize = 12;

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":2500,"targetLatencyMs":1500,"priority":2,"service":"desk","maxAttempts":1}],"services":[{"name":"desk","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Sends a booking to a host; says whether it was answered with the replica's whole answer.
fn book(site: &Site, host: u8) -> bool {
    let id = site.request_id();
    let request = format!(
        "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nTanagershift-Request-Id: {id}\r\n\
         Tanagershift-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nbook"
    );
    let answer = call(
        site.address(host, PORT_FRONT),
        request.as_bytes(),
        Duration::from_millis(3000),
    );
    let (told, is_good) = match &answer {
        Ok(answer) => {
            let whole = answer.body == format!("done {id}").into_bytes();
            (answer.status.to_string(), answer.status == 200 && whole)
        }
        Err(error) => (format!("nothing ({error})"), false),
    };
    site.record.add(format!("request {id} sent to host {host} is answered with {told}"));
    is_good
}

pub fn run(site: &Arc<Site>) -> Fault<Verdict> {
    let arrivals = Arrivals::default();
    let old = Desk::start(site, 10, "i-old", STYLE, &arrivals)?;
    let other = Desk::start(site, 11, "i-other", STYLE, &arrivals)?;
    site.set_list(&[old.entry(site, "ready"), other.entry(site, "ready")]);
    let _list = site.serve_list()?;
    for host in 1..=HOSTS {
        site.start_host(host, true)?;
    }
    site.put_manifest(MANIFEST, Duration::from_secs(30))?;
    site.await_ready(Duration::from_secs(30))?;
    thread::sleep(CONTACT + Duration::from_secs(1));
    let good = (0..FIRST).filter(|one| book(site, (one % 3) as u8 + 1)).count();
    if good < FIRST {
        return Err(format!("only {good} of {FIRST} requests were served in calm"));
    }

    // Another writer's entry: the service's name holds bytes that are no text.
    let mut foreign = b"{\"id\":\"x-1\",\"service\":\"".to_vec();
    foreign.extend([0xff, 0xfe, 0xc3, 0x28]);
    foreign.extend(b"\",\"address\":\"\",\"zone\":\"\",\"state\":\"ready\"}");
    let mut entries = vec![old.entry(site, "ready"), other.entry(site, "ready")];
    if site.trouble {
        entries.push(foreign.clone());
        site.record.add("the list holds an entry of another writer with bytes that are no text");
    }
    site.set_list(&entries);
    thread::sleep(Duration::from_secs(2));

    // Planned work: one replica leaves.
    entries[0] = old.entry(site, "draining");
    site.set_list(&entries);
    old.is_leaving.store(true, Ordering::SeqCst);
    let shown_at = Instant::now();
    site.record.add("the list shows i-old as draining; no client asks for a while");
    thread::sleep(DRAIN + Duration::from_millis(500));
    let late_from = Instant::now();
    site.record.add(format!("{LATER} requests come"));
    let later: Vec<_> = (0..LATER)
        .map(|one| {
            let site = site.clone();
            thread::spawn(move || book(&site, (one % 3) as u8 + 1))
        })
        .collect();
    // It served for drainMs and a little longer.
    thread::sleep(STYLE.run_time * 2 / 3);
    site.record.add(format!(
        "the process of i-old ends, {} ms after the list has shown that it leaves",
        shown_at.elapsed().as_millis()
    ));
    old.server.stop();
    let served = later.into_iter().map(|one| one.join().unwrap_or(false));
    let served = served.filter(|good| *good).count();
    let late = arrivals.lock().unwrap().clone();
    let late = late.iter().filter(|one| one.replica == "i-old" && one.at >= late_from).count();
    let log: String = (1..=HOSTS).map(|host| site.host_log(host)).collect();
    for line in log.lines().filter(|line| line.contains("event=list.")).take(6) {
        site.record.add(format!("log: {line}"));
    }
    site.record.add(format!(
        "{late} requests reached i-old later than drainMs after the list showed it as draining; \
         {served} of {LATER} were served"
    ));
    if late > 0 {
        return Ok(Verdict::Broken(format!(
            "DRAIN: {late} requests reached a draining replica more than {} ms after the list showed it; \
             {} unsafe requests were cut off and lost",
            DRAIN.as_millis(),
            LATER - served
        )));
    }
    match served {
        LATER => Ok(Verdict::Held),
        _ => Err(format!("{served} of {LATER} served, but none at the draining replica")),
    }
}
