//! What each command does.

use std::{collections::BTreeSet, path::Path, time::Duration};

use serde_json::{Value, json};
use snafu::{OptionExt, Snafu};
use tanagershift::{
    catalog::{Catalog, ChangeSet, Item, describe},
    follower::Leader,
    ini,
    link::{Greeting, Pool},
    operator,
    quorum::message::Member,
    settings::read_token,
    voter::command::{Command, Drain, Effect, MemberChange, Order, Outcome, Published},
    wire::{Body, Follow, Format, Query},
};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    arguments::{self, Arguments, MemberAction},
    table,
};

/// Longest wait for an answer of the leader.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for one voter's answer; what is asked may be asked again.
const ATTEMPT: Duration = Duration::from_millis(700);
/// Time between two looks at the hosts.
const LOOK: Duration = Duration::from_millis(50);
/// Time between two looks at the audit trail.
const WATCH: Duration = Duration::from_millis(500);

/// Why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The files cannot be published.
    #[snafu(display("{source}"), context(false))]
    Files {
        /// Where and why.
        source: operator::Error,
    },
    /// The token cannot be read.
    #[snafu(display("{source}"), context(false))]
    Token {
        /// Where and why.
        source: ini::Error,
    },
    /// The change set was refused; nothing changed.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
    /// No leader answered; a change may have been accepted, and may be sent again under its id.
    #[snafu(display("no answer of a leader{hint}"))]
    NoAnswer {
        /// How to go on.
        hint: String,
    },
    /// The revision is accepted and not in force everywhere yet.
    #[snafu(display("revision {revision} is accepted but not yet in force on: {hosts}"))]
    Lagging {
        /// Revision.
        revision: u64,
        /// Hosts that lag.
        hosts: String,
    },
    /// The answer was not one that this tool knows.
    #[snafu(display("unexpected answer: {text}"))]
    Unexpected {
        /// The answer.
        text: String,
    },
}

impl Error {
    /// Exit code, as the manual lists it.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Files { .. } | Self::Token { .. } => 2,
            Self::Refused { .. } => 3,
            Self::NoAnswer { .. } => 4,
            Self::Lagging { .. } => 5,
            Self::Unexpected { .. } => 1,
        }
    }
}

/// Access to the group.
pub(crate) struct Group {
    pool: Pool,
    leader: Leader,
    voters: Vec<String>,
    /// Whether JSON is printed in place of tables.
    pub(crate) json: bool,
}

/// Carries a command out.
///
/// # Errors
///
/// Why it failed.
pub async fn run(arguments: Arguments) -> Result<(), Error> {
    let token = match &arguments.token_file {
        Some(path) => read_token(path)?,
        None => String::new(),
    };
    let greeting = Greeting {
        host: String::new(),
        token,
    };
    let pool = Pool::new(greeting);
    let voters = arguments.voters.0;
    let group = Group {
        leader: Leader::new(pool.clone(), voters.clone()),
        pool,
        voters,
        json: arguments.json,
    };
    match arguments.command {
        arguments::Command::Bootstrap(_) => group.bootstrap().await,
        arguments::Command::Publish(publish) => group.publish(publish).await,
        arguments::Command::Diff(diff) => group.diff(&diff.folder).await,
        arguments::Command::Status(_) => group.status().await,
        arguments::Command::Watch(watch) => group.watch(watch.count).await,
        arguments::Command::Audit(audit) => group.audit(audit.after, audit.limit).await,
        arguments::Command::Adapters(adapters) => group.adapters(&adapters).await,
        arguments::Command::Replicas(_) => group.replicas().await,
        arguments::Command::Quarantine(quarantine) => group.quarantine(quarantine).await,
        arguments::Command::Member(member) => group.member(member.action).await,
        arguments::Command::Drain(drain) => group.drain(drain).await,
    }
}

fn no_answer() -> Error {
    Error::NoAnswer {
        hint: String::new(),
    }
}

pub(crate) fn user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("")
}

fn shown(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        other => other.to_string(),
    }
}

/// Rows of a list, each with the named cells.
pub(crate) fn rows(list: &Value, keys: &[&str]) -> Vec<Vec<String>> {
    let row = |value: &Value| keys.iter().map(|key| shown(&value[*key])).collect();
    list.as_array().into_iter().flatten().map(row).collect()
}

impl Group {
    async fn ask(&self, body: Body, limit: Duration) -> Result<Body, Error> {
        let answer = self.leader.ask(body, limit, ATTEMPT).await;
        match answer {
            Ok(Body::Error(failure)) => RefusedSnafu {
                reason: failure.reason,
            }
            .fail(),
            Ok(body) => Ok(body),
            Err(_) => NoAnswerSnafu { hint: "" }.fail(),
        }
    }

