//! The accepted configuration: adapters, their versions, and routing intents.

use std::{collections::BTreeMap, fmt::Write, sync::Arc};

use prost::{Message, Oneof};
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::id;

/// Bytes of a version's digest that are kept.
const DIGEST_LEN: usize = 16;
/// Start of a SHA-256 digest.
pub type Hash = [u8; DIGEST_LEN];
/// Most characters of a name.
const NAME_LIMIT: usize = 128;

/// One thing that operators describe in a file.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Item {
    /// Whether the item is to be removed.
    #[prost(bool, tag = "1")]
    pub removed: bool,
    /// What it is.
    #[prost(oneof = "Kind", tags = "2, 3, 4")]
    pub kind: Option<Kind>,
    /// File it came from, for error messages; empty in the accepted configuration.
    #[prost(string, tag = "5")]
    pub file: String,
}

/// The kinds of items.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Kind {
    /// An adapter.
    #[prost(message, tag = "2")]
    Adapter(AdapterItem),
    /// A version of an adapter.
    #[prost(message, tag = "3")]
    Version(VersionItem),
    /// A routing intent.
    #[prost(message, tag = "4")]
    Intent(Intent),
}

/// An adapter as operators describe it.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct AdapterItem {
    /// Unique name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Base model that the adapter belongs to.
    #[prost(string, tag = "2")]
    pub base: String,
    /// Audience that it serves.
    #[prost(string, tag = "3")]
    pub audience: String,
}

/// A version of an adapter as operators describe it.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct VersionItem {
    /// Adapter that it is a version of.
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Number, from one.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Where the weights lie in the store.
    #[prost(string, tag = "3")]
    pub weights: String,
}

/// A routing intent: a name that callers use, and what it leads to.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct Intent {
    /// Unique name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Adapter that it leads to; empty for a plain service.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Version of the adapter.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Plain service that it leads to; empty for an adapter.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Longest time for a request in milliseconds; zero for the host's setting.
    #[prost(uint64, tag = "5")]
    pub timeout: u64,
    /// Priority of the requests; higher goes first.
    #[prost(int32, tag = "6")]
    pub priority: i32,
}

/// Items that are accepted together or not at all.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ChangeSet {
    /// Change id, chosen by the operator; resent under the same id, it gets the same answer.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Who publishes.
    #[prost(string, tag = "2")]
    pub operator: String,
    /// Revision that the operator started from; zero for any.
    #[prost(uint64, tag = "3")]
    pub base: u64,
    /// The items.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<Item>,
}

impl ChangeSet {
    /// Digest of the items, in hexadecimal; tells whether a resent change is the same change.
    pub fn digest(&self) -> String {
        let mut hash = Sha256::new();
        for item in &self.items {
            hash.update(item.encode_length_delimited_to_vec());
        }
        hex(&hash.finalize()[..DIGEST_LEN])
    }
}

/// Why a change set is refused.
#[derive(Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The change set holds nothing.
    #[snafu(display("the change set is empty"))]
    Empty,
    /// An item has no kind that this program knows.
    #[snafu(display("{file}: unknown kind of item"))]
    Unknown {
        /// File of the item.
        file: String,
    },
    /// A name cannot be used.
    #[snafu(display("{file}: `{name}` is not a usable name: {reason}"))]
    Name {
        /// File of the item.
        file: String,
        /// The name.
        name: String,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// Two items of the set describe the same thing.
    #[snafu(display("{file}: {what} is described twice"))]
    Twice {
        /// File of the later item.
        file: String,
        /// What is described.
        what: String,
    },
    /// An item needs another that does not exist.
    #[snafu(display("{file}: {what} does not exist"))]
    Missing {
        /// File of the item.
        file: String,
        /// What is missing.
        what: String,
    },
    /// A version number is taken by other content.
    #[snafu(display(
        "{file}: version {number} of {adapter} has digest {ours}, but revision {revision} \
         accepted it with digest {accepted}"
    ))]
    Content {
        /// File of the item.
        file: String,
        /// Adapter.
        adapter: String,
        /// Version number.
        number: u64,
        /// Digest of the refused content.
        ours: String,
        /// Digest of the accepted content.
        accepted: String,
        /// Revision that accepted it.
        revision: id::Revision,
    },
    /// Another change came first.
    #[snafu(display(
        "{file}: {what} was changed by revision {revision}, after base revision {base}"
    ))]
    Beaten {
        /// File of the item.
        file: String,
        /// What was changed.
        what: String,
        /// Revision that came first.
        revision: id::Revision,
        /// Revision that the operator started from.
        base: id::Revision,
    },
    /// An item cannot be removed while another needs it.
    #[snafu(display("{file}: {what} is used by {user}"))]
    Used {
        /// File of the item.
        file: String,
        /// What would be removed.
        what: String,
        /// Who needs it.
        user: String,
    },
}

