//! A host is frozen while answers without a length are on their way to it. Meanwhile their replica crashes in
//! the middle of them, and is back under the same id before the host goes on.

use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{Shutdown, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{call, read_request, Fault, Record, Server, Site, Verdict, CONTACT, HOSTS, PORT_FRONT, PORT_REPLICA};

/// Time between the halves of an answer.
const HALF: Duration = Duration::from_millis(1500);
/// Time for which the replica is down, and for which the host is frozen.
const DOWN: Duration = Duration::from_millis(2500);
const FROZEN: Duration = Duration::from_millis(4000);
/// Lag of the platform's list (`lagMs`).
const LAG: Duration = Duration::from_millis(800);
const PATIENCE: Duration = Duration::from_secs(12);
/// Host that is frozen, and requests to it in one round.
const HOST: u8 = 3;
const REQUESTS: usize = 24;
const REPLICAS: u8 = 4;
const BORN: u64 = 1_790_000_000_000;

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":12000,"targetLatencyMs":3000,"priority":2,"service":"desk","maxAttempts":1}],"services":[{"name":"desk","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// The whole answer to a request.
fn whole(id: &str) -> String {
    format!("first half of {id}, {}\nsecond half of {id}, {}\n", "x".repeat(370), "y".repeat(370))
}

/// A replica of a plain service whose answers have neither a length nor chunks.
fn start(site: &Arc<Site>, number: u8, id: &str, runs: &Arc<Mutex<HashMap<String, u32>>>) -> Fault<Server> {
    let (own, record, runs) = (id.to_owned(), site.record.clone(), runs.clone());
    Server::start(site.address(number, PORT_REPLICA), move |stream| {
        converse(stream, &own, &record, &runs)
    })
}

fn converse(
    stream: TcpStream,
    own: &str,
    record: &Record,
    runs: &Mutex<HashMap<String, u32>>,
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(asked) = read_request(&mut reader)? {
        let common = format!(
            "Tanagershift-Request-Id: {}\r\nTanagershift-Server-Stamp: {own}.{}\r\n\
             Tanagershift-Instance-Id: {own}\r\n",
            asked.id(),
            asked.id()
        );
        let expected = asked.header("tanagershift-expect-instance");
        if !expected.is_empty() && expected != own {
            let head = format!(
                "HTTP/1.1 421 X\r\n{common}Tanagershift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(head.as_bytes())?;
            continue;
        }
        if asked.path == "/health" {
            record.add(format!("{own} is asked for its health"));
            let head = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: 0\r\n\r\n");
            writer.write_all(head.as_bytes())?;
            continue;
        }
        *runs.lock().unwrap().entry(asked.id().to_owned()).or_default() += 1;
        record.add(format!("{own} runs {}", asked.id()));
        let body = whole(asked.id());
        let (first, second) = body.split_at(body.len() / 2);
        let head = format!("HTTP/1.1 200 OK\r\n{common}Connection: close\r\n\r\n{first}");
        writer.write_all(head.as_bytes())?;
        thread::sleep(HALF);
        writer.write_all(second.as_bytes())?;
        return writer.shutdown(Shutdown::Both);
    }
    Ok(())
}

fn entry(site: &Site, number: u8, id: &str, born: u64) -> Vec<u8> {
    let address = site.address(number, PORT_REPLICA);
    format!(
        "{{\"id\":\"{id}\",\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"zone-1\",\
         \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":{born}}}"
    )
    .into_bytes()
}

/// What a client got.
#[derive(PartialEq)]
enum Got {
    Whole,
    /// A success that looks complete and is not.
    Part(usize),
    Failure,
}

fn book(site: &Site, host: u8) -> Got {
    let id = site.request_id();
    let request = format!(
        "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nTanagershift-Request-Id: {id}\r\n\
         Tanagershift-Deadline-Ms: {}\r\nContent-Length: 4\r\n\r\nbook",
        PATIENCE.as_millis()
    );
    let answer = call(site.address(host, PORT_FRONT), request.as_bytes(), PATIENCE);
    let (told, got) = match answer {
        Err(error) => (format!("nothing whole ({error})"), Got::Failure),
        Ok(answer) if answer.status != 200 => (answer.status.to_string(), Got::Failure),
        Ok(answer) if answer.body == whole(&id).into_bytes() => ("200, whole".to_owned(), Got::Whole),
        Ok(answer) => {
            let framing = answer.headers.get("content-length");
            let told = format!(
                "200 with {} of {} bytes, content-length {framing:?}, stamp {:?}",
                answer.body.len(),
                whole(&id).len(),
                answer.headers.get("tanagershift-server-stamp")
            );
            (told, Got::Part(answer.body.len()))
        }
    };
    site.record.add(format!("request {id} at host {host}: {told}"));
    got
}

pub fn run(site: &Arc<Site>) -> Fault<Verdict> {
    let runs = Arc::default();
    let first = start(site, 10, "i-0", &runs)?;
    let others: Fault<Vec<Server>> =
        (1..REPLICAS).map(|one| start(site, 10 + one, &format!("i-{one}"), &runs)).collect();
    let _others = others?;
    let list = |born: Option<u64>| {
        let first = born.map(|born| entry(site, 10, "i-0", born));
        let others = (1..REPLICAS).map(|one| entry(site, 10 + one, &format!("i-{one}"), BORN));
        site.set_list(&first.into_iter().chain(others).collect::<Vec<_>>());
    };
    list(Some(BORN));
    let _list = site.serve_list()?;
    for host in 1..=HOSTS {
        site.start_host(host, true)?;
    }
    site.put_manifest(MANIFEST, Duration::from_secs(30))?;
    site.await_ready(Duration::from_secs(30))?;
    thread::sleep(CONTACT);
    let calm = (0..3).filter(|one| book(site, one + 1) == Got::Whole).count();
    if calm < 3 {
        return Err(format!("only {calm} of 3 requests were served in calm"));
    }
    let clients: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let site = site.clone();
            thread::spawn(move || book(&site, HOST))
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    let mut again = None;
    if site.trouble {
        site.signal(HOST, "STOP")?;
        thread::sleep(Duration::from_millis(300));
        site.record.add("i-0 crashes");
        first.stop();
        thread::sleep(LAG);
        list(None);
        thread::sleep(DOWN - LAG);
        again = Some(start(site, 10, "i-0", &runs)?);
        site.record.add("i-0 is back under its id");
        thread::sleep(LAG);
        list(Some(BORN + 60_000));
        thread::sleep(FROZEN.saturating_sub(Duration::from_millis(300) + DOWN + LAG));
        site.signal(HOST, "CONT")?;
    }
    let got: Vec<Got> = clients.into_iter().map(|one| one.join().unwrap_or(Got::Failure)).collect();
    drop(again);
    let parts = got.iter().filter(|one| matches!(one, Got::Part(_))).count();
    let whole = got.iter().filter(|one| **one == Got::Whole).count();
    for line in site.host_log(HOST).lines().filter(|line| line.contains("end_check")).take(6) {
        site.record.add(format!("log of host {HOST}: {line}"));
    }
    site.record.add(format!(
        "{whole} of {REQUESTS} answers came whole, {parts} came in part and looked complete"
    ));
    match parts {
        0 if whole > 0 => Ok(Verdict::Held),
        0 => Err("no request was served".to_owned()),
        parts => Ok(Verdict::Broken(format!(
            "MIXED: {parts} of {REQUESTS} clients got a part of the replica's answer as a complete 200"
        ))),
    }
}
