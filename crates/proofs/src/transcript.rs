//! The text of a whole session, with what differs from run to run taken out.

use std::fmt::Write as _;

use serde_json::Value;
use standins::http::Reply;

use crate::site::Site;

/// Headers of an answer that a session shows.
const SHOWN: [&str; 5] = [
    "content-type",
    "retry-after",
    "x-tanagershift-verdict",
    "x-tanagershift-target",
    "x-tanagershift-replayed",
];

/// A session as it is written down.
#[derive(Debug, Default)]
pub struct Transcript(String);

impl Transcript {
    /// Adds a line.
    pub fn note(&mut self, line: impl AsRef<str>) {
        self.0.push_str(line.as_ref());
        self.0.push('\n');
    }

    /// Adds a caller's request and its answer.
    pub fn call(&mut self, request: &str, reply: &Reply) {
        self.note(format!("> {request}"));
        self.note(format!("< {}", reply.status));
        for name in SHOWN {
            if !reply.header(name).is_empty() {
                self.note(format!("< {name}: {}", reply.header(name)));
            }
        }
        let body = String::from_utf8_lossy(&reply.body);
        for line in body.lines().filter(|line| !line.is_empty()) {
            self.note(format!("< {}", normal(line)));
        }
        self.note("");
    }

    /// Adds a run of the operators' tool.
    pub fn tool(&mut self, site: &Site, arguments: &[&str]) {
        let output = site.ctl(arguments);
        self.note(format!("$ tanagershiftctl {}", arguments.join(" ")));
        for bytes in [&output.stdout, &output.stderr] {
            for line in String::from_utf8_lossy(bytes).lines() {
                self.note(line.trim_end());
            }
        }
        self.note(format!("exit {}", output.status.code().unwrap_or(-1)));
        self.note("");
    }

    /// The whole text.
    pub fn text(&self) -> &str {
        &self.0
    }
}

/// A line of an answer without the ids that differ from run to run.
fn normal(line: &str) -> String {
    let (prefix, json) = match line.strip_prefix("data: ") {
        Some(json) => ("data: ", json),
        None => ("", line),
    };
    let Ok(mut value) = serde_json::from_str::<Value>(json) else {
        return line.to_owned();
    };
    if let Some(id) = value.get_mut("id") {
        *id = "ID".into();
    }
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write!(text, "{prefix}{value}");
    text
}
