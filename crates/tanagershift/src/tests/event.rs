//! The catalogue of log events in the docs is the one in code.

use std::{collections::BTreeSet, fs, path::Path};

use crate::event::ALL;

#[test]
fn the_catalogue_lists_every_event_once() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let text = fs::read_to_string(path).unwrap();
    let rows = text.lines().filter_map(|line| line.strip_prefix("| TS"));
    let listed: Vec<String> = rows
        .map(|row| row.split(" | ").take(2).collect::<Vec<_>>().join(" "))
        .collect();
    let known: Vec<String> = ALL
        .iter()
        .map(|(_, event)| format!("{:04} {}", event.code, event.level.as_str().to_lowercase()))
        .collect();
    assert_eq!(listed, known);
    let codes: BTreeSet<u16> = ALL.iter().map(|(_, event)| event.code).collect();
    assert_eq!(codes.len(), ALL.len(), "a number stands for two events");
}
