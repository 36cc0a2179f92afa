//! The calls that every model replica answers beside requests.

use std::{collections::BTreeSet, net::TcpStream, sync::Mutex};

use super::replica::{Request, answer};

/// What a model replica holds beside its base model `m0`.
#[derive(Default)]
pub struct Engine {
    state: Mutex<(BTreeSet<String>, u64)>,
}

impl Engine {
    /// Answers reports and orders, as of a start time; `None` for any other request.
    pub fn answer(&self, request: &Request, born: u64, stream: &mut TcpStream) -> Option<bool> {
        let mut state = self.state.lock().unwrap();
        match request.path.as_str() {
            "/v1/report" => {
                let names: Vec<String> = state.0.iter().map(|name| format!("\"{name}@1\"")).collect();
                let report = format!(
                    r#"{{"stage":"colocated","models":[{{"name":"m0","version":1,"adapters":[{}]}}],"busy":false,"seq":{},"waiting":0,"running":0,"kvUsed":0,"kvTotal":121105,"handles":0,"coming":[],"born":{born}}}"#,
                    names.join(","),
                    state.1,
                );
                Some(answer(stream, 200, &[("content-type", "application/json")], &report))
            }
            "/v1/order" => {
                let name = request.body.split("\"adapter\":\"").nth(1).unwrap_or("");
                let name = name.split('"').next().unwrap_or("").to_owned();
                let status = if request.body.contains("\"unload\"") {
                    state.0.remove(&name);
                    200
                } else if state.0.insert(name) {
                    202
                } else {
                    200
                };
                state.1 += u64::from(status == 202 || request.body.contains("\"unload\""));
                Some(answer(stream, status, &[], ""))
            }
            _ => None,
        }
    }
}
