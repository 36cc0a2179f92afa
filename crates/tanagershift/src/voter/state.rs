//! The replicated state machine, to which each voter applies the committed commands in log order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use prost::{Message, encoding::message};

use super::{
    command::{
        Announcement, Answer, Assignment, Audit, Claim, Claimed, Command, Document, Drain, Effect,
        Key, Lift, Mark, MemberChange, Move, Order, Outcome, Published, Settle, Standing,
    },
    software,
};
use crate::{
    catalog::{Catalog, ChangeSet, Item},
    id,
};

/// Number of change ids whose results are kept, so that a resent change set gets the same answer.
const CHANGE_IDS_KEPT: usize = 20_000;
/// Number of records of the audit trail that are kept, the newest.
const AUDIT_KEPT: usize = 10_000;
/// Number of change sets that are kept, the newest, to update lagging hosts without a full transfer.
const RECENT_CHANGES_KEPT: usize = 1_000;
/// Limit on the items in all kept change sets. The newest set is kept even if it alone exceeds
/// the limit.
const RECENT_ITEMS_KEPT: usize = 20_000;
/// Number of prompt parts that are kept in quarantine; further ones are not recorded.
const MARKS_KEPT: usize = 8_192;
/// Protobuf field number of `Image::items`.
const IMAGE_ITEMS_FIELD: u32 = 2;
/// Milliseconds for which a claim and its recorded answer are kept: one day. Older ones are dropped
/// when the next claim is applied.
const CLAIM_KEPT_MILLIS: u64 = 24 * 3600 * 1000;
/// Milliseconds after the timeout of a claimed request until the claim's owner is presumed gone.
const CLAIM_GRACE_MILLIS: u64 = 5_000;

/// Result of a change set, kept under its change id.
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

/// A claim and the outcome of its request.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct ClaimRecord {
    #[prost(message, required, tag = "1")]
    claim: Claim,
    /// Milliseconds since 1970 after which the owner is presumed gone.
    #[prost(uint64, tag = "2")]
    until: u64,
    #[prost(message, optional, tag = "3")]
    answer: Option<Answer>,
    #[prost(bool, tag = "4")]
    may_have_run: bool,
}

/// Protobuf encoding of the state in a snapshot.
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
    /// Newest epoch of a lease.
    #[prost(uint64, tag = "5")]
    epoch: u64,
    #[prost(message, repeated, tag = "6")]
    claims: Vec<ClaimRecord>,
    #[prost(string, repeated, tag = "7")]
    drained: Vec<String>,
    #[prost(message, repeated, tag = "8")]
    audit: Vec<Audit>,
    /// Latest timestamp of an applied command, in milliseconds since 1970.
    #[prost(uint64, tag = "9")]
    at: u64,
    #[prost(message, optional, tag = "10")]
    document: Option<Document>,
    #[prost(message, repeated, tag = "11")]
    announced: Vec<Announcement>,
    #[prost(string, tag = "12")]
    holder: String,
    #[prost(message, repeated, tag = "13")]
    marks: Vec<Mark>,
    #[prost(message, repeated, tag = "14")]
    baselines: Vec<software::Baseline>,
    #[prost(message, repeated, tag = "15")]
    streams: Vec<software::Stream>,
}

/// An item and the revision that accepted it.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct DatedItem {
    #[prost(message, required, tag = "1")]
    item: Item,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

/// State of the group. Apart from `recent`, it is equal on all voters that have applied the same
/// log entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    catalog: Catalog,
    changes: VecDeque<Change>,
    assignments: BTreeMap<id::Upstream, Assignment>,
    /// Newest epoch of a lease; each change of an assignment takes the next one.
    epoch: id::Epoch,
    claims: BTreeMap<String, ClaimRecord>,
    /// Time and key of each claim, oldest first.
    claim_order: VecDeque<(u64, String)>,
    drained: BTreeSet<id::Host>,
    audit: VecDeque<Audit>,
    /// Newest change sets with the revisions that they created; not part of a snapshot.
    recent: VecDeque<(id::Revision, Vec<Item>)>,
    latest_millis: u64,
    document: Option<Document>,
    announced: BTreeMap<String, u64>,
    /// Host that sends the orders to replicas; empty before the first.
    holder: id::Host,
    /// Prompt parts that are suspected or convicted of crashing replicas.
    marks: BTreeMap<Key, Mark>,
    /// Software versions of streams.
    streams: software::Streams,
}

impl State {
    /// Catalog at the newest accepted revision.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Current assignments by replica name.
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

