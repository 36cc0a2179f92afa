//! What leaders and gateways tell each other of the weight store.

use std::time::Duration;

use prost::Message;

use super::Finding;

/// What a leader has found out about the weight store.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct StoreReport {
    /// Limit on concurrent loads.
    #[prost(uint32, tag = "1")]
    pub limit: u32,
    /// Shortest recent duration of a load, in milliseconds; zero if none was observed.
    #[prost(uint32, tag = "2")]
    pub shortest_ms: u32,
}

impl From<Finding> for StoreReport {
    fn from(finding: Finding) -> Self {
        Self {
            limit: finding.limit as u32,
            shortest_ms: finding.shortest.map_or(0, |time| time.as_millis() as u32),
        }
    }
}

impl From<StoreReport> for Finding {
    fn from(report: StoreReport) -> Self {
        let shortest = Duration::from_millis(report.shortest_ms.into());
        Self {
            limit: report.limit.into(),
            shortest: (!shortest.is_zero()).then_some(shortest),
        }
    }
}
