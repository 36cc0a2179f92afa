//! Spreads the requests of an uneven plain service over its upstreams.
//!
//! Each gateway selects by itself, from loads and paces that are some hundred milliseconds old. If all
//! chose the upstream that looks best, they would fill its queue before any of them learns of it. Each
//! therefore draws one, with a weight for the requests that it is expected to complete.

/// Share of its weight that an upstream in another availability zone has.
const CROSS_ZONE_SHARE: f64 = 0.9;
/// Share of its weight that an upstream has which requests avoid after failures.
const EJECTED_SHARE: f64 = 1e-6;

/// What is known of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Estimated open requests there.
    pub open: u32,
    /// Its pace.
    pub pace: f64,
    /// Whether it is in the zone of the gateway.
    pub is_near: bool,
    /// Whether requests avoid it after failures.
    pub is_ejected: bool,
}

impl Place {
    /// Weight with which it is drawn: its speed, less the more requests wait for it.
    pub fn weight(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let queued = 1.0 + f64::from(self.open) / slots;
        let zone = if self.is_near { 1.0 } else { CROSS_ZONE_SHARE };
        let health = if self.is_ejected { EJECTED_SHARE } else { 1.0 };
        slots / self.pace / (queued * queued) * zone * health
    }
}

/// Position of the place that a random number from 0 to 1 draws; `None` without places.
pub fn draw(places: &[Place], random: f64) -> Option<usize> {
    let total: f64 = places.iter().map(Place::weight).sum();
    let mut left = random.clamp(0.0, 1.0) * total;
    for (position, place) in places.iter().enumerate() {
        left -= place.weight();
        if left < 0.0 {
            return Some(position);
        }
    }
    places.len().checked_sub(1)
}
