//! Stand-in of a plain service: charges and tickets that may not be repeated, and lookups.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use argh::FromArgs;
use hyper::{Method, Request, body::Incoming};
use serde_json::json;
use tokio::time::sleep;

use crate::{
    faults::{Fault, Faults},
    http::{self, Answer, Cut, Error},
};

/// Stand-in of a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub struct Config {
    /// address
    #[argh(option)]
    listen: SocketAddr,
    /// name, shown in its answers
    #[argh(option)]
    name: String,
    /// milliseconds of work for each call
    #[argh(option, default = "5")]
    work_ms: u64,
}

#[derive(Default)]
struct Counts {
    runs: u64,
    by_key: BTreeMap<String, u64>,
    by_request: BTreeMap<String, u64>,
}

struct Service {
    config: Config,
    faults: Faults,
    counts: Mutex<Counts>,
}

/// Serves until the process ends.
pub async fn run(config: Config) -> Result<(), Error> {
    let address = config.listen;
    let service = Arc::new(Service {
        config,
        faults: Faults::default(),
        counts: Mutex::default(),
    });
    http::serve(address, move |request| {
        let service = service.clone();
        async move { service.answer(request).await }
    })
    .await
}

impl Service {
    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/counts") => Ok(self.show_counts()),
            (&Method::POST, "/faults") => {
                let body = http::read(request).await?;
                let status = if self.faults.add(&body).is_ok() {
                    200
                } else {
                    400
                };
                Ok(http::json(status, &json!({})))
            }
            _ => {
                let mut response = self.call(request).await?;
                self.faults.announce(&mut response);
                Ok(response)
            }
        }
    }

    fn show_counts(&self) -> hyper::Response<http::Body> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        http::json(
            200,
            &json!({
                "runs": counts.runs,
                "by_key": counts.by_key,
                "by_request": counts.by_request,
            }),
        )
    }

    async fn call(&self, request: Request<Incoming>) -> Answer {
        let fault = self.faults.take(&[
            Fault::CutBefore,
            Fault::CutAfter,
            Fault::CutDuring,
            Fault::RefuseBefore,
            Fault::RefuseAfter,
            Fault::Hang,
            Fault::Pause,
            Fault::Exit,
        ]);
        match fault {
            Some(Fault::CutBefore) => return Err(Cut),
            Some(Fault::RefuseBefore) => return Ok(http::json(503, &json!({ "error": "busy" }))),
            Some(Fault::Pause) => return Ok(http::pause()),
            _ => {}
        }
        let header = |name: &str| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned)
        };
        let (key, id) = (header("idempotency-key"), header("x-request-id"));
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let body = http::read(request).await?;
        sleep(Duration::from_millis(self.config.work_ms)).await;
        let run = self.count(key.as_deref(), id);
        let answer = json!({
            "service": self.config.name,
            "method": method.as_str(),
            "path": path,
            "key": key,
            "run": run,
            "received": String::from_utf8_lossy(&body),
        });
        match fault {
            Some(Fault::CutAfter | Fault::CutDuring) => Err(Cut),
            Some(Fault::RefuseAfter) => Ok(http::json(503, &json!({ "error": "late" }))),
            Some(Fault::Hang) => std::future::pending().await,
            Some(Fault::Exit) => std::process::exit(1),
            _ => Ok(http::json(200, &answer)),
        }
    }

    /// Counts a run; returns how often this key has run.
    fn count(&self, key: Option<&str>, id: Option<String>) -> u64 {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.runs += 1;
        if let Some(id) = id {
            *counts.by_request.entry(id).or_default() += 1;
        }
        let Some(key) = key else {
            return 1;
        };
        let runs = counts.by_key.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }
}
