//! This gateway's places at brittle upstreams, as its view tells them.

use tokio::time::Instant;

use super::Start;
use crate::{
    gateway::{
        message::Upstream,
        view::{KnownUpstream, View},
    },
    id,
};

impl View {
    /// Upstreams of a service that requests avoid after failures, unless they avoid all of them.
    pub fn ejected(&self, service: &str, now: Instant) -> Vec<id::Upstream> {
        let all = self.upstreams_of(service);
        let (ejected, others): (Vec<&KnownUpstream>, Vec<_>) =
            all.partition(|known| known.is_ejected(now));
        if others.is_empty() {
            return Vec::new();
        }
        let ejected = ejected.into_iter();
        ejected.map(|known| known.upstream.name.clone()).collect()
    }

    /// Whether a request that is about to be sent to an upstream, and counted there, is within this
    /// gateway's share of its places.
    pub fn is_within_share(&self, upstream: &Upstream) -> bool {
        if !self.shares.is_bounded(&upstream.service) {
            return true;
        }
        let mut known = self.upstreams_of(&upstream.service);
        let known = known.find(|known| known.upstream.name == upstream.name);
        let is_within = known.is_some_and(|known| known.stats.open <= known.share);
        is_within || self.share_of(&upstream.service).1 == 0
    }

    /// Slots of the live upstreams of a service, and this gateway's share of them.
    fn share_of(&self, service: &str) -> (u32, u32) {
        let of_service = self.upstreams_of(service);
        let live = of_service.filter(|known| !known.upstream.draining);
        live.fold((0, 0), |(slots, share), known| {
            (slots + known.upstream.slots, share + known.share)
        })
    }

    /// Takes this gateway's turn at the upstreams of a service without a leader, if its share of their
    /// places is less than one. `None` if it has a share, or if the service is not brittle.
    pub fn take_turn(&mut self, service: &str, now: Instant) -> Option<Start> {
        if !self.shares.is_bounded(service) {
            return None;
        }
        let (slots, share) = self.share_of(service);
        let hosts = self.hosts;
        let draw = rand::random();
        (share == 0).then(|| self.shares.take_turn(service, slots, hosts, draw, now))
    }
}
