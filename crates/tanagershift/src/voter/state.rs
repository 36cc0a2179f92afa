//! The replicated state: what the group has decided, command by command.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use prost::{Message, encoding::message};

use super::command::{
    Announcement, Answer, Assignment, Audit, Claim, Claimed, Command, Document, Drain, Effect,
    MemberChange, Move, Order, Outcome, Published, Settle, Standing,
};
use crate::{
    catalog::{Catalog, ChangeSet, Item},
    id,
};

/// Change ids whose answers are kept.
const CHANGES_KEPT: usize = 20_000;
/// Records of the audit trail that are kept.
const AUDIT_KEPT: usize = 10_000;
/// Change sets that are kept for hosts that lag.
const RECENT_KEPT: usize = 1_000;
/// Items of those change sets that are kept, over all; one set is always kept.
const RECENT_ITEMS_KEPT: usize = 20_000;
/// Number of the field of `Image` that holds the items.
const IMAGE_ITEMS: u32 = 2;
/// Milliseconds for which a settled claim is kept: a day.
const CLAIM_KEPT_MILLIS: u64 = 24 * 3600 * 1000;
/// Milliseconds after a claim's deadline at which its owner is taken to be gone.
const CLAIM_GRACE_MILLIS: u64 = 5_000;

/// Answer to a change set, kept under its change id.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
struct Change {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    digest: String,
    #[prost(message, required, tag = "3")]
    published: Published,
}

/// A claim and how it stands.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Claiming {
    #[prost(message, required, tag = "1")]
    claim: Claim,
    /// Wall clock by which the owner has ended or is gone.
    #[prost(uint64, tag = "2")]
    until: u64,
    #[prost(message, optional, tag = "3")]
    answer: Option<Answer>,
    #[prost(bool, tag = "4")]
    may_have_run: bool,
}

/// The state as a snapshot holds it.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Image {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(message, repeated, tag = "2")]
    items: Vec<DatedItem>,
    #[prost(message, repeated, tag = "3")]
    changes: Vec<Change>,
    #[prost(message, repeated, tag = "4")]
    assignments: Vec<Assignment>,
    #[prost(uint64, tag = "5")]
    epoch: u64,
    #[prost(message, repeated, tag = "6")]
    claims: Vec<Claiming>,
    #[prost(string, repeated, tag = "7")]
    drained: Vec<String>,
    #[prost(message, repeated, tag = "8")]
    audit: Vec<Audit>,
    #[prost(uint64, tag = "9")]
    at: u64,
    #[prost(message, optional, tag = "10")]
    document: Option<Document>,
    #[prost(message, repeated, tag = "11")]
    announced: Vec<Announcement>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct DatedItem {
    #[prost(message, required, tag = "1")]
    item: Item,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

/// What the group has decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    catalog: Catalog,
    changes: VecDeque<Change>,
    assignments: BTreeMap<id::Upstream, Assignment>,
    epoch: id::Epoch,
    claims: BTreeMap<String, Claiming>,
    claim_order: VecDeque<(u64, String)>,
    drained: BTreeSet<id::Host>,
    audit: VecDeque<Audit>,
    recent: VecDeque<(id::Revision, Vec<Item>)>,
    at: u64,
    document: Option<Document>,
    announced: BTreeMap<String, u64>,
}

impl State {
    /// The accepted configuration.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Holders by replica.
    pub fn assignments(&self) -> &BTreeMap<id::Upstream, Assignment> {
        &self.assignments
    }

    /// Hosts that operators have taken out of service.
    pub fn drained(&self) -> &BTreeSet<id::Host> {
        &self.drained
    }