/// A version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Number, from one.
    pub number: u64,
    /// Digest of its content.
    pub digest: Hash,
    /// Where the weights lie in the store.
    pub weights: Box<str>,
    /// Revision that accepted it.
    pub revision: id::Revision,
    /// Whether it was removed; its number stays taken.
    pub removed: bool,
}

/// An adapter with its versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// Base model.
    pub base: Arc<str>,
    /// Audience.
    pub audience: Arc<str>,
    /// Revision that last changed it.
    pub revision: id::Revision,
    /// Whether it was removed; its versions' numbers stay taken.
    pub removed: bool,
    /// Versions in order of their numbers.
    pub versions: Vec<Version>,
}

impl Adapter {
    /// The version with a number, unless it was removed.
    pub fn version(&self, number: u64) -> Option<&Version> {
        let at = self
            .versions
            .binary_search_by_key(&number, |version| version.number);
        let version = &self.versions[at.ok()?];
        (!version.removed).then_some(version)
    }
}

/// The whole accepted configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    revision: id::Revision,
    adapters: BTreeMap<Box<str>, Adapter>,
    intents: BTreeMap<String, (Intent, id::Revision)>,
    words: BTreeMap<Box<str>, Arc<str>>,
}

/// What a change set does to one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The item is new.
    Created,
    /// The item differs from the accepted one.
    Changed,
    /// The item is removed.
    Removed,
    /// The item is as accepted.
    Same,
}

impl Effect {
    /// Sign of the effect in a difference shown to people.
    pub fn sign(self) -> char {
        match self {
            Self::Created => '+',
            Self::Changed => '~',
            Self::Removed => '-',
            Self::Same => ' ',
        }
    }
}

impl Catalog {
    /// Revision of the configuration.
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// An adapter by name, unless it was removed.
    pub fn adapter(&self, name: &str) -> Option<&Adapter> {
        self.adapters.get(name).filter(|adapter| !adapter.removed)
    }

    /// A routing intent by name.
    pub fn intent(&self, name: &str) -> Option<&Intent> {
        self.intents.get(name).map(|(intent, _)| intent)
    }

    /// Every adapter in order of its name.
    pub fn adapters(&self) -> impl Iterator<Item = (&str, &Adapter)> {
        let all = self.adapters.iter();
        all.filter(|(_, adapter)| !adapter.removed)
            .map(|(name, adapter)| (&**name, adapter))
    }

    /// Every routing intent in order of its name.
    pub fn intents(&self) -> impl Iterator<Item = &Intent> {
        self.intents.values().map(|(intent, _)| intent)
    }

    /// Says what each item of a change set would do.
    ///
    /// # Errors
    ///
    /// The change set would be refused.
    pub fn check(&self, change: &ChangeSet) -> Result<Vec<Effect>, Error> {
        if change.items.is_empty() {
            return Err(Error::Empty);
        }
        let mut named = BTreeMap::new();
        for item in &change.items {
            check_names(item)?;
            if named.insert(key(item), item.removed).is_some() {
                return TwiceSnafu {
                    file: &item.file,
                    what: describe(item),
                }
                .fail();
            }
        }
        let check = |item| self.check_item(change, &named, item);
        change.items.iter().map(check).collect()
    }

