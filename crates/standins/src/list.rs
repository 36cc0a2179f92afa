//! Stand-in of the platform's list: shows a file as it was a while ago.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use argh::FromArgs;
use warp::{Filter, Reply};

use crate::http::Error;

/// Time between two readings of the file.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// Stand-in of the platform's list.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct Config {
    /// address
    #[argh(option)]
    listen: SocketAddr,
    /// file with the list, read again and again
    #[argh(option)]
    file: PathBuf,
    /// milliseconds by which the list lags
    #[argh(option, default = "500")]
    lag_ms: u64,
}

/// Serves until the process ends.
pub async fn run(config: Config) -> Result<(), Error> {
    let first = tokio::fs::read_to_string(&config.file).await?;
    let shown = Arc::new(Mutex::new(first.clone()));
    tokio::spawn(follow(config.file, config.lag_ms, first, shown.clone()));
    let list = warp::path!("upstreams").map(move || {
        let text = shown.lock().unwrap_or_else(PoisonError::into_inner).clone();
        warp::reply::with_header(text, "content-type", String::from("application/json"))
            .into_response()
    });
    let listener = tokio::net::TcpListener::bind(config.listen).await?;
    println!("listening on {}", config.listen);
    warp::serve(warp::get().and(list).boxed())
        .incoming(listener)
        .run()
        .await;
    Ok(())
}

async fn follow(file: PathBuf, lag_ms: u64, mut known: String, shown: Arc<Mutex<String>>) {
    loop {
        tokio::time::sleep(READ_INTERVAL).await;
        let Ok(text) = tokio::fs::read_to_string(&file).await else {
            continue;
        };
        // A file that is being written is not a list yet.
        if text == known || serde_json::from_str::<serde_json::Value>(&text).is_err() {
            continue;
        }
        known.clone_from(&text);
        let shown = shown.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(lag_ms)).await;
            *shown.lock().unwrap_or_else(PoisonError::into_inner) = text;
        });
    }
}
