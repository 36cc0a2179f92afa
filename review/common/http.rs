//! HTTP/1.1 by hand: a client, and the reading of requests.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// An answer as a client got it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; `None` if the connection ended before a head.
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing states.
    pub whole: bool,
    /// Why it is not whole.
    pub error: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads from a connection until `kept` holds a whole head; returns its lines.
pub fn read_head(stream: &mut TcpStream, kept: &mut Vec<u8>) -> Result<Vec<String>, String> {
    loop {
        if let Some(end) = kept.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&kept[..end]).into_owned();
            kept.drain(..end + 4);
            return Ok(head.split("\r\n").map(str::to_owned).collect());
        }
        read_more(stream, kept)?;
    }
}

/// Reads once; an end of the connection is an error.
pub fn read_more(stream: &mut TcpStream, kept: &mut Vec<u8>) -> Result<(), String> {
    let mut buffer = [0; 16 << 10];
    match stream.read(&mut buffer) {
        Ok(0) => Err("the connection ended".to_owned()),
        Ok(count) => {
            kept.extend_from_slice(&buffer[..count]);
            Ok(())
        }
        Err(error) => Err(error.to_string()),
    }
}

/// Header lines as pairs with names in lower case.
pub fn parse_headers(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Answer {
    let mut answer = Answer::default();
    if let Err(error) = exchange(to, method, path, headers, body, limit, &mut answer) {
        answer.error = error;
    }
    answer
}

fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
    answer: &mut Answer,
) -> Result<(), String> {
    let until = Instant::now() + limit;
    let error = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(error)?;
    stream.set_nodelay(true).map_err(error)?;
    stream.set_read_timeout(Some(limit)).map_err(error)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("host: {to}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).map_err(error)?;
    let mut kept = Vec::new();
    let lines = read_head(&mut stream, &mut kept)?;
    let status = lines[0].split(' ').nth(1).and_then(|text| text.parse().ok());
    answer.status = status;
    answer.headers = parse_headers(&lines[1..]);
    if answer.header("transfer-encoding").is_some() {
        return read_chunks(&mut stream, kept, answer, until);
    }
    let length = answer.header("content-length").map(str::to_owned);
    let length: Option<usize> = length.and_then(|text| text.parse().ok());
    loop {
        if length.is_some_and(|length| kept.len() >= length) {
            answer.body = kept;
            answer.whole = true;
            return Ok(());
        }
        let before = kept.len();
        if let Err(error) = read_more(&mut stream, &mut kept) {
            let ended = error == "the connection ended" && kept.len() == before;
            answer.body = kept;
            answer.whole = ended && length.is_none();
            return if answer.whole { Ok(()) } else { Err(error) };
        }
        if Instant::now() > until {
            answer.body = kept;
            return Err("time is over".to_owned());
        }
    }
}

fn read_chunks(
    stream: &mut TcpStream,
    mut kept: Vec<u8>,
    answer: &mut Answer,
    until: Instant,
) -> Result<(), String> {
    loop {
        if Instant::now() > until {
            return Err("time is over".to_owned());
        }
        let Some(end) = kept.windows(2).position(|two| two == b"\r\n") else {
            read_more(stream, &mut kept)?;
            continue;
        };
        let size = String::from_utf8_lossy(&kept[..end]).into_owned();
        let size = size.split(';').next().unwrap_or("").trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|error| error.to_string())?;
        while kept.len() < end + 2 + size + 2 {
            read_more(stream, &mut kept)?;
        }
        answer.body.extend_from_slice(&kept[end + 2..end + 2 + size]);
        kept.drain(..end + 2 + size + 2);
        if size == 0 {
            answer.whole = true;
            return Ok(());
        }
    }
}