    fn check_item(
        &self,
        change: &ChangeSet,
        named: &BTreeMap<Key<'_>, bool>,
        item: &Item,
    ) -> Result<Effect, Error> {
        let effect = self.effect(item)?;
        if effect == Effect::Same {
            return Ok(effect);
        }
        let changed = self.changed_at(item);
        if change.base > 0 && changed > change.base {
            return BeatenSnafu {
                file: &item.file,
                what: describe(item),
                revision: changed,
                base: change.base,
            }
            .fail();
        }
        if item.removed {
            self.check_unused(named, item)?;
        } else {
            self.check_target(named, item)?;
        }
        Ok(effect)
    }

    /// Refuses an item whose adapter or version will not exist.
    fn check_target(&self, named: &BTreeMap<Key<'_>, bool>, item: &Item) -> Result<(), Error> {
        let exists = |key: Key<'_>| match named.get(&key) {
            Some(removed) => !removed,
            None => self.contains(&key),
        };
        let target = match &item.kind {
            Some(Kind::Version(version)) => Key::Adapter(&version.adapter),
            Some(Kind::Intent(intent)) if intent.service.is_empty() => {
                Key::Version(&intent.adapter, intent.version)
            }
            _ => return Ok(()),
        };
        if exists(target) {
            return Ok(());
        }
        MissingSnafu {
            file: &item.file,
            what: target.describe(),
        }
        .fail()
    }

    /// Refuses the removal of an item that another one will still need.
    fn check_unused(&self, named: &BTreeMap<Key<'_>, bool>, item: &Item) -> Result<(), Error> {
        let staying = |intent: &&Intent| !named.contains_key(&Key::Intent(&intent.name));
        let needs = |intent: &&Intent| match &item.kind {
            Some(Kind::Adapter(adapter)) => intent.adapter == adapter.name,
            Some(Kind::Version(version)) => {
                intent.adapter == version.adapter && intent.version == version.number
            }
            _ => false,
        };
        match self.intents().filter(staying).find(needs) {
            None => Ok(()),
            Some(intent) => UsedSnafu {
                file: &item.file,
                what: describe(item),
                user: format!("intent {}", intent.name),
            }
            .fail(),
        }
    }

    fn contains(&self, key: &Key<'_>) -> bool {
        match key {
            Key::Adapter(name) => self.adapter(name).is_some(),
            Key::Version(name, number) => self
                .adapter(name)
                .is_some_and(|adapter| adapter.version(*number).is_some()),
            Key::Intent(name) => self.intents.contains_key(*name),
        }
    }

    fn changed_at(&self, item: &Item) -> id::Revision {
        match key(item) {
            Key::Adapter(name) => self
                .adapters
                .get(name)
                .map_or(0, |adapter| adapter.revision),
            Key::Version(name, number) => self
                .any_version(name, number)
                .map_or(0, |version| version.revision),
            Key::Intent(name) => self.intents.get(name).map_or(0, |(_, revision)| *revision),
        }
    }

    fn any_version(&self, adapter: &str, number: u64) -> Option<&Version> {
        let versions = &self.adapters.get(adapter)?.versions;
        versions.iter().find(|version| version.number == number)
    }

    fn effect(&self, item: &Item) -> Result<Effect, Error> {
        let present = self.contains(&key(item));
        if item.removed {
            let effect = if present {
                Effect::Removed
            } else {
                Effect::Same
            };
            return Ok(effect);
        }
        let same = match &item.kind {
            Some(Kind::Adapter(ours)) => self.adapter(&ours.name).is_some_and(|accepted| {
                *accepted.base == *ours.base && *accepted.audience == *ours.audience
            }),
            Some(Kind::Version(ours)) => return self.version_effect(ours, &item.file),
            Some(Kind::Intent(ours)) => self.intent(&ours.name) == Some(ours),
            None => return UnknownSnafu { file: &item.file }.fail(),
        };
        Ok(match (present, same) {
            (_, true) => Effect::Same,
            (true, false) => Effect::Changed,
            (false, false) => Effect::Created,
        })
    }

    fn version_effect(&self, ours: &VersionItem, file: &str) -> Result<Effect, Error> {
        let Some(accepted) = self.any_version(&ours.adapter, ours.number) else {
            return Ok(Effect::Created);
        };
        let digest = version_digest(ours);
        if accepted.digest != digest {
            return ContentSnafu {
                file,
                adapter: &ours.adapter,
                number: ours.number,
                ours: hex(&digest),
                accepted: hex(&accepted.digest),
                revision: accepted.revision,
            }
            .fail();
        }
        Ok(if accepted.removed {
            Effect::Created
        } else {
            Effect::Same
        })
    }

    /// Applies a change set; a set that changes nothing keeps the revision.
    ///
    /// # Errors
    ///
    /// The change set is refused, and nothing changed.
    pub fn apply(&mut self, change: &ChangeSet) -> Result<id::Revision, Error> {
        let effects = self.check(change)?;
        if effects.iter().all(|effect| *effect == Effect::Same) {
            return Ok(self.revision);
        }
        self.revision += 1;
        let items: Vec<&Item> = change
            .items
            .iter()
            .zip(&effects)
            .filter(|(_, effect)| **effect != Effect::Same)
            .map(|(item, _)| item)
            .collect();
        self.put_all(items, self.revision);
        Ok(self.revision)
    }

    /// Puts items in; an adapter goes in before its versions, and out after them.
    fn put_all(&mut self, mut items: Vec<&Item>, revision: id::Revision) {
        items.sort_by_key(|item| key(item).rank(item.removed));
        for item in items {
            self.put(item, revision);
        }
    }

    /// Takes in items that were accepted elsewhere, as a host that follows the log does.
    pub fn restore(&mut self, items: &[Item], revision: id::Revision) {
        self.put_all(items.iter().collect(), revision);
        self.revision = self.revision.max(revision);
    }

    fn put(&mut self, item: &Item, revision: id::Revision) {
        match &item.kind {
            Some(Kind::Adapter(adapter)) => self.put_adapter(adapter, item.removed, revision),
            Some(Kind::Version(version)) => self.put_version(version, item.removed, revision),
            Some(Kind::Intent(intent)) if item.removed => {
                self.intents.remove(&intent.name);
            }
            Some(Kind::Intent(intent)) => {
                let entry = (intent.clone(), revision);
                self.intents.insert(intent.name.clone(), entry);
            }
            None => {}
        }
    }

    fn put_adapter(&mut self, item: &AdapterItem, removed: bool, revision: id::Revision) {
        let base = self.word(&item.base);
        let audience = self.word(&item.audience);
        let adapter = self
            .adapters
            .entry(item.name.as_str().into())
            .or_insert_with(|| Adapter {
                base: base.clone(),
                audience: audience.clone(),
                revision,
                removed,
                versions: Vec::new(),
            });
        adapter.base = base;
        adapter.audience = audience;
        adapter.revision = revision;
        adapter.removed = removed;
        if removed {
            for version in &mut adapter.versions {
                version.removed = true;
            }
        }
    }

    fn put_version(&mut self, item: &VersionItem, removed: bool, revision: id::Revision) {
        let Some(adapter) = self.adapters.get_mut(item.adapter.as_str()) else {
            return;
        };
        let version = Version {
            number: item.number,
            digest: version_digest(item),
            weights: item.weights.as_str().into(),
            revision,
            removed,
        };
        match adapter
            .versions
            .binary_search_by_key(&item.number, |known| known.number)
        {
            Ok(at) if removed => adapter.versions[at].removed = true,
            Ok(at) => adapter.versions[at] = version,
            Err(at) => {
                // Most adapters have one version; room for more would double the catalog.
                adapter.versions.reserve_exact(1);
                adapter.versions.insert(at, version);
            }
        }
    }

    /// One shared copy of a word that many adapters repeat.
    fn word(&mut self, text: &str) -> Arc<str> {
        if let Some(word) = self.words.get(text) {
            return word.clone();
        }
        let word: Arc<str> = text.into();
        self.words.insert(text.into(), word.clone());
        word
    }

    /// Every item with the revision that accepted it, so that `restore` makes an equal catalog.
    pub fn items(&self) -> impl Iterator<Item = (Item, id::Revision)> + '_ {
        let adapters = self.adapters.iter().flat_map(|(name, adapter)| {
            let kind = Kind::Adapter(AdapterItem {
                name: name.to_string(),
                base: adapter.base.to_string(),
                audience: adapter.audience.to_string(),
            });
            let first = (Item::of(kind, adapter.removed), adapter.revision);
            let versions = adapter.versions.iter().map(move |version| {
                let kind = Kind::Version(VersionItem {
                    adapter: name.to_string(),
                    number: version.number,
                    weights: version.weights.to_string(),
                });
                (Item::of(kind, version.removed), version.revision)
            });
            std::iter::once(first).chain(versions)
        });
        let intents = self.intents.values().map(|(intent, revision)| {
            let item = Item::of(Kind::Intent(intent.clone()), false);
            (item, *revision)
        });
        adapters.chain(intents)
    }
}

