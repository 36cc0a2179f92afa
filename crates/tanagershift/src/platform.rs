//! The platform's list of live and leaving upstreams, which lags.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, Uri, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use tokio::{sync::watch, time::timeout};

use crate::{emit, id};

/// Largest list in bytes.
const LIST_LIMIT: usize = 16 << 20;
/// Longest time for one reading of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It takes work.
    Live,
    /// It is about to end; it takes no new work.
    Leaving,
}

/// What kind of upstream it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine; one replica of its base model.
    Engine,
    /// A host of a plain service.
    Service,
}

/// One upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Upstream {
    /// Unique name.
    pub name: id::Upstream,
    /// What kind it is.
    pub kind: Kind,
    /// Base model of an engine, or name of a plain service.
    pub serves: String,
    /// Availability zone.
    pub zone: id::Zone,
    /// Address as IP number and port.
    pub address: String,
    /// Whether it takes work.
    pub state: Standing,
}

#[derive(Deserialize)]
struct Document {
    upstreams: Vec<Upstream>,
}

/// The list as last read, in order of the names.
pub type List = Arc<Vec<Upstream>>;

/// Parses the platform's answer.
///
/// # Errors
///
/// The bytes are not a list.
pub fn parse(bytes: &[u8]) -> Result<Vec<Upstream>, serde_json::Error> {
    let document: Document = serde_json::from_slice(bytes)?;
    // A name that is listed twice counts once, as the last line says.
    let by_name: BTreeMap<id::Upstream, Upstream> = document
        .upstreams
        .into_iter()
        .map(|upstream| (upstream.name.clone(), upstream))
        .collect();
    Ok(by_name.into_values().collect())
}

/// Reads the list again and again; the last good one stays when it cannot be read.
pub async fn poll(address: String, interval: Duration, list: watch::Sender<List>) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut failing = false;
    loop {
        match read(&client, &address).await {
            Ok(upstreams) => {
                failing = false;
                note_leaving(&list.borrow(), &upstreams);
                list.send_if_modified(|known| {
                    let changed = **known != upstreams;
                    if changed {
                        *known = Arc::new(upstreams);
                    }
                    changed
                });
            }
            Err(reason) if !failing => {
                failing = true;
                emit!(LIST_FAILED, "{address}: {reason}");
            }
            Err(_) => {}
        }
        tokio::time::sleep(interval).await;
    }
}

fn note_leaving(known: &List, upstreams: &[Upstream]) {
    for upstream in upstreams
        .iter()
        .filter(|one| one.state == Standing::Leaving)
    {
        let was_live = known
            .iter()
            .any(|one| one.name == upstream.name && one.state == Standing::Live);
        if was_live {
            emit!(UPSTREAM_LEAVING, "{}", upstream.name);
        }
    }
}

async fn read(
    client: &Client<HttpConnector, Empty<Bytes>>,
    address: &str,
) -> Result<Vec<Upstream>, String> {
    let uri: Uri = format!("http://{address}/upstreams")
        .parse()
        .map_err(|error| format!("{error}"))?;
    let request = Request::get(uri)
        .body(Empty::new())
        .map_err(|error| error.to_string())?;
    let read = async {
        let answer = client
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        if !answer.status().is_success() {
            return Err(format!("status {}", answer.status()));
        }
        let body = Limited::new(answer.into_body(), LIST_LIMIT).collect();
        let bytes = body.await.map_err(|error| error.to_string())?.to_bytes();
        parse(&bytes).map_err(|error| error.to_string())
    };
    match timeout(READ_TIMEOUT, read).await {
        Ok(result) => result,
        Err(_) => Err("timeout".to_owned()),
    }
}
