//! Spreads upstreams' limits to all gateways, and hands out permits.

use std::time::Duration;

use tokio::time::Instant;

use super::LeaderState;
use crate::gateway::message::{Notice, Permit, Tally, Upstream};

/// Time between two checks for room at upstreams with a limit.
pub(super) const PERMIT_INTERVAL: Duration = Duration::from_millis(50);

impl LeaderState {
    /// Records the limits that a gateway has learnt, and its demand.
    pub(super) fn record_limits(&mut self, tally: &Tally, now: Instant) {
        for report in &tally.limits {
            self.limits.observe(report, now);
        }
        for demand in &tally.limited_demand {
            self.limits
                .record_demand(&demand.service, &tally.host, demand.requests, now);
        }
    }

    /// Sends changed limits to all gateways, and permits for upstreams to which they send by
    /// themselves.
    pub(super) fn spread_limits(&mut self, now: Instant) {
        let limits = self.limits.take_changes();
        if !limits.is_empty() {
            self.broadcast(&Notice {
                limits,
                ..Notice::default()
            });
        }
        if self.limits.is_empty() {
            return;
        }
        let replicas = self.placement.replicas();
        let is_plain = |one: &&Upstream| {
            self.limits.is_limited(&one.name) && !replicas.contains_key(&one.name)
        };
        let plain: Vec<Upstream> = self
            .list
            .upstreams
            .iter()
            .filter(is_plain)
            .cloned()
            .collect();
        for upstream in plain {
            let Upstream { name, service, .. } = &upstream;
            while let Some(host) = self.limits.issue_permit(name, service, now) {
                let permit = Permit {
                    upstream: name.clone(),
                };
                let notice = Notice {
                    permits: vec![permit],
                    ..Notice::default()
                };
                self.send_to(&host, notice);
            }
        }
    }
}