impl Item {
    /// Makes an item that came from no file.
    pub fn of(kind: Kind, removed: bool) -> Self {
        Self {
            removed,
            kind: Some(kind),
            file: String::new(),
        }
    }
}

/// What an item describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key<'a> {
    Adapter(&'a str),
    Version(&'a str, u64),
    Intent(&'a str),
}

impl Key<'_> {
    fn rank(self, removed: bool) -> u8 {
        match (self, removed) {
            (Key::Intent(_), true) => 0,
            (Key::Version(..), true) => 1,
            (Key::Adapter(_), true) => 2,
            (Key::Adapter(_), false) => 3,
            (Key::Version(..), false) => 4,
            (Key::Intent(_), false) => 5,
        }
    }

    fn describe(self) -> String {
        match self {
            Key::Adapter(name) => format!("adapter {name}"),
            Key::Version(name, number) => format!("version {name}@{number}"),
            Key::Intent(name) => format!("intent {name}"),
        }
    }
}

fn key(item: &Item) -> Key<'_> {
    match &item.kind {
        Some(Kind::Adapter(adapter)) => Key::Adapter(&adapter.name),
        Some(Kind::Version(version)) => Key::Version(&version.adapter, version.number),
        Some(Kind::Intent(intent)) => Key::Intent(&intent.name),
        None => Key::Adapter(""),
    }
}

