//! Reports replicas that crashed on a request to the leader, and requests that proved sound.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::BEGINNING;
use crate::{
    gateway::{
        Gateway,
        exchange::Job,
        message::{Accusation, Tally, Upstream, split_keys},
        progress::Progress,
    },
    voter::command::Key,
    wire::Body,
};

/// Time without a byte after which a connection that fails was silent rather than reset.
const SILENCE: Duration = Duration::from_millis(1500);

impl Gateway {
    /// Handles an answer that broke off or does not come. If the answer had just begun and its replica is gone, the
    /// leader is told; it knows when the returned future ends. The report goes on if the future is
    /// dropped because the caller leaves.
    pub fn report_crash(
        self: &Arc<Self>,
        job: &Job,
        upstream: &Upstream,
        progress: Progress,
    ) -> impl Future<Output = ()> + Send + use<> {
        let has_begun = progress.span().is_none_or(|span| span <= BEGINNING);
        let report = has_begun.then(|| {
            let (gateway, upstream) = (self.clone(), upstream.clone());
            let (request, keys) = (job.head.id.clone(), job.keys.clone());
            tokio::spawn(gateway.accuse_if_gone(request, keys, upstream, progress))
        });
        async move {
            if let Some(report) = report {
                // It fails only while the process ends.
                let _ = report.await;
            }
        }
    }

    async fn accuse_if_gone(
        self: Arc<Self>,
        request: String,
        keys: Vec<Key>,
        upstream: Upstream,
        progress: Progress,
    ) {
        let broken_at = Instant::now();
        if !self.is_gone(&upstream).await {
            return;
        }
        let now = Instant::now();
        self.view().record_unreachable(&upstream.name, now);
        let silence = broken_at - progress.last_heard_at();
        let silence = if silence < SILENCE {
            Duration::ZERO
        } else {
            silence
        };
        let (parts, digest) = split_keys(&keys);
        let accusation = Accusation {
            request,
            upstream: upstream.name,
            service: upstream.service,
            silent_ms: (silence + (now - broken_at)).as_millis() as u64,
            parts,
            digest,
        };
        log::info!(
            "event=crash.report request={} digest={:016x} upstream={} parts={:x?} silent_ms={}",
            accusation.request,
            accusation.digest.unwrap_or_default(),
            accusation.upstream,
            accusation.parts,
            accusation.silent_ms
        );
        self.metrics.crash_reports.inc();
        self.quarantine().accuse(accusation.clone(), now);
        self.send_accusations(vec![accusation]).await;
    }

    /// Sends accusations to the leader.
    pub async fn send_accusations(&self, accusations: Vec<Accusation>) {
        let tally = Tally {
            host: self.host.clone(),
            session: self.session,
            accusations,
            ..Tally::default()
        };
        self.leader.tell(Body::Tally(tally)).await;
    }

    /// Records that an upstream answered a job soundly.
    pub fn report_sound(&self, job: &Job, upstream: &Upstream, progress: &Progress) {
        let (service, now) = (&upstream.service, Instant::now());
        let began_at = progress.began_at();
        if self
            .quarantine()
            .record_sound(&job.keys, service, began_at, now)
        {
            self.tally_wanted.notify_one();
        }
    }
}
