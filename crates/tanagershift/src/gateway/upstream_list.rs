//! Readings of the platform's list.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::sleep};

use super::{
    Gateway,
    client::{self, Question},
    hub::Input,
    message::Upstream,
    settings::Config,
};

/// Longest time for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Most pages of one reading.
const PAGES: usize = 1000;

/// Reads the whole list once.
///
/// # Errors
///
/// A page could not be read.
pub async fn read(gateway: &Gateway, address: &str) -> Result<Vec<Upstream>, String> {
    let mut upstreams = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..PAGES {
        let question = Question::get(gateway.dialect.list_path(token.as_deref()));
        gateway.metrics.list_reads.inc();
        let answer = client::ask(&gateway.pool, address, &question, PAGE_TIMEOUT).await;
        let (status, body) = answer.map_err(|error| error.to_string())?;
        if !status.is_success() {
            return Err(format!("the platform answered {status}"));
        }
        let page = gateway.dialect.list(&body)?;
        if page.unreadable > 0 {
            log::info!("event=list.unreadable entries={}", page.unreadable);
        }
        upstreams.extend(page.upstreams);
        token = page.next;
        if token.is_none() {
            upstreams.sort_by(|left: &Upstream, right| left.name.cmp(&right.name));
            upstreams.dedup_by(|left, right| left.name == right.name);
            return Ok(upstreams);
        }
    }
    Err("the list does not end".to_owned())
}

/// Reads the list again and again for the hub, until the task is ended.
pub async fn poll(gateway: Arc<Gateway>, config: Config, inputs: mpsc::Sender<Input>) {
    let mut failing = false;
    loop {
        match read(&gateway, &config.list).await {
            Ok(upstreams) => {
                if failing {
                    log::info!("event=list.regained address={}", config.list);
                }
                failing = false;
                // The hub ends only with the process.
                let _ = inputs.send(Input::List(upstreams)).await;
            }
            Err(reason) => {
                if !failing {
                    log::warn!("event=list.lost address={} reason={reason:?}", config.list);
                }
                failing = true;
            }
        }
        sleep(config.list_interval).await;
    }
}
