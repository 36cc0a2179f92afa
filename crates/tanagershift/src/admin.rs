//! Metrics, readiness and liveness over HTTP.

use std::sync::Arc;

use hyper::StatusCode;
use tokio::net::TcpListener;
use warp::{Filter, Reply};

use crate::host::Host;

/// Serves `/metrics`, `/healthz` and `/readyz` until the process ends.
pub async fn serve(listener: TcpListener, host: Arc<Host>) {
    let shared = warp::any().map(move || host.clone());
    let metrics = warp::path!("metrics").and(shared.clone()).map(metrics);
    let live = warp::path!("healthz").map(|| String::from("ok\n"));
    let ready = warp::path!("readyz").and(shared).map(ready);
    let routes = warp::get().and(metrics.or(live).or(ready)).boxed();
    warp::serve(routes).incoming(listener).run().await;
}

fn metrics(host: Arc<Host>) -> impl Reply {
    host.metrics.set_revisions(host.revision(), host.accepted());
    let format = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    warp::reply::with_header(host.metrics.render(), "content-type", format.to_owned())
}

fn ready(host: Arc<Host>) -> impl Reply {
    let (text, status) = if host.is_ready() {
        ("ready\n", StatusCode::OK)
    } else {
        ("not ready\n", StatusCode::SERVICE_UNAVAILABLE)
    };
    warp::reply::with_status(text.to_owned(), status)
}
