//! Stand-in of the weight store: limits the rate of loads, and slows down when too many run.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use argh::FromArgs;
use serde_json::json;
use warp::{Filter, Reply, http::StatusCode};

use crate::http::Error;

/// Stand-in of the weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
pub struct Config {
    /// address
    #[argh(option)]
    listen: SocketAddr,
    /// loads a second; more are refused with status 429
    #[argh(option, default = "5.0")]
    rate: f64,
    /// loads in flight at full speed
    #[argh(option, default = "8")]
    in_flight: usize,
    /// milliseconds of a load at full speed
    #[argh(option, default = "250")]
    load_ms: u64,
}

struct Store {
    config: Config,
    tokens: Mutex<(f64, Instant)>,
    running: AtomicUsize,
    most: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
}

/// Serves until the process ends.
pub async fn run(config: Config) -> Result<(), Error> {
    let address = config.listen;
    let store = Arc::new(Store {
        tokens: Mutex::new((config.rate, Instant::now())),
        config,
        running: AtomicUsize::new(0),
        most: AtomicUsize::new(0),
        served: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
    });
    let shared = warp::any().map(move || store.clone());
    let weights = warp::path("weights")
        .and(warp::path::tail())
        .and(shared.clone())
        .then(|tail: warp::path::Tail, store: Arc<Store>| async move {
            store.load(tail.as_str()).await
        });
    let counts = warp::path!("counts")
        .and(shared)
        .map(|store: Arc<Store>| store.counts());
    let routes = warp::get().and(weights.or(counts)).boxed();
    let listener = tokio::net::TcpListener::bind(address).await?;
    println!("listening on {address}");
    warp::serve(routes).incoming(listener).run().await;
    Ok(())
}

impl Store {
    fn allows(&self) -> bool {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let earned = now.duration_since(tokens.1).as_secs_f64() * self.config.rate;
        // One second's worth may come at once.
        *tokens = ((tokens.0 + earned).min(self.config.rate), now);
        if tokens.0 < 1.0 {
            return false;
        }
        tokens.0 -= 1.0;
        true
    }

    async fn load(&self, path: &str) -> impl Reply + use<> {
        if !self.allows() {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return warp::reply::with_status(String::new(), StatusCode::TOO_MANY_REQUESTS);
        }
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(running, Ordering::Relaxed);
        let slowdown = (running as f64 / self.config.in_flight as f64).max(1.0);
        let time = Duration::from_millis(self.config.load_ms).mul_f64(slowdown);
        tokio::time::sleep(time).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        self.served.fetch_add(1, Ordering::Relaxed);
        warp::reply::with_status(format!("weights of {path}"), StatusCode::OK)
    }

    fn counts(&self) -> impl Reply + use<> {
        warp::reply::json(&json!({
            "served": self.served.load(Ordering::Relaxed),
            "refused": self.refused.load(Ordering::Relaxed),
            "most_in_flight": self.most.load(Ordering::Relaxed),
        }))
    }
}