    pub(crate) async fn query(&self, kind: &str, after: u64, limit: u64) -> Result<Value, Error> {
        let query = Query {
            kind: kind.to_owned(),
            after,
            limit,
        };
        match self.ask(Body::Query(query), ASK_TIMEOUT).await? {
            Body::Report(bytes) => parse(&bytes),
            other => unexpected(&other),
        }
    }

    pub(crate) async fn propose(&self, order: Order, limit: Duration) -> Result<Effect, Error> {
        let body = Body::Propose(Command::of(order));
        match self.ask(body, limit).await? {
            Body::Outcome(Outcome {
                effect: Some(effect),
            }) => Ok(effect),
            other => unexpected(&other),
        }
    }

    async fn publish(&self, publish: arguments::Publish) -> Result<(), Error> {
        let items = operator::read(&publish.folder)?;
        let mut change = ChangeSet {
            id: publish.id.clone().unwrap_or_default(),
            operator: publish.operator.clone().unwrap_or_else(user),
            base: publish.base,
            items,
        };
        if change.id.is_empty() {
            // The accepted revision makes the id of a change back to earlier content a new one.
            let status = self.query("status", 0, 0).await?;
            change.id = format!("{}-{}", change.digest(), status["revision"]);
        }
        let limit = Duration::from_secs(publish.timeout);
        let id = change.id.clone();
        let outcome = self.propose(Order::Publish(change), limit).await;
        let published = match outcome {
            Ok(Effect::Published(published)) => published,
            Ok(_) => return UnexpectedSnafu { text: "no publish" }.fail(),
            Err(Error::NoAnswer { .. }) => {
                let hint = format!("; it may have been accepted, resend it with --id {id}");
                return NoAnswerSnafu { hint }.fail();
            }
            Err(error) => return Err(error),
        };
        if !published.refusal.is_empty() {
            return RefusedSnafu {
                reason: published.refusal,
            }
            .fail();
        }
        self.show_published(&id, &published);
        if publish.wait {
            self.wait(published.revision, limit).await?;
        }
        Ok(())
    }

    fn show_published(&self, id: &str, published: &Published) {
        let Published {
            revision, changed, ..
        } = published;
        if self.json {
            println!(
                "{}",
                json!({ "change": id, "revision": revision, "changed": changed })
            );
        } else if *changed {
            println!("accepted: change {id} is revision {revision}");
        } else {
            println!("unchanged: revision {revision} holds all of it");
        }
    }

    /// Waits until a revision is in force on every live host.
    async fn wait(&self, revision: u64, limit: Duration) -> Result<(), Error> {
        let until = Instant::now() + limit;
        loop {
            let status = self.query("status", 0, 0).await?;
            let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
            let lagging: BTreeSet<&str> = hosts
                .iter()
                .filter(|host| host["live"] == true && host["revision"].as_u64() < Some(revision))
                .map(|host| text(host, "host"))
                .collect();
            if lagging.is_empty() && !hosts.is_empty() {
                if !self.json {
                    println!("in force on every live host");
                }
                return Ok(());
            }
            if Instant::now() >= until {
                let hosts = lagging.into_iter().collect::<Vec<_>>().join(", ");
                return LaggingSnafu { revision, hosts }.fail();
            }
            sleep(LOOK).await;
        }
    }

    async fn diff(&self, folder: &Path) -> Result<(), Error> {
        let items = operator::read(folder)?;
        let catalog = self.catalog().await?;
        let change = ChangeSet {
            items,
            ..ChangeSet::default()
        };
        let effects = catalog.check(&change).map_err(|error| Error::Refused {
            reason: error.to_string(),
        })?;
        let changed = change.items.iter().zip(&effects);
        let changed: Vec<(&Item, char)> = changed
            .map(|(item, effect)| (item, effect.sign()))
            .filter(|(_, sign)| *sign != ' ')
            .collect();
        if self.json {
            let row = |(item, sign): &(&Item, char)| json!({ "effect": sign.to_string(), "item": describe(item), "file": item.file });
            let rows: Vec<Value> = changed.iter().map(row).collect();
            println!("{}", json!({ "base": catalog.revision(), "changes": rows }));
            return Ok(());
        }
        for (item, sign) in &changed {
            println!("{sign} {}  ({})", describe(item), item.file);
        }
        println!(
            "{} changes against revision {}",
            changed.len(),
            catalog.revision()
        );
        Ok(())
    }

