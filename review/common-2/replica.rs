//! A replica of a plain service, as the pages describe it: one request at a time on a connection, a stamp
//! and the request's id in every answer, 421 for another instance, `Server-Leaving` once it leaves.

use std::{
    io::{BufReader, Write},
    net::Shutdown,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{read_request, Fault, Server, Site, PORT_REPLICA};

/// Arrival of a client's request at a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub replica: String,
    pub path: String,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

#[derive(Clone)]
pub struct Desk {
    pub id: String,
    pub number: u8,
    style: Style,
    pub server: Server,
    pub is_leaving: Arc<AtomicBool>,
    /// A header that it adds to all its answers, if it has something to say.
    pub extra: Arc<Mutex<String>>,
}

/// How a replica runs and answers requests.
#[derive(Clone, Copy)]
pub struct Style {
    pub service: &'static str,
    pub run_time: Duration,
    /// Whether answers have neither a length nor chunks.
    pub has_no_length: bool,
    /// Start time in Unix milliseconds.
    pub born: u64,
}

pub const SLOTS: usize = 16;

impl Desk {
    pub fn start(
        site: &Arc<Site>,
        number: u8,
        id: &str,
        style: Style,
        arrivals: &Arrivals,
    ) -> Fault<Self> {
        let is_leaving = Arc::new(AtomicBool::new(false));
        let extra: Arc<Mutex<String>> = Arc::default();
        let (leaving, said) = (is_leaving.clone(), extra.clone());
        let (arrivals, own, record) = (arrivals.clone(), id.to_owned(), site.record.clone());
        let server = Server::start(site.address(number, PORT_REPLICA), move |stream| {
            let mut writer = stream.try_clone()?;
            let mut reader = BufReader::new(stream);
            while let Some(asked) = read_request(&mut reader)? {
                let common = format!(
                    "Tanagershift-Request-Id: {}\r\nTanagershift-Server-Stamp: {own}.{}\r\n\
                     Tanagershift-Instance-Id: {own}\r\nKeep-Alive: timeout=20\r\n{}{}",
                    asked.id(),
                    asked.id(),
                    said.lock().unwrap(),
                    if leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" },
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
                    let status = if leaving.load(Ordering::SeqCst) { 503 } else { 200 };
                    let head = format!("HTTP/1.1 {status} X\r\n{common}Content-Length: 0\r\n\r\n");
                    writer.write_all(head.as_bytes())?;
                    continue;
                }
                let arrival =
                    Arrival { at: Instant::now(), replica: own.clone(), path: asked.path.clone() };
                arrivals.lock().unwrap().push(arrival);
                record.add(format!("request {} reaches {own} and runs", asked.id()));
                thread::sleep(style.run_time);
                let body = format!("done {}", asked.id());
                if style.has_no_length {
                    // The answer ends with its connection.
                    let head = format!("HTTP/1.1 200 OK\r\n{common}Connection: close\r\n\r\n{body}");
                    writer.write_all(head.as_bytes())?;
                    return writer.shutdown(Shutdown::Both);
                }
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{common}Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                writer.write_all(head.as_bytes())?;
            }
            Ok(())
        })?;
        Ok(Self { id: id.to_owned(), number, style, server, is_leaving, extra })
    }

    /// Entry of the platform's list.
    pub fn entry(&self, site: &Site, state: &str) -> Vec<u8> {
        let address = site.address(self.number, PORT_REPLICA);
        format!(
            "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"zone-1\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"{state}\",\"coldRemainingMs\":0,\
             \"born\":{}}}",
            self.id, self.style.service, self.style.born
        )
        .into_bytes()
    }
}
