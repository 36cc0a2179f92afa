//! A faulty model replica sends some of its answers a second time, late: at the point where the next answer on
//! that connection is due. One client names an adapter that does not exist.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::engine::{Engine, Style};
use crate::{call, Answer, Fault, Site, Verdict, CONTACT, HOSTS, PORT_FRONT};

const STYLE: Style = Style {
    born: 1_790_000_000_000,
    model: Some("base"),
    has_no_length: false,
    repeats_late: 0.0,
};
const PATIENCE: Duration = Duration::from_secs(10);
const CLIENTS: u64 = 30;
const INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a client names the adapter that does not exist, so that the faulty replica refuses orders.
const MISTAKEN: Duration = Duration::from_secs(5);
const SPELLS: u32 = 3;
const PAUSE: Duration = Duration::from_secs(2);
/// Share of its answers that the faulty replica sends again; the site's list has 0.03.
const REPEATED: f64 = 0.03;

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"plans","host":"small.example","pathPrefix":"/plans/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":1000,"priority":0,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":300}],"services":[{"name":"llm","healthPath":"/health","maxConns":390,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":121105,"tokenKvBytes":327680,"linkMbps":740000.0,"moves":true,"backups":true,"stride":3,"maxCount":12,"hostMb":130000.0,"diskMb":390000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"base","weightsMb":34300.0,"loadS":2.0,"adapters":3000,"adapterMb":40.0,"warmS":0.78,"diskS":1.0}],"weightsMb":36000.0,"adapterSlots":18,"loadsPerS":4.8}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn ask(site: &Site, number: u64, model: &str) -> (String, Option<Answer>) {
    let id = site.request_id();
    let host = (number % u64::from(HOSTS)) as u8 + 1;
    let request = format!(
        "POST /plans/week HTTP/1.1\r\nHost: small.example\r\nTanagershift-Request-Id: {id}\r\n\
         Tanagershift-Model: {model}\r\nTanagershift-Token-Usage: 600,24\r\n\
         Tanagershift-Prompt-Prefix: 5c1e07a2:155,{number:08x}:445\r\n\
         Tanagershift-Deadline-Ms: {}\r\nContent-Length: 4\r\n\r\nplan",
        PATIENCE.as_millis()
    );
    let answer = call(site.address(host, PORT_FRONT), request.as_bytes(), PATIENCE).ok();
    let told = answer.as_ref().map_or("nothing".to_owned(), |one| {
        match one.status {
            200 => "200".to_owned(),
            status => format!("{status} {:?}", String::from_utf8_lossy(&one.body)),
        }
    });
    site.record.add(format!("request {id} for {model} at host {host} is answered with {told}"));
    (id, answer)
}

pub fn run(site: &Arc<Site>) -> Fault<Verdict> {
    let share = if site.trouble { REPEATED } else { 0.0 };
    let faulty = Style { repeats_late: share, ..STYLE };
    let engines =
        [Engine::start(site, 10, "i-0", faulty)?, Engine::start(site, 11, "i-1", STYLE)?];
    site.set_list(&engines.iter().map(|one| one.entry(site, "llm")).collect::<Vec<_>>());
    let _list = site.serve_list()?;
    for host in 1..=HOSTS {
        site.start_host(host, true)?;
    }
    site.put_manifest(MANIFEST, Duration::from_secs(30))?;
    site.await_ready(Duration::from_secs(30))?;
    thread::sleep(CONTACT);
    let stop = Arc::new(AtomicBool::new(false));
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(Mutex::new((0_usize, 0_usize)));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (site, stop, foreign, served) =
            (site.clone(), stop.clone(), foreign.clone(), served.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(INTERVAL * client as u32 / CLIENTS as u32);
            let mut number = client;
            while !stop.load(Ordering::SeqCst) {
                let at = Instant::now();
                let model = format!("base/a{}", 1 + number % 6);
                let (id, answer) = ask(&site, number, &model);
                number += CLIENTS + 1;
                let is_foreign = answer.as_ref().is_some_and(|one| {
                    String::from_utf8_lossy(&one.body).contains("no such adapter")
                });
                if is_foreign {
                    foreign.lock().unwrap().push(id);
                }
                let mut served = served.lock().unwrap();
                served.0 += usize::from(answer.is_some_and(|one| one.status == 200));
                served.1 += 1;
                drop(served);
                thread::sleep(INTERVAL.saturating_sub(at.elapsed()));
            }
        }));
    }
    // The first requests wait for their adapters.
    thread::sleep(Duration::from_secs(4));
    let mut number = 0;
    let mut mistaken = Vec::new();
    for spell in 0..SPELLS {
        if spell > 0 {
            thread::sleep(PAUSE);
        }
        let until = Instant::now() + MISTAKEN;
        while Instant::now() < until {
            let site = site.clone();
            number += 1;
            mistaken.push(thread::spawn(move || drop(ask(&site, number, "base/nosuch"))));
            thread::sleep(Duration::from_millis(700));
        }
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for thread in clients.into_iter().chain(mistaken) {
        let _ = thread.join();
    }
    let foreign = foreign.lock().unwrap().clone();
    let (good, of) = *served.lock().unwrap();
    let (answers, repeated) = engines[0].answers();
    site.record.add(format!("i-0 gave {answers} answers, {repeated} of them a second time, late"));
    site.record.add(format!(
        "{good} of {of} proper requests were served; {} got the answer to an order: {}",
        foreign.len(),
        foreign.join(", ")
    ));
    match foreign.len() {
        0 if good * 10 >= of * 9 => Ok(Verdict::Held),
        0 => Err("the requests were not served".to_owned()),
        count => Ok(Verdict::Broken(format!(
            "MIXED: {count} of {of} requests were answered with what the replica had told the system of an order"
        ))),
    }
}
