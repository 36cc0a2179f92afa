//! A model replica, as the pages describe it: reports, orders to load and unload, and streams of requests for
//! what it holds. It starts with the base model that it is given, or empty.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{Shutdown, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{read_request, Asked, Fault, Record, Server, Site, PORT_REPLICA};

/// Time to load a base model, and an adapter (`loadS` and `adapter` of the sheet).
pub const MODEL_LOAD: Duration = Duration::from_millis(2000);
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
/// Events of a stream, and the time between two.
const EVENTS: u64 = 6;
const EVENT_GAP: Duration = Duration::from_millis(25);
pub const SLOTS: usize = 64;

/// What an engine holds: base models, and adapters as MODEL/NAME, each with the time at which it is loaded.
#[derive(Default)]
struct Held {
    /// When a stream last began.
    began_at: Option<Instant>,
    /// Answers so far, and those of them that were sent a second time.
    answers: u64,
    repeated: u64,
    seq: u64,
    models: BTreeMap<String, Instant>,
    adapters: BTreeMap<String, Instant>,
}

/// How an engine begins and answers.
#[derive(Clone, Copy)]
pub struct Style {
    /// Start time in Unix milliseconds.
    pub born: u64,
    /// Base model that it holds at its start.
    pub model: Option<&'static str>,
    /// Whether streams have neither a length nor chunks.
    pub has_no_length: bool,
    /// Share of the answers that come a second time, late: at the point where the next one is expected.
    pub repeats_late: f64,
}

pub struct Engine {
    pub id: String,
    number: u8,
    born: u64,
    pub server: Server,
    held: Arc<Mutex<Held>>,
}

/// Value of a field of a flat JSON object, without quotes.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = &text[start..];
    let end = rest.find([',', '}'])?;
    Some(rest[..end].trim().trim_matches('"'))
}

impl Held {
    fn has(&self, model: &str) -> bool {
        let is_loaded = |at: &Instant| Instant::now() >= *at;
        match model.contains('/') {
            true => self.adapters.get(model).is_some_and(is_loaded),
            false => self.models.get(model).is_some_and(is_loaded),
        }
    }

    fn models_json(&self) -> String {
        let adapters = |model: &str| {
            let own = self.adapters.keys().filter_map(|one| one.strip_prefix(&format!("{model}/")));
            let own = own.filter(|name| self.has(&format!("{model}/{name}")));
            own.map(|name| format!("\"{name}@1\"")).collect::<Vec<_>>().join(",")
        };
        let loaded = self.models.keys().filter(|model| self.has(model));
        let one = |model: &String| {
            format!("{{\"name\":\"{model}\",\"version\":1,\"adapters\":[{}]}}", adapters(model))
        };
        loaded.map(one).collect::<Vec<_>>().join(",")
    }

    /// Carries out an order; returns its status.
    fn order(&mut self, text: &str) -> u16 {
        let Some(model) = field(text, "model") else { return 400 };
        if field(text, "holder").is_none() || field(text, "fencingToken").is_none() {
            return 400;
        }
        let name = match field(text, "adapter") {
            Some(adapter) => format!("{model}/{adapter}"),
            None => model.to_owned(),
        };
        let now = Instant::now();
        let is_model = !name.contains('/');
        let expected = field(text, "expect").and_then(|text| text.parse::<u64>().ok());
        let is_known = self.models.contains_key(&name) || self.adapters.contains_key(&name);
        match field(text, "operation") {
            Some("load") if self.has(&name) => 200,
            Some("load") if is_known => 202,
            Some("load" | "unload") if expected.is_some_and(|expected| expected != self.seq) => 409,
            Some("load") if is_model => {
                if self.models.values().any(|at| now < *at) {
                    return 409;
                }
                self.models.insert(name, now + MODEL_LOAD);
                self.seq += 1;
                202
            }
            Some("load") if !self.has(model) => 409,
            // The adapters are named a1 to a3000.
            Some("load") if !exists(&name) => 400,
            Some("load") => {
                self.adapters.insert(name, now + ADAPTER_LOAD);
                self.seq += 1;
                202
            }
            Some("unload") if !is_known => 200,
            Some("unload") => {
                self.adapters.retain(|one, _| *one != name && !one.starts_with(&format!("{name}/")));
                self.models.remove(&name);
                self.seq += 1;
                200
            }
            _ => 400,
        }
    }
}

/// Whether the store has an adapter.
fn exists(name: &str) -> bool {
    let number = name.rsplit_once("/a").and_then(|(_, text)| text.parse::<u32>().ok());
    number.is_some_and(|number| (1..=3000).contains(&number))
}

impl Engine {
    pub fn start(site: &Arc<Site>, number: u8, id: &str, style: Style) -> Fault<Self> {
        let held: Arc<Mutex<Held>> = Arc::default();
        if let Some(model) = style.model {
            held.lock().unwrap().models.insert(model.to_owned(), Instant::now());
        }
        let (own, kept, record) = (id.to_owned(), held.clone(), site.record.clone());
        let server = Server::start(site.address(number, PORT_REPLICA), move |stream| {
            converse(stream, &own, style, &kept, &record)
        })?;
        Ok(Self { id: id.to_owned(), number, born: style.born, server, held })
    }