    /// The whole accepted configuration.
    async fn catalog(&self) -> Result<Catalog, Error> {
        // Any answer tells which voter leads.
        self.query("status", 0, 0).await?;
        let leader = self.leader.current().borrow().clone();
        let leader = leader.context(NoAnswerSnafu { hint: "" })?;
        let follow = Body::Follow(Follow {
            host: String::new(),
            revision: u64::MAX,
        });
        let follow = self.pool.call(&leader, follow).await;
        let mut call = follow.map_err(|_| no_answer())?;
        let mut catalog = Catalog::default();
        loop {
            let next = timeout(ASK_TIMEOUT, call.next()).await;
            let Ok(Ok(Some(Body::Update(mut update)))) = next else {
                return Err(no_answer());
            };
            let items = update.take_items().map_err(|_| no_answer())?;
            catalog.restore(&items, update.revision);
            if update.complete {
                return Ok(catalog);
            }
        }
    }

    async fn status(&self) -> Result<(), Error> {
        let status = self.query("status", 0, 0).await?;
        if self.json {
            println!("{status}");
            return Ok(());
        }
        println!(
            "revision {}, {} adapters, {} claims, term {}",
            status["revision"], status["adapters"], status["claims"], status["term"]
        );
        println!();
        let keys = [
            "host", "zone", "live", "in_force", "revision", "replicas", "draining",
        ];
        table::print(&keys, &rows(&status["hosts"], &keys));
        println!();
        let keys = ["id", "host", "address", "voter", "leader"];
        table::print(&keys, &rows(&status["members"], &keys));
        Ok(())
    }

    async fn watch(&self, count: Option<u64>) -> Result<(), Error> {
        let newest = self.query("audit", 0, 1).await?;
        let mut after = newest[0]["number"].as_u64().unwrap_or(0);
        let mut left = count.unwrap_or(u64::MAX);
        while left > 0 {
            // Before the first record there is no number to start after.
            let list = self
                .query("audit", after, if after == 0 { 0 } else { left })
                .await?;
            for record in list.as_array().into_iter().flatten() {
                self.show_record(record);
                after = record["number"].as_u64().unwrap_or(after);
                left = left.saturating_sub(1);
            }
            sleep(WATCH).await;
        }
        Ok(())
    }

    fn show_record(&self, record: &Value) {
        if self.json {
            println!("{record}");
            return;
        }
        let reason = text(record, "reason");
        let reason = if reason.is_empty() {
            String::new()
        } else {
            format!(": {reason}")
        };
        println!(
            "{} {} {} revision {}: {}{reason}",
            record["number"],
            text(record, "operator"),
            text(record, "outcome"),
            record["revision"],
            text(record, "what"),
        );
    }

    async fn audit(&self, after: u64, limit: u64) -> Result<(), Error> {
        let list = self.query("audit", after, limit).await?;
        if self.json {
            println!("{list}");
            return Ok(());
        }
        let keys = [
            "number",
            "at_millis",
            "operator",
            "change",
            "revision",
            "outcome",
            "what",
            "reason",
        ];
        table::print(&keys, &rows(&list, &keys));
        Ok(())
    }

    async fn adapters(&self, adapters: &arguments::Adapters) -> Result<(), Error> {
        let list = self
            .query("adapters", adapters.after, adapters.limit)
            .await?;
        if self.json {
            println!("{list}");
            return Ok(());
        }
        let row = |adapter: &Value| {
            let versions = adapter["versions"].as_array();
            let numbers = versions
                .into_iter()
                .flatten()
                .map(|version| shown(&version["number"]));
            vec![
                shown(&adapter["name"]),
                shown(&adapter["base"]),
                shown(&adapter["audience"]),
                numbers.collect::<Vec<_>>().join(","),
            ]
        };
        let found = list["adapters"].as_array().into_iter().flatten();
        let found: Vec<_> = found.map(row).collect();
        table::print(&["adapter", "base", "audience", "versions"], &found);
        println!(
            "{} of {} adapters at revision {}",
            found.len(),
            list["total"],
            list["revision"]
        );
        println!();
        table::print(
            &["intent", "target"],
            &rows(&list["intents"], &["name", "target"]),
        );
        Ok(())
    }

    async fn replicas(&self) -> Result<(), Error> {
        let list = self.query("replicas", 0, 0).await?;
        if self.json {
            println!("{list}");
            return Ok(());
        }
        let keys = [
            "replica", "base", "zone", "address", "leaving", "holder", "epoch",
        ];
        table::print(&keys, &rows(&list, &keys));
        Ok(())
    }

