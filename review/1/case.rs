//! A host that is cut off from the replicas reaches them through other hosts. A replica resets some of its
//! answers, which have neither a length nor chunks, in the middle.

#[path = "../common/mod.rs"]
mod common;

use std::{
    io::Write,
    net::TcpStream,
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use common::{
    Site, address,
    http::{self, Answer},
    manifest::{entry, manifest, page},
    replica::{Request, Server, answer, head, reset, wait},
};

const HOSTS: u8 = 5;
/// The host that is cut off: the only one of its zone.
const CUT: u8 = 3;
/// A host that reaches the replicas; its clients send the same.
const OTHER: u8 = 1;
const DESKS: u8 = 3;
/// The replica that resets answers, one of three, and of how many requests it resets one.
const SPOILS: u8 = 0;
const ONE_OF: usize = 20;
const REQUESTS: usize = 2400;
const BORN: u64 = 1_765_000_000_000;

fn half(id: &str, half: u8) -> String {
    format!("{:-<400}", format!("half {half} of the roster for {id} "))
}

fn main() -> ExitCode {
    let site = Arc::new(Site::prepare(Path::new("review/1")));
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    let resets = Arc::new(AtomicUsize::new(0));
    for number in 0..DESKS {
        let at = address(20 + number, site.base);
        let name = format!("i-{number}");
        let zone = ["andes-a", "andes-b", "andes-c"][usize::from(number)];
        entries.push(entry(&name, "studio-desk", &at.to_string(), zone, 6, "v1", BORN));
        let (record, resets) = (site.record.clone(), resets.clone());
        let spoils = site.trouble && number == SPOILS;
        let handler = move |request: &Request, stream: &mut TcpStream| {
            let (id, host) = (request.id(), request.host);
            let headers = [
                ("tanagershift-request-id", id),
                ("tanagershift-server-stamp", name.as_str()),
                ("tanagershift-instance-id", name.as_str()),
                ("connection", "close"),
            ];
            let number: usize = id.trim_start_matches("lookup").parse().unwrap_or(0);
            let begun = head(200, &headers) + &half(id, 1);
            if stream.write_all(begun.as_bytes()).is_err() || !wait(stream, Duration::from_millis(15)) {
                record.line(format!("{name}: the sender of {id} left, host {host}"));
                return false;
            }
            if spoils && number / 2 % ONE_OF == 0 {
                resets.fetch_add(1, Ordering::Relaxed);
                record.line(format!("{name} resets {id} from host {host} after half of it"));
                reset(stream);
                return false;
            }
            stream.write_all(half(id, 2).as_bytes()).ok();
            record.line(format!("{name} has sent all of {id} to host {host}"));
            false
        };
        servers.push(Server::start(at, Arc::new(handler)));
    }
    let list = page(&entries);
    let _list = Server::start(
        site.list_address(),
        Arc::new(move |_, stream| answer(stream, 200, &[("content-type", "application/json")], &list)),
    );
    site.start_hosts(HOSTS);
    site.configure(HOSTS, &manifest(3, "", ""));
    thread::sleep(Duration::from_secs(2));
    if site.trouble {
        site.record.line(format!("host {CUT} is cut off from all replicas"));
        for server in &servers {
            server.cut(&[CUT]);
        }
    }
    // `contactMs`, from which on such a host must serve.
    thread::sleep(Duration::from_secs(3));
    let answers: Arc<Mutex<Vec<(u8, String, Answer)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let (site, answers) = (site.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            let id = format!("lookup{number}");
            let host = if number % 2 == 0 { CUT } else { OTHER };
            let headers = [
                ("host", "academy.example"),
                ("tanagershift-request-id", id.as_str()),
                ("tanagershift-deadline-ms", "2500"),
            ];
            let limit = Duration::from_secs(4);
            let got = http::call(site.front(host), "GET", "/lookup/x", &headers, "", limit);
            site.record.line(format!(
                "the client of {id} at host {host} has status {:?}, {} bytes, whole: {}, stamp {:?} {}",
                got.status,
                got.body.len(),
                got.whole,
                got.header("tanagershift-server-stamp"),
                got.error,
            ));
            answers.lock().unwrap().push((host, id, got));
        }));
        thread::sleep(Duration::from_millis(3));
    }
    for client in clients {
        client.join().ok();
    }
    let answers = answers.lock().unwrap();
    let served = |at: u8, whole: bool| {
        let good = answers.iter().filter(|(host, id, got)| {
            let is_whole = got.text() == half(id, 1) + &half(id, 2);
            *host == at && got.status == Some(200) && got.whole && is_whole == whole
        });
        good.count()
    };
    if served(CUT, true) == 0 || served(OTHER, true) == 0 {
        site.cannot_run("no request was served");
    }
    let text = format!(
        "host {CUT}: {} of {} answers whole, {} ended early and looked complete; host {OTHER}: {} whole, {} \
         ended early and looked complete; the replica reset {} answers",
        served(CUT, true),
        REQUESTS / 2,
        served(CUT, false),
        served(OTHER, true),
        served(OTHER, false),
        resets.load(Ordering::Relaxed),
    );
    site.verdict(served(CUT, false) + served(OTHER, false) > 0, &text)
}
