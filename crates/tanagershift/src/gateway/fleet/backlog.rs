//! Changed residencies that wait to be sent to all gateways.

use std::collections::{HashMap, VecDeque};

use prost::Message;

use crate::{gateway::message::Residency, id};

type Place = (id::Upstream, String);

/// Changed residencies in the order of their first change, each with its newest version. However many
/// changes there are, it holds one entry for each replica and adapter.
#[derive(Debug, Default)]
pub struct Backlog {
    order: VecDeque<Place>,
    versions: HashMap<Place, u64>,
}

impl Backlog {
    /// Adds a change.
    pub fn add(&mut self, change: Residency) {
        let place = (change.replica, change.adapter);
        if self
            .versions
            .insert(place.clone(), change.version)
            .is_none()
        {
            self.order.push_back(place);
        }
    }

    /// Takes changes of up to a number of encoded bytes, but at least one.
    pub fn take(&mut self, max_bytes: usize) -> Vec<Residency> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        while bytes < max_bytes
            && let Some(place) = self.order.pop_front()
        {
            let version = self.versions.remove(&place).unwrap_or_default();
            let (replica, adapter) = place;
            let residency = Residency {
                replica,
                adapter,
                version,
            };
            bytes += residency.encoded_len() + 2;
            taken.push(residency);
        }
        taken
    }
}