    /// The accepted routing configuration; `None` before the first.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Highest announced version of each adapter.
    pub fn announced(&self) -> &BTreeMap<String, u64> {
        &self.announced
    }

    /// Host that sends the orders to replicas; empty before the first.
    pub fn holder(&self) -> &str {
        &self.holder
    }

    /// Prompt parts that are suspected or convicted of crashing replicas.
    pub fn marks(&self) -> &BTreeMap<Key, Mark> {
        &self.marks
    }

    /// Software versions of streams.
    pub fn streams(&self) -> &software::Streams {
        &self.streams
    }

    /// Number of claims that are kept.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Latest timestamp of an applied command, in milliseconds since 1970.
    pub fn latest_millis(&self) -> u64 {
        self.latest_millis
    }

    /// Items of each change set accepted after a revision, oldest first. `None` if some are no longer
    /// kept or the revision is unknown.
    pub fn changes_since(
        &self,
        revision: id::Revision,
    ) -> Option<impl Iterator<Item = &(id::Revision, Vec<Item>)>> {
        let oldest_base = self.catalog.revision() - self.recent.len() as u64;
        if revision < oldest_base || revision > self.catalog.revision() {
            return None;
        }
        let skip = usize::try_from(revision - oldest_base).ok()?;
        Some(self.recent.iter().skip(skip))
    }

    /// Outcome of a command that needs no log entry, since the state already determines it.
    pub fn known_outcome(&self, command: &Command) -> Option<Outcome> {
        match command.order.as_ref()? {
            Order::Publish(change) => {
                let known = self.known_result(change)?;
                Some(Outcome::of(Effect::Published(known)))
            }
            Order::Claim(claim) => {
                let claim_record = self.claims.get(&claim.key)?;
                let claimed = claim_record.standing(claim, self.latest_millis.max(command.at));
                Some(Outcome::of(Effect::Claimed(claimed)))
            }
            Order::Configure(document) if !self.is_newer_document(document) => {
                Some(Outcome::of(Effect::Done(String::new())))
            }
            Order::Announce(announcement) if !self.is_newer_announcement(announcement) => {
                Some(Outcome::of(Effect::Done(String::new())))
            }
            _ => None,
        }
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        self.latest_millis = self.latest_millis.max(command.at);
        let effect = match &command.order {
            Some(Order::Publish(change)) => Effect::Published(self.publish(change)),
            Some(Order::Assign(assign)) => {
                for replica_move in &assign.moves {
                    self.assign(replica_move);
                }
                Effect::Done(String::new())
            }
            Some(Order::Claim(claim)) => Effect::Claimed(self.claim(claim)),
            Some(Order::Settle(settle)) => Effect::Done(self.settle(settle).to_owned()),
            Some(Order::Drain(drain)) => Effect::Done(self.drain(drain)),
            Some(Order::Member(change)) => Effect::Done(self.record_member_change(change)),
            Some(Order::Configure(document)) => Effect::Done(self.configure(document)),
            Some(Order::Announce(announcement)) => Effect::Done(self.announce(announcement)),
            Some(Order::Holder(holder)) => {
                self.holder.clone_from(&holder.host);
                Effect::Done(String::new())
            }
            Some(Order::Quarantine(quarantine)) => {
                for mark in &quarantine.marks {
                    self.record_mark(mark);
                }
                Effect::Done(String::new())
            }
            Some(Order::Software(software)) => {
                self.streams.apply(software, self.latest_millis);
                Effect::Done(String::new())
            }
            Some(Order::Lift(lift)) => Effect::Done(self.lift(lift)),
            None => Effect::Done(String::new()),
        };
        Outcome::of(effect)
    }

    fn known_result(&self, change: &ChangeSet) -> Option<Published> {
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
        if let Some(known) = self.known_result(change) {
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
            self.keep_recent_change(change);
        }
        self.changes.push_back(Change {
            id: change.id.clone(),
            digest: change.digest(),
            published: published.clone(),
        });
        if self.changes.len() > CHANGE_IDS_KEPT {
            self.changes.pop_front();
        }
        self.record_publish(change, &published);
        published
    }

    fn keep_recent_change(&mut self, change: &ChangeSet) {
        let without_file = |item: &Item| Item {
            file: String::new(),
            ..item.clone()
        };
        let items = change.items.iter().map(without_file).collect();
        self.recent.push_back((self.catalog.revision(), items));
        let mut items: usize = self.recent.iter().map(|(_, items)| items.len()).sum();
        while self.recent.len() > RECENT_CHANGES_KEPT
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
        self.record_audit(Audit {
            operator: change.operator.clone(),
            change: change.id.clone(),
            revision: published.revision,
            what: summarise(change),
            outcome: outcome.to_owned(),
            reason: published.refusal.clone(),
            ..Audit::default()
        });
    }

