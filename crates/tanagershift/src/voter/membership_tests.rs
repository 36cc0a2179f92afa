//! Tests of creating a group, and of routing configurations and announced versions in the
//! replicated state.

use bytes::Bytes;

use super::{
    command::{Announcement, Command, Document, Order},
    membership::{FolderState, Step, next_step},
    state::State,
};
use crate::testing::cases;

fn check_next_step(
    bootstrap: bool,
    own: Option<usize>,
    seeds: &[Option<FolderState>],
    expected: Step,
) {
    assert_eq!(next_step(bootstrap, own, seeds), expected);
}

const EMPTY: Option<FolderState> = Some(FolderState::Empty);
const ABSENT: Option<FolderState> = Some(FolderState::Absent);
const GROUP: Option<FolderState> = Some(FolderState::InGroup);

cases! { check_next_step {
    the_first_seed_creates_the_group: (true, Some(0), &[EMPTY, EMPTY, EMPTY], Step::CreateGroup);
    a_later_seed_does_not_create_a_group_before_the_first: (true, Some(1), &[EMPTY, EMPTY, EMPTY], Step::JoinGroup);
    a_seed_without_a_data_folder_is_skipped: (true, Some(1), &[ABSENT, EMPTY, EMPTY], Step::CreateGroup);
    no_group_is_created_while_an_earlier_seed_is_silent: (true, Some(1), &[None, EMPTY, EMPTY], Step::JoinGroup);
    an_existing_group_is_joined: (true, Some(0), &[EMPTY, GROUP, EMPTY], Step::JoinGroup);
    a_host_that_is_no_seed_joins: (true, None, &[EMPTY, EMPTY, EMPTY], Step::JoinGroup);
    an_empty_data_folder_without_bootstrap_never_creates_a_group: (false, Some(0), &[EMPTY, EMPTY, EMPTY], Step::JoinGroup);
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

/// A lower or repeated version must not replace the configuration, and gets the same answer as an
/// accepted one.
#[test]
fn the_highest_version_of_a_configuration_wins() {
    let mut state = State::default();
    let accepted = state.apply(&configure(5, "five"));
    assert!(
        state.known_outcome(&configure(5, "other")).is_some(),
        "no new entry"
    );
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
fn an_announced_version_never_decreases() {
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
    assert!(state.known_outcome(&announce(4)).is_some());
    assert!(state.known_outcome(&announce(5)).is_none());
    let restored = State::decode(state.encode()).unwrap();
    assert_eq!(restored.announced(), state.announced());
}