    /// Entry of the platform's list.
    pub fn entry(&self, site: &Site, service: &str) -> Vec<u8> {
        let address = site.address(self.number, PORT_REPLICA);
        format!(
            "{{\"id\":\"{}\",\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-1\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"stage\":\"colocated\",\"models\":[{}],\"born\":{}}}",
            self.id,
            self.held.lock().unwrap().models_json(),
            self.born
        )
        .into_bytes()
    }

    /// Whether a stream has begun a moment ago.
    pub fn has_just_begun(&self) -> bool {
        let began_at = self.held.lock().unwrap().began_at;
        began_at.is_some_and(|at| at.elapsed() < EVENT_GAP * 2)
    }

    /// Answers so far, and those of them that were sent a second time.
    pub fn answers(&self) -> (u64, u64) {
        let held = self.held.lock().unwrap();
        (held.answers, held.repeated)
    }

    pub fn models(&self) -> Vec<String> {
        self.held.lock().unwrap().models.keys().cloned().collect()
    }
}

fn converse(
    stream: TcpStream,
    own: &str,
    style: Style,
    held: &Mutex<Held>,
    record: &Record,
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut late: Option<String> = None;
    while let Some(asked) = read_request(&mut reader)? {
        if let Some(extra) = late.take() {
            let what = match asked.id() {
                "" => asked.path.clone(),
                id => format!("request {id}"),
            };
            record.add(format!("{own} sends its last answer again, where that to {what} is due"));
            writer.write_all(extra.as_bytes())?;
        }
        held.lock().unwrap().answers += 1;
        let expected = asked.header("tanagershift-expect-instance");
        let is_other = !expected.is_empty() && expected != own;
        let plain = |status: u16, body: &str| {
            format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        match asked.path.as_str() {
            "/v1/report" => {
                let held = held.lock().unwrap();
                let body = format!(
                    "{{\"stage\":\"colocated\",\"models\":[{}],\"busy\":false,\"seq\":{},\"waiting\":0,\
                     \"running\":0,\"kvUsed\":0,\"kvTotal\":121105,\"handles\":0,\"coming\":[],\"born\":{}}}",
                    held.models_json(),
                    held.seq,
                    style.born
                );
                writer.write_all(plain(200, &body).as_bytes())?;
            }
            "/v1/order" => {
                let text = String::from_utf8_lossy(&asked.body).into_owned();
                let status = match is_other {
                    true => 421,
                    false => held.lock().unwrap().order(&text),
                };
                if field(&text, "adapter").is_none() || status == 400 {
                    record.add(format!("order to {own}: {text} -> {status}"));
                }
                let body = if status == 400 { "{\"error\":\"no such adapter\"}" } else { "{}" };
                let answer = plain(status, body);
                writer.write_all(answer.as_bytes())?;
                let mut held = held.lock().unwrap();
                let may_repeat = (held.repeated + 1) as f64 <= held.answers as f64 * style.repeats_late;
                if status == 400 && may_repeat {
                    held.repeated += 1;
                    late = Some(answer);
                }
            }
            _ => {
                answer(&asked, own, is_other, style, held, &mut writer)?;
                if style.has_no_length {
                    return writer.shutdown(Shutdown::Both);
                }
            }
        }
    }
    Ok(())
}

fn answer(
    asked: &Asked,
    own: &str,
    is_other: bool,
    style: Style,
    held: &Mutex<Held>,
    writer: &mut TcpStream,
) -> io::Result<()> {
    let common = format!(
        "Tanagershift-Request-Id: {}\r\nTanagershift-Server-Stamp: {own}.{}\r\n\
         Tanagershift-Server-Load: 0,0,{SLOTS}\r\n",
        asked.id(),
        asked.id()
    );
    let model = asked.header("tanagershift-model");
    let runs = !is_other && held.lock().unwrap().has(model);
    if !runs {
        let head = format!(
            "HTTP/1.1 421 X\r\n{common}Tanagershift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        return writer.write_all(head.as_bytes());
    }
    held.lock().unwrap().began_at = Some(Instant::now());
    let framing = match style.has_no_length {
        true => "Connection: close",
        false => "Transfer-Encoding: chunked",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{common}Tanagershift-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    let after: u64 = asked.header("last-event-id").parse().unwrap_or(0);
    for number in after + 1..=EVENTS {
        thread::sleep(EVENT_GAP);
        let event = format!("id: {number}\ndata: {model} {number}\n\n");
        match style.has_no_length {
            true => writer.write_all(event.as_bytes())?,
            false => write!(writer, "{:x}\r\n{event}\r\n", event.len())?,
        }
    }
    if style.has_no_length {
        return Ok(());
    }
    writer.write_all(b"0\r\n\r\n")
}