    fn record_audit(&mut self, audit: Audit) {
        let number = self.audit.back().map_or(1, |last| last.number + 1);
        self.audit.push_back(Audit {
            number,
            at: self.latest_millis,
            ..audit
        });
        if self.audit.len() > AUDIT_KEPT {
            self.audit.pop_front();
        }
    }

    fn assign(&mut self, replica_move: &Move) {
        self.epoch += 1;
        if replica_move.host.is_empty() {
            self.assignments.remove(&replica_move.replica);
            return;
        }
        let assignment = Assignment {
            replica: replica_move.replica.clone(),
            host: replica_move.host.clone(),
            session: replica_move.session,
            epoch: self.epoch,
            clean: replica_move.clean,
            address: replica_move.address.clone(),
        };
        self.assignments
            .insert(replica_move.replica.clone(), assignment);
    }

    fn claim(&mut self, claim: &Claim) -> Claimed {
        self.expire_claims();
        if let Some(claim_record) = self.claims.get(&claim.key) {
            return claim_record.standing(claim, self.latest_millis);
        }
        let claim_record = ClaimRecord {
            claim: claim.clone(),
            until: self.latest_millis + claim.millis + CLAIM_GRACE_MILLIS,
            answer: None,
            may_have_run: false,
        };
        self.claim_order
            .push_back((self.latest_millis, claim.key.clone()));
        self.claims.insert(claim.key.clone(), claim_record);
        Claimed::of(Standing::Won)
    }

    fn expire_claims(&mut self) {
        let is_expired = |claimed_at: u64, now: u64| claimed_at + CLAIM_KEPT_MILLIS < now;
        while let Some((claimed_at, key)) = self.claim_order.front() {
            if !is_expired(*claimed_at, self.latest_millis) {
                break;
            }
            self.claims.remove(key);
            self.claim_order.pop_front();
        }
    }

