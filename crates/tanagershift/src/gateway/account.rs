//! Client accounts: who a caller is, how urgent the account's requests are, and how much it may use.
//!
//! Keys are secrets: they are kept as digests, and nothing here prints one.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    sync::Arc,
};

use sha2::{Digest, Sha256};
use snafu::Snafu;

use super::dialect::Identity;

/// Most bytes of a key.
const MAX_KEY_BYTES: usize = 512;
/// Largest rate and burst; a greater number would lose its fractions in arithmetic.
const MAX_UNITS: f64 = 1e12;

/// Name of a client account.
pub type Name = Arc<str>;

/// Digest of a key. It cannot be turned back into the key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key([u8; 16]);

impl Key {
    /// Digest of a key's text.
    pub fn of(text: &str) -> Self {
        let hash = Sha256::digest(text.as_bytes());
        let mut digest = [0; 16];
        digest.copy_from_slice(&hash[..16]);
        Self(digest)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl fmt::Display for Key {
    /// Writes the first four bytes, which tell the keys of one log apart.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third, fourth, ..] = self.0;
        write!(formatter, "{first:02x}{second:02x}{third:02x}{fourth:02x}")
    }
}

/// What an account's use is counted in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its prompt and its largest output, in tokens.
    Tokens {
        /// Tokens of a request that states none.
        plain: u32,
    },
}

impl Unit {
    /// What a request uses. `tokens` are its prompt and its largest output, if it states them.
    pub fn cost(self, tokens: Option<(u32, u32)>) -> u64 {
        match (self, tokens) {
            (Self::Requests, _) => 1,
            (Self::Tokens { .. }, Some((prompt, output))) => u64::from(prompt) + u64::from(output),
            (Self::Tokens { plain }, None) => plain.into(),
        }
    }
}

/// How much an account may use, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What the use is counted in.
    pub unit: Unit,
    /// Units a second.
    pub per_second: f64,
    /// Units that may be used at once after a time of less use.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, by which upstreams know the account.
    pub name: Name,
    /// Digests of the keys by which callers show that they belong to it.
    pub keys: Vec<Key>,
    /// Urgency of its requests, which goes before the route's; zero is the most urgent. `None` leaves
    /// it to the route.
    pub priority: Option<u8>,
    /// How much it may use; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Why the accounts of a configuration are rejected. No message holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum Error {
    /// An account has no name, or one that no header can carry.
    #[snafu(display("account {name:?} has no usable name"))]
    BadName {
        /// Name of the account.
        name: String,
    },
    /// Two accounts have the same name.
    #[snafu(display("two accounts are named {name}"))]
    SameName {
        /// Name of both.
        name: String,
    },
    /// Two accounts share a key.
    #[snafu(display("accounts {first} and {second} share a key"))]
    SharedKey {
        /// Name of the first account.
        first: String,
        /// Name of the second account.
        second: String,
    },
    /// A key is empty, too long, or no visible text without spaces.
    #[snafu(display("account {name} has an unusable key"))]
    BadKey {
        /// Name of the account.
        name: String,
    },
    /// A rate or a burst is negative, too large or not a number.
    #[snafu(display("account {name} has an unusable quota"))]
    BadQuota {
        /// Name of the account.
        name: String,
    },
}

/// Checks the text of a key and digests it; `None` if no caller could send it.
pub fn parse_key(text: &str) -> Option<Key> {
    let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    (!text.is_empty() && text.len() <= MAX_KEY_BYTES && is_visible).then(|| Key::of(text))
}

/// Makes a quota; `None` if rate and burst set no limit.
///
/// # Errors
///
/// A number is negative, too large or not a number.
pub fn quota(name: &str, unit: Unit, per_second: f64, burst: f64) -> Result<Option<Quota>, Error> {
    let is_usable = |number: f64| (0.0..=MAX_UNITS).contains(&number);
    if !is_usable(per_second) || !is_usable(burst) {
        return BadQuotaSnafu { name }.fail();
    }
    let limit = Quota {
        unit,
        per_second,
        burst,
    };
    Ok((per_second > 0.0).then_some(limit))
}

