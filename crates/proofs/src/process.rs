//! What the system says of a running process.

use std::{fs, time::Duration};

/// Clock ticks a second in the system's accounts.
const TICKS: f64 = 100.0;

/// Memory and processor time of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Resident memory in mebibytes.
    pub memory_mib: f64,
    /// Processor time since its start.
    pub processor: Duration,
}

/// Reads the usage of a process; zero if it has ended.
pub fn usage(id: u32) -> Usage {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse::<f64>().ok());
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The name in brackets may hold spaces; the numbers follow it.
    let numbers = stat.rsplit(')').next().unwrap_or_default();
    let ticks = |at: usize| {
        let number = numbers.split_whitespace().nth(at);
        number
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Usage {
        memory_mib: kib.unwrap_or(0.0) / 1024.0,
        processor: Duration::from_secs_f64((ticks(11) + ticks(12)) / TICKS),
    }
}