    fn settle(&mut self, settle: &Settle) -> &'static str {
        let Some(claim_record) = self.claims.get_mut(&settle.key) else {
            return "unknown claim";
        };
        if claim_record.claim.owner != settle.owner {
            return "another's claim";
        }
        if settle.not_run {
            self.claims.remove(&settle.key);
            self.claim_order.retain(|(_, key)| *key != settle.key);
            return "";
        }
        claim_record.may_have_run = settle.answer.is_none();
        claim_record.answer = settle.answer.clone();
        ""
    }

    fn drain(&mut self, drain: &Drain) -> String {
        if drain.on {
            self.drained.insert(drain.host.clone());
        } else {
            self.drained.remove(&drain.host);
        }
        let verb = if drain.on { "drain" } else { "undrain" };
        self.record_audit(Audit {
            operator: drain.operator.clone(),
            what: format!("{verb} host {}", drain.host),
            outcome: "done".to_owned(),
            ..Audit::default()
        });
        String::new()
    }

    fn record_member_change(&mut self, change: &MemberChange) -> String {
        let verb = if change.remove { "remove" } else { "add" };
        self.record_audit(Audit {
            operator: change.operator.clone(),
            what: format!("{verb} member {:016x} on host {}", change.id, change.host),
            outcome: "done".to_owned(),
            ..Audit::default()
        });
        String::new()
    }

    /// Whether a routing configuration has a higher version than the accepted one.
    fn is_newer_document(&self, document: &Document) -> bool {
        let known = self.document.as_ref();
        known.is_none_or(|known| document.version > known.version)
    }

    /// Whether an announcement has a higher version than the last one for its adapter.
    fn is_newer_announcement(&self, announcement: &Announcement) -> bool {
        let known = self.announced.get(&announcement.adapter);
        known.is_none_or(|known| announcement.version > *known)
    }

    fn configure(&mut self, document: &Document) -> String {
        if self.is_newer_document(document) {
            self.document = Some(document.clone());
            self.record_audit(Audit {
                what: format!("routing configuration {}", document.version),
                outcome: "accepted".to_owned(),
                ..Audit::default()
            });
        }
        String::new()
    }

    fn record_mark(&mut self, mark: &Mark) {
        let key = mark.key();
        let known = self.marks.get(&key);
        let was_convicted = known.is_some_and(|known| known.convicted);
        if mark.crashes == 0 {
            self.marks.remove(&key);
        } else if known.is_some() || self.marks.len() < MARKS_KEPT {
            self.marks.insert(key, mark.clone());
        }
        if mark.convicted != was_convicted {
            self.record_audit(Audit {
                what: format!("{} after {} crashes", noun(key), mark.crashes),
                outcome: if mark.convicted {
                    "quarantined"
                } else {
                    "cleared"
                }
                .to_owned(),
                ..Audit::default()
            });
        }
    }

    fn lift(&mut self, lift: &Lift) -> String {
        let key = lift.key();
        if self.marks.remove(&key).is_none() {
            return format!("{} is not in quarantine", noun(key));
        }
        self.record_audit(Audit {
            operator: lift.operator.clone(),
            what: noun(key),
            outcome: "lifted".to_owned(),
            ..Audit::default()
        });
        String::new()
    }

    fn announce(&mut self, announcement: &Announcement) -> String {
        if self.is_newer_announcement(announcement) {
            let Announcement { adapter, version } = announcement.clone();
            self.record_audit(Audit {
                what: format!("adapter {adapter} version {version}"),
                outcome: "announced".to_owned(),
                ..Audit::default()
            });
            self.announced.insert(adapter, version);
        }
        String::new()
    }

    /// Encodes the state for a snapshot.
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
            at: self.latest_millis,
            document: self.document.clone(),
            announced: self.announcements().collect(),
            holder: self.holder.clone(),
            marks: self.marks.values().cloned().collect(),
            baselines: self.streams.baselines().collect(),
            streams: self.streams.streams().collect(),
        };
        let mut bytes = image.encode_to_vec();
        // Items are encoded one at a time; collecting them first would take several times the memory
        // of the catalog.
        for (item, revision) in self.catalog.items() {
            let dated_item = DatedItem { item, revision };
            message::encode(IMAGE_ITEMS_FIELD, &dated_item, &mut bytes);
        }
        bytes.into()
    }

    /// Highest announced version of each adapter, as announcements.
    pub fn announcements(&self) -> impl Iterator<Item = Announcement> {
        self.announced
            .iter()
            .map(|(adapter, version)| Announcement {
                adapter: adapter.clone(),
                version: *version,
            })
    }

    fn ordered_claims(&self) -> Vec<ClaimRecord> {
        let find = |(_, key): &(u64, String)| self.claims.get(key).cloned();
        self.claim_order.iter().filter_map(find).collect()
    }

    /// Decodes a state from a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid snapshot.
    pub fn decode(bytes: Bytes) -> Result<Self, prost::DecodeError> {
        let image = Image::decode(bytes)?;
        let mut state = Self {
            changes: image.changes.into(),
            epoch: image.epoch,
            drained: image.drained.into_iter().collect(),
            audit: image.audit.into(),
            latest_millis: image.at,
            document: image.document,
            holder: image.holder,
            marks: image
                .marks
                .into_iter()
                .map(|mark| (mark.key(), mark))
                .collect(),
            streams: software::Streams::restore(image.baselines, &image.streams),
            announced: image
                .announced
                .into_iter()
                .map(|announcement| (announcement.adapter, announcement.version))
                .collect(),
            ..Self::default()
        };
        for dated_item in image.items {
            state
                .catalog
                .restore(&[dated_item.item], dated_item.revision);
        }
        state.catalog.restore(&[], image.revision);
        for assignment in image.assignments {
            state
                .assignments
                .insert(assignment.replica.clone(), assignment);
        }
        for claim_record in image.claims {
            let key = claim_record.claim.key.clone();
            let claimed_at = claim_record.until - claim_record.claim.millis - CLAIM_GRACE_MILLIS;
            state.claim_order.push_back((claimed_at, key.clone()));
            state.claims.insert(key, claim_record);
        }
        Ok(state)
    }
}

impl ClaimRecord {
    /// Outcome of `claim`, from the same or another owner, when this record exists for its key.
    /// `now` is in milliseconds since 1970.
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

/// Describes the first items of a change set for the audit trail.
fn summarise(change: &ChangeSet) -> String {
    const MAX_ITEMS_NAMED: usize = 5;
    let name = |item: &Item| {
        let sign = if item.removed { "-" } else { "" };
        format!("{sign}{}", crate::catalog::describe(item))
    };
    let mut names: Vec<_> = change
        .items
        .iter()
        .take(MAX_ITEMS_NAMED)
        .map(name)
        .collect();
    if change.items.len() > MAX_ITEMS_NAMED {
        names.push(format!("and {} more", change.items.len() - MAX_ITEMS_NAMED));
    }
    names.join(", ")
}

/// What the audit trail calls a part or a request.
fn noun(key: Key) -> String {
    match key {
        Key::Part(_) => format!("prompt part {key}"),
        Key::Request(_) => key.to_string(),
    }
}