/// Why a caller is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The caller sends no key, or several.
    Missing,
    /// No account holds the key.
    Unknown(Key),
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => formatter.write_str("the request has no key"),
            Self::Unknown(key) => write!(formatter, "no account holds key {key}"),
        }
    }
}

/// Who a caller is, by the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// The configuration holds no accounts.
    Any,
    /// The caller needs no account, and has none.
    Anonymous,
    /// The caller belongs to an account.
    Account(Arc<Account>),
}

impl Caller {
    /// The caller's account, if there is one.
    pub fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Self::Account(account) => Some(account),
            Self::Any | Self::Anonymous => None,
        }
    }

    /// What an upstream is told about the caller.
    pub fn identity(&self) -> Identity {
        match self {
            Self::Any => Identity::Forwarded,
            Self::Anonymous => Identity::Anonymous,
            Self::Account(account) => Identity::Account(account.name.clone()),
        }
    }
}

/// The accounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    by_name: BTreeMap<Name, Arc<Account>>,
    by_key: HashMap<Key, Arc<Account>>,
}

impl Accounts {
    /// Validates accounts.
    ///
    /// # Errors
    ///
    /// The first problem that is found.
    pub fn new(accounts: Vec<Account>) -> Result<Self, Error> {
        let mut all = Self::default();
        for account in accounts {
            let account = Arc::new(account);
            let name = &account.name;
            if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
                return BadNameSnafu { name: &**name }.fail();
            }
            for key in &account.keys {
                let other = all.by_key.insert(*key, account.clone());
                if let Some(other) = other.filter(|other| other.name != *name) {
                    return SharedKeySnafu {
                        first: &*other.name,
                        second: &**name,
                    }
                    .fail();
                }
            }
            if all.by_name.insert(name.clone(), account.clone()).is_some() {
                return SameNameSnafu { name: &**name }.fail();
            }
        }
        Ok(all)
    }

    /// Whether there is no account, so that callers need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Who a caller is that sends a key, or none.
    ///
    /// # Errors
    ///
    /// The caller has no account and, unless `allows_anonymous`, needs one.
    pub fn identify(&self, key: Option<Key>, allows_anonymous: bool) -> Result<Caller, Refusal> {
        if self.is_empty() {
            return Ok(Caller::Any);
        }
        if let Some(account) = key.and_then(|key| self.by_key.get(&key)) {
            return Ok(Caller::Account(account.clone()));
        }
        match key {
            _ if allows_anonymous => Ok(Caller::Anonymous),
            None => Err(Refusal::Missing),
            Some(key) => Err(Refusal::Unknown(key)),
        }
    }

    /// The account with a name.
    pub fn named(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// All accounts, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }
}

/// Ranks that replicas tell apart.
const RANKS: usize = 10;

/// Ranks of the pairs of priorities that requests can have: an account's, and a route's.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranks {
    /// In order of urgency.
    pairs: Vec<(u8, u8)>,
}

impl Ranks {
    /// Ranks for routes with these priorities.
    pub fn new(routes: impl Iterator<Item = u8>, accounts: &Accounts) -> Self {
        let routes: BTreeSet<u8> = routes.collect();
        let named: BTreeSet<Option<u8>> = accounts.iter().map(|one| one.priority).collect();
        let pairs = routes.iter().flat_map(|route| {
            // Callers without an account have the route's priority.
            let named = named.iter().map(|named| named.unwrap_or(*route));
            named.chain([*route]).map(|first| (first, *route))
        });
        let pairs: BTreeSet<(u8, u8)> = pairs.collect();
        Self {
            pairs: pairs.into_iter().collect(),
        }
    }

    /// Rank of a request on a route with this priority; zero is the most urgent.
    pub fn of(&self, route: u8, account: Option<&Account>) -> u8 {
        let named = account.and_then(|account| account.priority);
        let pair = (named.unwrap_or(route), route);
        let before = self.pairs.partition_point(|one| *one < pair);
        let rank = match self.pairs.len() <= RANKS {
            true => before,
            false => before * RANKS / self.pairs.len(),
        };
        rank.min(RANKS - 1) as u8
    }
}
