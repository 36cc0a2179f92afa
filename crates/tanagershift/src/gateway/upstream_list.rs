//! Reads the platform's upstream list.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::sleep};

use super::{
    Gateway,
    client::{self, ApiRequest},
    hub::Input,
    message::Upstream,
    settings::Config,
};

/// Time limit for one page of the list.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of pages; guards against a list whose page tokens never end.
const MAX_PAGES: usize = 1000;

/// Reads all pages of the list once. The upstreams are sorted by name, without duplicates.
///
/// # Errors
///
/// If a page cannot be read, or if the list has too many pages.
pub async fn read(gateway: &Gateway, address: &str) -> Result<Vec<Upstream>, String> {
    let mut upstreams = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let request = ApiRequest::get(gateway.dialect.list_path(token.as_deref()));
        gateway.metrics.list_reads.inc();
        let response = client::fetch(&gateway.pool, address, &request, PAGE_TIMEOUT).await;
        let (head, body) = response.map_err(|error| error.to_string())?;
        if !head.status.is_success() {
            return Err(format!("the platform answered {}", head.status));
        }
        let page = gateway.dialect.parse_list_page(&body)?;
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
    Err("the list has too many pages".to_owned())
}

/// Polls the list for the hub until the task is aborted.
pub async fn poll(gateway: Arc<Gateway>, config: Config, inputs: mpsc::Sender<Input>) {
    let mut failing = false;
    loop {
        match read(&gateway, &config.list_address).await {
            Ok(upstreams) => {
                if failing {
                    log::info!("event=list.regained address={}", config.list_address);
                }
                failing = false;
                // Cannot fail: the hub runs as long as the process.
                let _ = inputs.send(Input::List(upstreams)).await;
            }
            Err(reason) => {
                if !failing {
                    log::warn!(
                        "event=list.lost address={} reason={reason:?}",
                        config.list_address
                    );
                }
                failing = true;
            }
        }
        sleep(config.list_interval).await;
    }
}
