//! The published interfaces of a model engine: completions, and orders for adapters.
//!
//! Orders go to the dynamic adapter endpoints `/v1/load_lora_adapter` and
//! `/v1/unload_lora_adapter`, with the fencing number of the lease in a header.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use snafu::Snafu;
use tokio::time::timeout;

use crate::{id, verdict::Verdict};

/// Header with the fencing number of an order.
pub const FENCING_HEADER: &str = "x-fencing-token";
/// Header with the id of a request, which the engine repeats in its answer.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time for a question to an engine.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(2000);
/// Largest answer to an order or a question in bytes.
const ANSWER_LIMIT: usize = 4 << 20;

/// Client of HTTP upstreams.
pub type Http = Client<HttpConnector, Full<Bytes>>;

/// Makes a client of HTTP upstreams.
pub fn http() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_secs(15))
        .build(connector)
}

/// Why an engine did not do what it was asked.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// It could not be reached; nothing was sent.
    #[snafu(display("cannot reach the engine: {reason}"))]
    Connect {
        /// Why.
        reason: String,
    },
    /// The exchange broke off.
    #[snafu(display("exchange with the engine broke off: {reason}"))]
    Broken {
        /// Why.
        reason: String,
    },
    /// It answered with another status than success.
    #[snafu(display("the engine answered {status}: {text}"))]
    Status {
        /// Status.
        status: StatusCode,
        /// Start of the body.
        text: String,
    },
}

impl Error {
    /// Whether a request that failed so may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } => Verdict::NotRun,
            Self::Broken { .. } | Self::Status { .. } => Verdict::MayHaveRun,
        }
    }
}

/// Says what a client's failure proves.
pub fn classify(error: &legacy::Error) -> Error {
    let reason = error_chain(error);
    if error.is_connect() {
        Error::Connect { reason }
    } else {
        Error::Broken { reason }
    }
}

/// An error with its causes.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    http: Http,
    address: String,
}

#[derive(Deserialize)]
struct Models {
    data: Vec<Model>,
}

#[derive(Deserialize)]
struct Model {
    id: String,
    #[serde(default)]
    parent: Option<String>,
}

/// An engine's report of its load, which lags.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Load {
    /// Names of adapters on which requests ran.
    pub running_adapters: Vec<String>,
    /// Milliseconds since the report was true.
    pub age_ms: u64,
}

impl Engine {
    /// Makes a client of one engine.
    pub fn new(http: Http, address: String) -> Self {
        Self { http, address }
    }

    /// Names of the adapters that the engine has loaded.
    ///
    /// # Errors
    ///
    /// The engine did not answer as published.
    pub async fn adapters(&self) -> Result<Vec<String>, Error> {
        let models: Models = self.question("/v1/models").await?;
        let adapters = models
            .data
            .into_iter()
            .filter(|model| model.parent.is_some());
        Ok(adapters.map(|model| model.id).collect())
    }

    /// The engine's report of its load.
    ///
    /// # Errors
    ///
    /// The engine did not answer as published.
    pub async fn load_report(&self) -> Result<Load, Error> {
        self.question("/load").await
    }

    async fn question<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Result<T, Error> {
        let request = Request::get(format!("http://{}{path}", self.address)).body(Full::default());
        let (status, bytes) = self.exchange(request, QUESTION_TIMEOUT).await?;
        check(status, &bytes)?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Broken {
            reason: error.to_string(),
        })
    }

    /// Orders the engine to load an adapter from the store.
    ///
    /// # Errors
    ///
    /// The engine did not load it, or it is unknown whether it did.
    pub async fn load(
        &self,
        name: &str,
        weights: &str,
        epoch: id::Epoch,
        limit: Duration,
    ) -> Result<(), Error> {
        let body = serde_json::json!({ "lora_name": name, "lora_path": weights });
        self.order("/v1/load_lora_adapter", &body, epoch, limit)
            .await
    }

    /// Orders the engine to unload an adapter; one that it does not know is as good.
    ///
    /// # Errors
    ///
    /// It is unknown whether the engine unloaded it.
    pub async fn unload(&self, name: &str, epoch: id::Epoch) -> Result<(), Error> {
        let body = serde_json::json!({ "lora_name": name });
        let path = "/v1/unload_lora_adapter";
        match self.order(path, &body, epoch, QUESTION_TIMEOUT).await {
            Err(Error::Status { status, .. }) if status == StatusCode::NOT_FOUND => Ok(()),
            outcome => outcome,
        }
    }

    async fn order(
        &self,
        path: &str,
        body: &serde_json::Value,
        epoch: id::Epoch,
        limit: Duration,
    ) -> Result<(), Error> {
        let request = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .header(FENCING_HEADER, epoch)
            .body(Full::from(body.to_string()));
        let (status, bytes) = self.exchange(request, limit).await?;
        check(status, &bytes)
    }

    async fn exchange(
        &self,
        request: Result<Request<Full<Bytes>>, hyper::http::Error>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let request = request.map_err(|error| Error::Connect {
            reason: error.to_string(),
        })?;
        let exchange = async {
            let answer = self
                .http
                .request(request)
                .await
                .map_err(|error| classify(&error))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), ANSWER_LIMIT)
                .collect()
                .await;
            let bytes = body.map_err(|error| Error::Broken {
                reason: error.to_string(),
            })?;
            Ok((status, bytes.to_bytes()))
        };
        timeout(limit, exchange).await.map_err(|_| Error::Broken {
            reason: "timeout".to_owned(),
        })?
    }

    /// Sends a completion request; the answer's body follows in parts.
    ///
    /// # Errors
    ///
    /// `Connect` when nothing was sent.
    pub async fn complete(
        &self,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let request = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .header(REQUEST_HEADER, id)
            .body(Full::from(body))
            .map_err(|error| Error::Connect {
                reason: error.to_string(),
            })?;
        self.http
            .request(request)
            .await
            .map_err(|error| classify(&error))
    }
}

fn check(status: StatusCode, bytes: &[u8]) -> Result<(), Error> {
    if status.is_success() {
        return Ok(());
    }
    let start = &bytes[..bytes.len().min(200)];
    Err(Error::Status {
        status,
        text: String::from_utf8_lossy(start).into_owned(),
    })
}
