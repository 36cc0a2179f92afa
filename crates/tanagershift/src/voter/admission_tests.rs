//! Who founds a group, and what the group keeps of configurations and announcements.

use bytes::Bytes;

use super::{
    admission::{Folder, Step, next_step},
    command::{Announcement, Command, Document, Order},
    state::State,
};
use crate::testing::cases;

fn step(bootstrap: bool, own: Option<usize>, seeds: &[Option<Folder>], expected: Step) {
    assert_eq!(next_step(bootstrap, own, seeds), expected);
}

const EMPTY: Option<Folder> = Some(Folder::Empty);
const ABSENT: Option<Folder> = Some(Folder::Absent);
const GROUP: Option<Folder> = Some(Folder::InGroup);

cases! { step {
    the_first_seed_founds: (true, Some(0), &[EMPTY, EMPTY, EMPTY], Step::Found);
    a_later_seed_leaves_it_to_the_first: (true, Some(1), &[EMPTY, EMPTY, EMPTY], Step::Join);
    a_seed_without_a_disk_is_passed_over: (true, Some(1), &[ABSENT, EMPTY, EMPTY], Step::Found);
    a_silent_seed_is_waited_for: (true, Some(1), &[None, EMPTY, EMPTY], Step::Join);
    a_group_that_is_there_is_joined: (true, Some(0), &[EMPTY, GROUP, EMPTY], Step::Join);
    a_host_that_is_no_seed_joins: (true, None, &[EMPTY, EMPTY, EMPTY], Step::Join);
    an_emptied_disk_never_founds: (false, Some(0), &[EMPTY, EMPTY, EMPTY], Step::Join);
}}

fn configure(version: u64, text: &'static str) -> Command {
    Command::of(Order::Configure(Document {
        version,
        text: Bytes::from_static(text.as_bytes()),
    }))
}

fn text(state: &State) -> &str {
    let document = state.document();
    document.map_or("", |document| std::str::from_utf8(&document.text).unwrap())
}

/// The highest version wins; what is older or sent again changes nothing and is answered the same.
#[test]
fn the_highest_version_of_a_configuration_wins() {
    let mut state = State::default();
    let accepted = state.apply(&configure(5, "five"));
    assert!(state.peek(&configure(5, "other")).is_some(), "no new entry");
    for (version, content) in [(5, "other"), (3, "three")] {
        assert_eq!(state.apply(&configure(version, content)), accepted);
        assert_eq!(text(&state), "five");
    }
    assert_eq!(state.apply(&configure(9, "nine")), accepted);
    assert_eq!(text(&state), "nine");
    let restored = State::decode(state.encode()).unwrap();
    assert_eq!(text(&restored), "nine");
    assert_eq!(restored.document(), state.document());
}

#[test]
fn an_announced_version_never_falls() {
    let mut state = State::default();
    let announce = |version| {
        Command::of(Order::Announce(Announcement {
            adapter: "base/a1".to_owned(),
            version,
        }))
    };
    state.apply(&announce(4));
    state.apply(&announce(2));
    assert_eq!(state.announced()["base/a1"], 4);
    assert!(state.peek(&announce(4)).is_some());
    assert!(state.peek(&announce(5)).is_none());
    let restored = State::decode(state.encode()).unwrap();
    assert_eq!(restored.announced(), state.announced());
}
