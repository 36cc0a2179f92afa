//! Tests of client accounts: validation, who a caller is, and ranks.

use std::fmt::Debug;

use super::account::{Account, Accounts, Caller, Error, Key, Refusal, Unit, parse_key, quota};
use crate::testing::cases;

fn account(name: &str, keys: &[&str], priority: Option<u8>) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().map(|key| Key::of(key)).collect(),
        priority,
        quota: None,
    }
}

fn accounts() -> Accounts {
    let all = vec![
        account("north", &["n1", "n2"], Some(0)),
        account("south", &["s1"], None),
    ];
    Accounts::new(all).unwrap()
}

/// Name of the account that a caller is found to belong to; empty for none.
fn identify(key: Option<&str>, allows_anonymous: bool) -> Result<String, Refusal> {
    let caller = accounts().identify(key.map(Key::of), allows_anonymous)?;
    let name = caller.account().map(|account| account.name.to_string());
    Ok(name.unwrap_or_default())
}

fn error(all: Vec<Account>) -> String {
    Accounts::new(all).unwrap_err().to_string()
}

fn check<T: Debug + PartialEq>(found: T, expected: T) {
    assert_eq!(found, expected);
}

cases! { check {
    a_key_names_its_account: (identify(Some("n2"), false), Ok("north".to_owned()));
    an_unknown_key_is_refused: (identify(Some("n3"), false), Err(Refusal::Unknown(Key::of("n3"))));
    a_request_without_a_key_is_refused: (identify(None, false), Err(Refusal::Missing));
    an_open_route_needs_no_key: (identify(None, true), Ok(String::new()));
    an_open_route_serves_unknown_keys: (identify(Some("n3"), true), Ok(String::new()));
    a_key_names_its_account_on_an_open_route: (identify(Some("s1"), true), Ok("south".to_owned()));
    no_two_accounts_share_a_key: (error(vec![account("a", &["k"], None), account("b", &["k"], None)]), "accounts a and b share a key".to_owned());
    no_two_accounts_share_a_name: (error(vec![account("a", &[], None), account("a", &[], None)]), "two accounts are named a".to_owned());
    a_name_fits_into_a_header: (error(vec![account("a\r\nb", &[], None)]), "account \"a\\r\\nb\" has no usable name".to_owned());
    an_account_may_list_a_key_twice: (Accounts::new(vec![account("a", &["k", "k"], None)]).is_ok(), true);
    a_key_is_not_empty: (parse_key(""), None);
    a_key_has_no_spaces: (parse_key("a b"), None);
    a_key_is_not_endless: (parse_key(&"k".repeat(513)), None);
    a_rate_is_not_negative: (quota("a", Unit::Requests, -1.0, 1.0), Err(Error::BadQuota { name: "a".to_owned() }));
    a_burst_is_not_huge: (quota("a", Unit::Requests, 1.0, 1e30), Err(Error::BadQuota { name: "a".to_owned() }));
    a_rate_is_a_number: (quota("a", Unit::Requests, f64::NAN, 1.0), Err(Error::BadQuota { name: "a".to_owned() }));
    no_rate_is_no_limit: (quota("a", Unit::Requests, 0.0, 5.0), Ok(None));
    stated_tokens_count: (Unit::Tokens { plain: 200 }.cost(Some((1460, 80))), 1540);
    unstated_tokens_count: (Unit::Tokens { plain: 200 }.cost(None), 200);
    a_request_counts_as_one: (Unit::Requests.cost(Some((1460, 80))), 1);
} }

#[test]
fn callers_need_no_key_without_accounts() {
    let none = Accounts::default();
    for key in [None, Some(Key::of("n1"))] {
        assert_eq!(none.identify(key, false), Ok(Caller::Any));
    }
}

#[test]
fn no_text_shows_a_key() {
    let shown = format!("{:?} {}", accounts(), Refusal::Unknown(Key::of("secret")));
    for key in ["n1", "n2", "s1", "secret"] {
        assert!(!shown.contains(key), "{key}: {shown}");
    }
}

// The priority of the account goes before that of the route; replicas know ten ranks.
#[test]
fn ranks_follow_the_account_and_then_the_route() {
    use super::account::Ranks;
    let all = accounts();
    let (north, south) = (all.named("north").unwrap(), all.named("south").unwrap());
    let ranks = Ranks::new([0, 1, 2].into_iter(), &all);
    let urgent: Vec<u8> = [0, 1, 2].map(|route| ranks.of(route, Some(north))).to_vec();
    let usual: Vec<u8> = [0, 1, 2].map(|route| ranks.of(route, Some(south))).to_vec();
    assert_eq!(urgent, [0, 1, 2]);
    assert_eq!(usual, [0, 3, 4]);
    let many = Ranks::new(0..=255, &all);
    assert_eq!((many.of(0, Some(north)), many.of(255, None)), (0, 9));
}
