//! Applies what the answers of upstreams say about further requests: that an upstream leaves, or that
//! it wants a pause. The decisions are in [`crate::admission`].

use hyper::http::response;
use tokio::time::Instant;

use super::{Gateway, dialect::ResponseHead, message::Upstream};
use crate::admission::{Access, Origin, Signal};

impl Gateway {
    /// Applies the head of an upstream's answer. An answer of another upstream that has the address
    /// now is ignored.
    pub fn apply_signal(
        &self,
        upstream: &Upstream,
        head: &response::Parts,
        parsed_head: &ResponseHead,
        origin: Origin,
    ) {
        let instance = parsed_head.instance.as_deref();
        if instance.is_some_and(|instance| instance != upstream.instance) {
            return;
        }
        let signal = Signal::from_head(head.status, &head.headers, parsed_head.leaving);
        self.observe(&upstream.name, &upstream.address, signal, origin);
    }

    /// Applies the limit that an upstream's answer names, or that it names none any more.
    pub fn observe_limit(&self, upstream: &Upstream, parsed_head: &ResponseHead) {
        let instance = parsed_head.instance.as_deref();
        if instance.is_some_and(|instance| instance != upstream.instance) {
            return;
        }
        let (limit, now) = (parsed_head.limit, Instant::now());
        if self.view().limits.observe(&upstream.name, limit, now) {
            self.metrics.limits.inc();
            self.tally_wanted.notify_one();
        }
    }

    /// Applies what an upstream's answer says about whether it is brittle.
    pub fn observe_brittle(&self, upstream: &Upstream, parsed_head: &ResponseHead) {
        let instance = parsed_head.instance.as_deref();
        if instance.is_some_and(|instance| instance != upstream.instance) {
            return;
        }
        let Upstream { name, service, .. } = upstream;
        let (allowance, now) = (parsed_head.brittle, Instant::now());
        if self.view().shares.observe(name, service, allowance, now) {
            self.tally_wanted.notify_one();
        }
    }

    /// Applies the departures that a notice of the leader names.
    pub fn apply_departures(&self, upstreams: &[String]) {
        let signal = Signal {
            leaving: true,
            retry_after: None,
        };
        for name in upstreams {
            let address = self.view().upstream(name).map(|one| one.address.clone());
            self.observe(name, &address.unwrap_or_default(), signal, Origin::Leader);
            self.view().admission.confirm(name);
        }
    }

    fn observe(&self, name: &str, address: &str, signal: Signal, origin: Origin) {
        let now = Instant::now();
        let change = self.view().admission.observe(name, signal, origin, now);
        if change.left {
            self.metrics.departures.inc();
            self.pool.close(address);
            self.placement_changes.send_modify(|number| *number += 1);
        }
        if change.paused {
            self.metrics.pauses.inc();
        }
        if change.left || change.paused {
            self.tally_wanted.notify_one();
        }
    }

    /// Counts a request that is about to be written to an upstream.
    ///
    /// # Errors
    ///
    /// The upstream takes no requests now; the access says why.
    pub fn admit(&self, upstream: &str) -> Result<(), Access> {
        self.view().admission.admit(upstream, Instant::now())
    }

    /// Logs and counts a request that was not sent to the upstream that was selected for it.
    pub fn log_withheld(&self, request: &str, upstream: &str, access: Access) {
        access.log_withheld(request, upstream, Instant::now());
        self.metrics.withheld.inc();
    }
}
