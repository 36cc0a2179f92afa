//! Figures of one run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::bound::Bound;

/// Longest time that a histogram holds, in microseconds.
const LONGEST_MICROS: u64 = 300_000_000;

/// Figures of one run.
#[derive(Debug)]
pub struct Report {
    /// Requests that came.
    pub sent: u64,
    /// Requests that ran to their end within their deadline.
    pub good: u64,
    /// Requests that were refused at once.
    pub refused: u64,
    /// Requests that were told of a failure later.
    pub late: u64,
    /// Times that requests waited for their adapter, of all that ran.
    pub stalls: Histogram<u64>,
    /// Times to the first token.
    pub first: Histogram<u64>,
    /// Times until a refusal was told.
    pub told: Histogram<u64>,
    /// Time that all requests together waited for a load.
    pub stalled: Duration,
    /// Loads.
    pub loads: u64,
    /// Batch slots that were filled, in slot seconds.
    pub filled: f64,
    /// Batch slots that were filled on replicas while requests waited there.
    pub filled_waiting: f64,
    /// Batch slots that could have been.
    pub room_waiting: f64,
    /// All batch slots.
    pub room: f64,
    /// Mean stall of all requests in each tenth of the run, in milliseconds.
    pub tenths: Vec<f64>,
    /// The clairvoyant's figures.
    pub bound: Bound,
}

impl Report {
    /// Makes an empty report.
    pub fn new(bound: Bound) -> Self {
        let histogram = || match Histogram::new_with_bounds(1, LONGEST_MICROS, 3) {
            Ok(histogram) => histogram,
            Err(error) => panic!("the bounds are constant and good: {error}"),
        };
        Self {
            sent: 0,
            good: 0,
            refused: 0,
            late: 0,
            stalls: histogram(),
            first: histogram(),
            told: histogram(),
            stalled: Duration::ZERO,
            loads: 0,
            filled: 0.0,
            filled_waiting: 0.0,
            room_waiting: 0.0,
            room: 0.0,
            tenths: Vec::new(),
            bound,
        }
    }

    fn share_stalled(&self) -> f64 {
        let stalled = self.stalls.len() - self.stalls.count_between(0, 1);
        stalled as f64 / self.stalls.len().max(1) as f64
    }

    fn stall_ratio(&self) -> f64 {
        self.stalled.as_secs_f64() / self.bound.stalled.as_secs_f64().max(1e-9)
    }

    fn mean_stall(&self) -> f64 {
        self.stalled.as_secs_f64() / self.stalls.len().max(1) as f64
    }

    fn batch_efficiency(&self) -> f64 {
        self.filled_waiting / self.room_waiting.max(1e-9)
    }

    /// The figures for programs.
    pub fn json(&self, label: &str) -> Value {
        let at =
            |histogram: &Histogram<u64>, share| histogram.value_at_quantile(share) as f64 / 1000.0;
        json!({
            "label": label,
            "sent": self.sent, "good": self.good, "refused": self.refused, "late": self.late,
            "share_stalled": self.share_stalled(),
            "mean_stall_ms": self.mean_stall() * 1000.0,
            "stall_p50_ms": at(&self.stalls, 0.5),
            "stall_p95_ms": at(&self.stalls, 0.95),
            "stall_p99_ms": at(&self.stalls, 0.99),
            "first_token_p95_ms": at(&self.first, 0.95),
            "told_p99_ms": at(&self.told, 0.99),
            "loads": self.loads, "bound_loads": self.bound.loads,
            "stall_to_bound": self.stall_ratio(),
            "fill": self.filled / self.room.max(1e-9),
            "batch_efficiency": self.batch_efficiency(),
            "tenths_ms": self.tenths,
        })
    }

    fn cells(&self) -> Vec<String> {
        let at = |histogram: &Histogram<u64>, share| {
            format!("{:.0}", histogram.value_at_quantile(share) as f64 / 1000.0)
        };
        vec![
            format!("{}", self.sent),
            format!("{:.1}", 100.0 * self.good as f64 / self.sent.max(1) as f64),
            format!(
                "{:.1}",
                100.0 * self.refused as f64 / self.sent.max(1) as f64
            ),
            format!("{:.1}", 100.0 * self.share_stalled()),
            format!("{:.0}", 1000.0 * self.mean_stall()),
            at(&self.stalls, 0.95),
            at(&self.stalls, 0.99),
            at(&self.first, 0.95),
            at(&self.told, 0.99),
            format!("{}", self.loads),
            format!("{:.2}", self.loads as f64 / self.bound.loads.max(1) as f64),
            format!("{:.2}", self.stall_ratio()),
            format!("{:.1}", 100.0 * self.filled / self.room.max(1e-9)),
            format!("{:.1}", 100.0 * self.batch_efficiency()),
        ]
    }
}

/// Headings of a table's columns.
const HEADINGS: [&str; 15] = [
    "run",
    "sent",
    "good %",
    "refused %",
    "stalled %",
    "mean stall ms",
    "stall p95",
    "p99",
    "first token p95",
    "told p99",
    "loads",
    "loads / bound",
    "stall / bound",
    "fill %",
    "fill while waiting %",
];

/// Prints runs as a Markdown table.
pub fn print(rows: &[(String, Report)]) {
    println!("| {} |", HEADINGS.join(" | "));
    println!("|{}", " --- |".repeat(HEADINGS.len()));
    for (label, report) in rows {
        println!("| {label} | {} |", report.cells().join(" | "));
    }
}