    /// The audit trail, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &Audit> {
        self.audit.iter()
    }

    /// The accepted routing configuration.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Announced versions by adapter.
    pub fn announced(&self) -> &BTreeMap<String, u64> {
        &self.announced
    }

    /// Claims that are kept.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Newest wall clock in the log, in milliseconds since 1970.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Items accepted after a revision, by revision, if they are all kept.
    pub fn since(
        &self,
        revision: id::Revision,
    ) -> Option<impl Iterator<Item = &(id::Revision, Vec<Item>)>> {
        let covered = self.catalog.revision() - self.recent.len() as u64;
        if revision < covered || revision > self.catalog.revision() {
            return None;
        }
        let skip = usize::try_from(revision - covered).ok()?;
        Some(self.recent.iter().skip(skip))
    }

    /// Outcome of a command that the state settles without a new entry.
    pub fn peek(&self, command: &Command) -> Option<Outcome> {
        match command.order.as_ref()? {
            Order::Publish(change) => {
                let known = self.known_change(change)?;
                Some(Outcome::of(Effect::Published(known)))
            }
            Order::Claim(claim) => {
                let claiming = self.claims.get(&claim.key)?;
                let claimed = claiming.standing(claim, self.at.max(command.at));
                Some(Outcome::of(Effect::Claimed(claimed)))
            }
            Order::Configure(document) if !self.replaces(document) => {
                Some(Outcome::of(Effect::Done(String::new())))
            }
            Order::Announce(announcement) if !self.raises(announcement) => {
                Some(Outcome::of(Effect::Done(String::new())))
            }
            _ => None,
        }
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        self.at = self.at.max(command.at);
        let effect = match &command.order {
            Some(Order::Publish(change)) => Effect::Published(self.publish(change)),
            Some(Order::Assign(assign)) => {
                for step in &assign.moves {
                    self.assign(step);
                }
                Effect::Done(String::new())
            }
            Some(Order::Claim(claim)) => Effect::Claimed(self.claim(claim)),
            Some(Order::Settle(settle)) => Effect::Done(self.settle(settle).to_owned()),
            Some(Order::Drain(drain)) => Effect::Done(self.drain(drain)),
            Some(Order::Member(change)) => Effect::Done(self.note_member(change)),
            Some(Order::Configure(document)) => Effect::Done(self.configure(document)),
            Some(Order::Announce(announcement)) => Effect::Done(self.announce(announcement)),
            None => Effect::Done(String::new()),
        };
        Outcome::of(effect)
    }

    fn known_change(&self, change: &ChangeSet) -> Option<Published> {
        let known = self
            .changes
            .iter()
            .rev()
            .find(|known| known.id == change.id)?;
        if known.digest == change.digest() {
            return Some(known.published.clone());
        }
        Some(Published {
            refusal: format!("change id {} was used for another change set", change.id),
            ..Published::default()
        })
    }

    fn publish(&mut self, change: &ChangeSet) -> Published {
        if let Some(known) = self.known_change(change) {
            return known;
        }
        let before = self.catalog.revision();
        let published = match self.catalog.apply(change) {
            Ok(revision) => Published {
                revision,
                changed: revision > before,
                refusal: String::new(),
            },
            Err(error) => Published {
                refusal: error.to_string(),
                ..Published::default()
            },
        };
        if published.changed {
            self.keep_recent(change);
        }
        self.changes.push_back(Change {
            id: change.id.clone(),
            digest: change.digest(),
            published: published.clone(),
        });
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
        self.record_publish(change, &published);
        published
    }

    fn keep_recent(&mut self, change: &ChangeSet) {
        let anonymous = |item: &Item| Item {
            file: String::new(),
            ..item.clone()
        };
        let items = change.items.iter().map(anonymous).collect();
        self.recent.push_back((self.catalog.revision(), items));
        let mut items: usize = self.recent.iter().map(|(_, items)| items.len()).sum();
        while self.recent.len() > RECENT_KEPT
            || (items > RECENT_ITEMS_KEPT && self.recent.len() > 1)
        {
            items -= self.recent.pop_front().map_or(0, |(_, items)| items.len());
        }
    }

    fn record_publish(&mut self, change: &ChangeSet, published: &Published) {
        let outcome = match (published.refusal.is_empty(), published.changed) {
            (false, _) => "refused",
            (true, true) => "accepted",
            (true, false) => "unchanged",
        };
        self.record(Audit {
            operator: change.operator.clone(),
            change: change.id.clone(),
            revision: published.revision,
            what: summarise(change),
            outcome: outcome.to_owned(),
            reason: published.refusal.clone(),
            ..Audit::default()
        });
    }

    fn record(&mut self, audit: Audit) {
        let number = self.audit.back().map_or(1, |last| last.number + 1);
        self.audit.push_back(Audit {
            number,
            at: self.at,
            ..audit
        });
        if self.audit.len() > AUDIT_KEPT {
            self.audit.pop_front();
        }
    }

    fn assign(&mut self, step: &Move) {
        self.epoch += 1;
        if step.host.is_empty() {
            self.assignments.remove(&step.replica);
            return;
        }
        let assignment = Assignment {
            replica: step.replica.clone(),
            host: step.host.clone(),
            session: step.session,
            epoch: self.epoch,
            clean: step.clean,
            address: step.address.clone(),
        };
        self.assignments.insert(step.replica.clone(), assignment);
    }

    fn claim(&mut self, claim: &Claim) -> Claimed {
        self.expire_claims();
        if let Some(claiming) = self.claims.get(&claim.key) {
            return claiming.standing(claim, self.at);
        }
        let claiming = Claiming {
            claim: claim.clone(),
            until: self.at + claim.millis + CLAIM_GRACE_MILLIS,
            answer: None,
            may_have_run: false,
        };
        self.claim_order.push_back((self.at, claim.key.clone()));
        self.claims.insert(claim.key.clone(), claiming);
        Claimed::of(Standing::Won)
    }

    fn expire_claims(&mut self) {
        let expired = |at: u64, now: u64| at + CLAIM_KEPT_MILLIS < now;
        while let Some((at, key)) = self.claim_order.front() {
            if !expired(*at, self.at) {
                break;
            }
            self.claims.remove(key);
            self.claim_order.pop_front();
        }
    }

    fn settle(&mut self, settle: &Settle) -> &'static str {
        let Some(claiming) = self.claims.get_mut(&settle.key) else {
            return "unknown claim";
        };
        if claiming.claim.owner != settle.owner {
            return "another's claim";
        }
        if settle.not_run {
            self.claims.remove(&settle.key);
            self.claim_order.retain(|(_, key)| *key != settle.key);
            return "";
        }
        claiming.may_have_run = settle.answer.is_none();
        claiming.answer = settle.answer.clone();
        ""
    }

    fn drain(&mut self, drain: &Drain) -> String {
        if drain.on {
            self.drained.insert(drain.host.clone());
        } else {
            self.drained.remove(&drain.host);
        }
        let verb = if drain.on { "drain" } else { "undrain" };
        self.record(Audit {
            operator: drain.operator.clone(),
            what: format!("{verb} host {}", drain.host),
            outcome: "done".to_owned(),
            ..Audit::default()
        });
        String::new()
    }

    fn note_member(&mut self, change: &MemberChange) -> String {
        let verb = if change.remove { "remove" } else { "add" };
        self.record(Audit {
            operator: change.operator.clone(),
            what: format!("{verb} member {:016x} on host {}", change.id, change.host),
            outcome: "done".to_owned(),
            ..Audit::default()
        });
        String::new()
    }

    /// Whether a configuration is newer than the accepted one.
    fn replaces(&self, document: &Document) -> bool {
        let known = self.document.as_ref();
        known.is_none_or(|known| document.version > known.version)
    }

    /// Whether an announcement names a higher version than the one known.
    fn raises(&self, announcement: &Announcement) -> bool {
        let known = self.announced.get(&announcement.adapter);
        known.is_none_or(|known| announcement.version > *known)
    }

    fn configure(&mut self, document: &Document) -> String {
        if self.replaces(document) {
            self.document = Some(document.clone());
            self.record(Audit {
                what: format!("routing configuration {}", document.version),
                outcome: "accepted".to_owned(),
                ..Audit::default()
            });
        }
        String::new()
    }

    fn announce(&mut self, announcement: &Announcement) -> String {
        if self.raises(announcement) {
            let Announcement { adapter, version } = announcement.clone();
            self.record(Audit {
                what: format!("adapter {adapter} version {version}"),
                outcome: "announced".to_owned(),
                ..Audit::default()
            });
            self.announced.insert(adapter, version);
        }
        String::new()
    }

    /// Writes the whole state into bytes.
    pub fn encode(&self) -> Bytes {
        let image = Image {
            revision: self.catalog.revision(),
            items: Vec::new(),
            changes: self.changes.iter().cloned().collect(),
            assignments: self.assignments.values().cloned().collect(),
            epoch: self.epoch,
            claims: self.ordered_claims(),
            drained: self.drained.iter().cloned().collect(),
            audit: self.audit.iter().cloned().collect(),
            at: self.at,
            document: self.document.clone(),
            announced: self.announcements().collect(),
        };
        let mut bytes = image.encode_to_vec();
        // One item at a time: all at once would need several times the catalog's memory.
        for (item, revision) in self.catalog.items() {
            let dated = DatedItem { item, revision };
            message::encode(IMAGE_ITEMS, &dated, &mut bytes);
        }
        bytes.into()
    }

    /// Every announced version.
    pub fn announcements(&self) -> impl Iterator<Item = Announcement> {
        self.announced
            .iter()
            .map(|(adapter, version)| Announcement {
                adapter: adapter.clone(),
                version: *version,
            })
    }

    fn ordered_claims(&self) -> Vec<Claiming> {
        let find = |(_, key): &(u64, String)| self.claims.get(key).cloned();
        self.claim_order.iter().filter_map(find).collect()
    }

    /// Reads a state from the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are not a state.
    pub fn decode(bytes: Bytes) -> Result<Self, prost::DecodeError> {
        let image = Image::decode(bytes)?;
        let mut state = Self {
            changes: image.changes.into(),
            epoch: image.epoch,
            drained: image.drained.into_iter().collect(),
            audit: image.audit.into(),
            at: image.at,
            document: image.document,
            announced: image
                .announced
                .into_iter()
                .map(|one| (one.adapter, one.version))
                .collect(),
            ..Self::default()
        };
        for dated in image.items {
            state.catalog.restore(&[dated.item], dated.revision);
        }
        state.catalog.restore(&[], image.revision);
        for assignment in image.assignments {
            state
                .assignments
                .insert(assignment.replica.clone(), assignment);
        }
        for claiming in image.claims {
            let key = claiming.claim.key.clone();
            let began = claiming.until - claiming.claim.millis - CLAIM_GRACE_MILLIS;
            state.claim_order.push_back((began, key.clone()));
            state.claims.insert(key, claiming);
        }
        Ok(state)
    }
}

impl Claiming {
    fn standing(&self, claim: &Claim, now: u64) -> Claimed {
        if self.claim.digest != claim.digest {
            return Claimed::of(Standing::Mismatch);
        }
        if let Some(answer) = &self.answer {
            return Claimed {
                standing: Standing::Answered.into(),
                answer: Some(answer.clone()),
            };
        }
        if self.may_have_run {
            return Claimed::of(Standing::MayHaveRun);
        }
        if self.claim.owner == claim.owner {
            return Claimed::of(Standing::Won);
        }
        if now > self.until {
            return Claimed::of(Standing::MayHaveRun);
        }
        Claimed::of(Standing::Running)
    }
}

/// Names a few items of a change set for the audit trail.
fn summarise(change: &ChangeSet) -> String {
    const NAMED: usize = 5;
    let name = |item: &Item| {
        let sign = if item.removed { "-" } else { "" };
        format!("{sign}{}", crate::catalog::describe(item))
    };
    let mut names: Vec<_> = change.items.iter().take(NAMED).map(name).collect();
    if change.items.len() > NAMED {
        names.push(format!("and {} more", change.items.len() - NAMED));
    }
    names.join(", ")
}