/// Names an item for people.
pub fn describe(item: &Item) -> String {
    key(item).describe()
}

fn check_names(item: &Item) -> Result<(), Error> {
    let names = match &item.kind {
        Some(Kind::Adapter(adapter)) => vec![&adapter.name, &adapter.base, &adapter.audience],
        Some(Kind::Version(version)) => vec![&version.adapter],
        Some(Kind::Intent(intent)) if intent.service.is_empty() => {
            vec![&intent.name, &intent.adapter]
        }
        Some(Kind::Intent(intent)) => vec![&intent.name, &intent.service],
        None => return UnknownSnafu { file: &item.file }.fail(),
    };
    for name in names {
        check_name(name).map_err(|reason| Error::Name {
            file: item.file.clone(),
            name: name.clone(),
            reason,
        })?;
    }
    Ok(())
}

/// Checks a name that callers or operators give.
///
/// # Errors
///
/// What is wrong with the name.
pub fn check_name(name: &str) -> Result<(), &'static str> {
    if name.is_empty() {
        return Err("it is empty");
    }
    if name.len() > NAME_LIMIT {
        return Err("it is longer than 128 characters");
    }
    if name.starts_with('.') || name.contains("..") {
        return Err("it could be taken for a path");
    }
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if !name.chars().all(allowed) {
        return Err("only letters, digits, `-`, `_` and `.` are allowed");
    }
    Ok(())
}

/// Digest of a version's content.
pub fn version_digest(version: &VersionItem) -> Hash {
    let mut digest = [0; DIGEST_LEN];
    let whole = Sha256::digest(version.encode_to_vec());
    digest.copy_from_slice(&whole[..DIGEST_LEN]);
    digest
}

/// Writes bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