    async fn drain(&self, drain: arguments::Drain) -> Result<(), Error> {
        let order = Order::Drain(Drain {
            host: drain.host.clone(),
            on: !drain.undo,
            operator: user(),
        });
        self.propose(order, ASK_TIMEOUT).await?;
        let verb = if drain.undo {
            "back in service"
        } else {
            "draining"
        };
        println!("host {} is {verb}", drain.host);
        Ok(())
    }

    /// Asks the voter at an address who it is.
    async fn identify(&self, address: &str) -> Result<Value, Error> {
        let query = Body::Query(Query {
            kind: "identity".to_owned(),
            ..Query::default()
        });
        self.ask_at(address, query).await
    }

    async fn ask_at(&self, address: &str, body: Body) -> Result<Value, Error> {
        let call = async { self.pool.call(address, body).await?.answer().await };
        let lost = |reason: String| Error::Unexpected {
            text: format!("{address}: {reason}"),
        };
        let answer = timeout(ATTEMPT, call)
            .await
            .map_err(|_| lost("timeout".to_owned()))?;
        match answer.map_err(|error| lost(error.to_string()))? {
            Body::Report(bytes) => parse(&bytes),
            Body::Error(failure) => RefusedSnafu {
                reason: format!("{address}: {}", failure.reason),
            }
            .fail(),
            other => unexpected(&other),
        }
    }

    async fn bootstrap(&self) -> Result<(), Error> {
        let mut members = Vec::new();
        let mut groups = BTreeSet::new();
        for address in &self.voters {
            let identity = self.identify(address).await?;
            let member = Member {
                id: number(&identity, "member")?,
                host: text(&identity, "host").to_owned(),
                address: address.clone(),
                voter: true,
            };
            members.push((member, number(&identity, "group")?));
            groups.insert(number(&identity, "group")?);
        }
        members.sort_by_key(|(member, _)| member.id);
        // The identities are random, so a group made of them is new; a bootstrap that broke off
        // goes on with the same one.
        let group = members.iter().fold(1, |group: u64, (member, _)| {
            group.wrapping_mul(0x0100_0000_01b3) ^ member.id
        });
        let group = group.max(1);
        groups.remove(&0);
        groups.remove(&group);
        if !groups.is_empty() {
            let reason = "a data folder belongs to a group already; \
                          add new voters with `member add`";
            return RefusedSnafu { reason }.fail();
        }
        let first: Vec<Member> = members.iter().map(|(member, _)| member.clone()).collect();
        let fresh = members.iter().filter(|(_, known)| *known == 0);
        for (member, _) in fresh {
            let format = Format {
                group,
                member: member.id,
                members: first.clone(),
            };
            self.ask_at(&member.address, Body::Format(format)).await?;
        }
        println!("group {:016x} of {} voters", group, members.len());
        Ok(())
    }

    async fn member(&self, action: MemberAction) -> Result<(), Error> {
        let change = match action {
            MemberAction::Add(add) => {
                let identity = self.identify(&add.address).await?;
                MemberChange {
                    id: number(&identity, "member")?,
                    host: text(&identity, "host").to_owned(),
                    address: add.address,
                    remove: false,
                    operator: user(),
                }
            }
            MemberAction::Remove(remove) => {
                let status = self.query("status", 0, 0).await?;
                let members = status["members"].as_array().cloned().unwrap_or_default();
                let known = members
                    .iter()
                    .find(|member| text(member, "id") == remove.id);
                MemberChange {
                    id: u64::from_str_radix(&remove.id, 16).unwrap_or(0),
                    host: known.map_or("", |member| text(member, "host")).to_owned(),
                    address: String::new(),
                    remove: true,
                    operator: user(),
                }
            }
        };
        let verb = if change.remove { "removed" } else { "added" };
        let done = format!("member {:016x} on host {} {verb}", change.id, change.host);
        self.propose(Order::Member(change), ASK_TIMEOUT).await?;
        println!("{done}");
        Ok(())
    }
}

fn number(value: &Value, key: &str) -> Result<u64, Error> {
    u64::from_str_radix(text(value, key), 16).map_err(|_| Error::Unexpected {
        text: value.to_string(),
    })
}

fn parse(bytes: &[u8]) -> Result<Value, Error> {
    serde_json::from_slice(bytes).map_err(|error| Error::Unexpected {
        text: error.to_string(),
    })
}

fn unexpected<T>(body: &Body) -> Result<T, Error> {
    let text = format!("{body:?}");
    UnexpectedSnafu {
        text: text.chars().take(200).collect::<String>(),
    }
    .fail()
}
