//! Client of a model engine's HTTP interfaces: completions, and loading and unloading of adapters.
//!
//! Orders to load or unload go to the dynamic adapter endpoints `/v1/load_lora_adapter` and
//! `/v1/unload_lora_adapter`, with the fencing token of the lease in a header.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use snafu::Snafu;
use tokio::time::{Instant, timeout};

use crate::{
    admission::{Access, Admission, LEAVING_HEADER, Origin, Signal},
    id,
    verdict::Verdict,
};

/// Header with the fencing token of an order, which is the epoch of the lease.
pub const FENCING_HEADER: &str = "x-fencing-token";
/// Header with the id of a request. An engine may repeat it in its answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Limit on the time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Limit on a query or an unload order.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Size limit of the answer to an order or a query.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;

/// Pooling HTTP client for engines and other upstreams.
pub type Http = Client<HttpConnector, Full<Bytes>>;

/// Makes an HTTP client for upstreams, with its own connection pool.
pub fn http() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_secs(15))
        .build(connector)
}

/// Failure of an exchange with an engine.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// Nothing was sent, usually because the engine could not be reached.
    #[snafu(display("cannot reach the engine: {reason}"))]
    Connect {
        /// Description of the failure.
        reason: String,
    },
    /// The engine leaves or has asked for a pause; nothing was sent.
    #[snafu(display("the engine takes no requests now"))]
    Withheld {
        /// Why the engine takes none.
        access: Access,
    },
    /// The exchange failed after the request may have been sent.
    #[snafu(display("exchange with the engine broke off: {reason}"))]
    Broken {
        /// Description of the failure.
        reason: String,
    },
    /// The engine answered with a status other than success.
    #[snafu(display("the engine answered {status}: {text}"))]
    Status {
        /// Status of the answer.
        status: StatusCode,
        /// First 200 bytes of the body.
        text: String,
    },
}

impl Error {
    /// Verdict on a request that failed with this error.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::Withheld { .. } => Verdict::NotRun,
            Self::Broken { .. } | Self::Status { .. } => Verdict::MayHaveRun,
        }
    }
}

/// Converts an error of the HTTP client, depending on whether the request may have been sent.
pub fn classify(error: &legacy::Error) -> Error {
    let reason = error_chain(error);
    if error.is_connect() {
        Error::Connect { reason }
    } else {
        Error::Broken { reason }
    }
}

/// Formats an error together with its sources.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// Time for which a departure of an engine is kept. An engine keeps its name when it restarts, and
/// one that leaves ends well within this time.
pub const DEPARTURE_TTL: Duration = Duration::from_secs(30);

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    http: Http,
    name: id::Upstream,
    address: String,
    admission: Arc<Mutex<Admission>>,
}

#[derive(Deserialize)]
struct Models {
    data: Vec<Model>,
}

/// An entry of the engine's model list. An adapter names its base model as `parent`; a base model
/// has no parent.
#[derive(Deserialize)]
struct Model {
    id: String,
    #[serde(default)]
    parent: Option<String>,
}

/// An engine's report of its load, which may be outdated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct LoadReport {
    /// Names of the adapters on which requests were running.
    pub running_adapters: Vec<String>,
    /// Age of the report's data in milliseconds.
    pub age_ms: u64,
}

impl Engine {
    /// Makes a client for the engine at `address`.
    pub fn new(http: Http, name: id::Upstream, address: String) -> Self {
        let admission = Admission::with_departure_ttl(DEPARTURE_TTL);
        Self {
            http,
            name,
            address,
            admission: Arc::new(Mutex::new(admission)),
        }
    }

    fn admission(&self) -> MutexGuard<'_, Admission> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the engine takes requests now.
    pub fn access(&self, now: Instant) -> Access {
        self.admission().access(&self.name, now)
    }

    fn observe(&self, status: StatusCode, headers: &HeaderMap, origin: Origin) {
        let leaving = headers.contains_key(LEAVING_HEADER);
        let signal = Signal::from_head(status, headers, leaving);
        let now = Instant::now();
        self.admission().observe(&self.name, signal, origin, now);
    }

    /// Lists the names of the adapters that the engine has loaded.
    ///
    /// # Errors
    ///
    /// The engine cannot be reached, or its answer is not a valid list.
    pub async fn adapters(&self) -> Result<Vec<String>, Error> {
        let models: Models = self.get_json("/v1/models").await?;
        let adapters = models
            .data
            .into_iter()
            .filter(|model| model.parent.is_some());
        Ok(adapters.map(|model| model.id).collect())
    }

    /// Fetches the engine's load report.
    ///
    /// # Errors
    ///
    /// The engine cannot be reached, or its answer is not a valid report.
    pub async fn load_report(&self) -> Result<LoadReport, Error> {
        self.get_json("/load").await
    }

    async fn get_json<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Result<T, Error> {
        let request = Request::get(format!("http://{}{path}", self.address)).body(Full::default());
        let (status, bytes) = self.exchange(request, CONTROL_TIMEOUT).await?;
        check_status(status, &bytes)?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Broken {
            reason: error.to_string(),
        })
    }

    /// Orders the engine to load the adapter at `weights` under the given name.
    ///
    /// # Errors
    ///
    /// The engine did not load the adapter, or it is unknown whether it did.
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

    /// Orders the engine to unload an adapter; succeeds if the engine does not know the adapter.
    ///
    /// # Errors
    ///
    /// The engine refused the order, or it is unknown whether it unloaded the adapter.
    pub async fn unload(&self, name: &str, epoch: id::Epoch) -> Result<(), Error> {
        let body = serde_json::json!({ "lora_name": name });
        let path = "/v1/unload_lora_adapter";
        match self.order(path, &body, epoch, CONTROL_TIMEOUT).await {
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
        check_status(status, &bytes)
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
            self.observe(status, answer.headers(), Origin::Order);
            let body = Limited::new(answer.into_body(), ANSWER_LIMIT_BYTES)
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

    /// Sends a completion request and waits for the head of the answer; the body of the returned
    /// response is not read yet.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] or [`Error::Withheld`] if nothing was sent, [`Error::Broken`] if the request
    /// may have run.
    pub async fn complete(
        &self,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let request = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, id)
            .body(Full::from(body))
            .map_err(|error| Error::Connect {
                reason: error.to_string(),
            })?;
        if let Err(access) = self.admission().admit(&self.name, Instant::now()) {
            access.log_withheld(id, &self.name, Instant::now());
            return WithheldSnafu { access }.fail();
        }
        let response = self.http.request(request).await;
        let response = response.map_err(|error| classify(&error))?;
        self.observe(response.status(), response.headers(), Origin::Answer);
        Ok(response)
    }
}

fn check_status(status: StatusCode, bytes: &[u8]) -> Result<(), Error> {
    if status.is_success() {
        return Ok(());
    }
    let start = &bytes[..bytes.len().min(200)];
    Err(Error::Status {
        status,
        text: String::from_utf8_lossy(start).into_owned(),
    })
}
