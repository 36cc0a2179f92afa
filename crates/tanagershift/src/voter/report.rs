//! Answers to queries of the operators' tool, as JSON.

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{lease::Leases, state::State};
use crate::{
    catalog::{Catalog, hex},
    platform::{Kind, Standing, Upstream},
    quorum::Node,
    wire::Query,
};

/// State from which the leader answers a query.
#[derive(Debug)]
pub struct View<'a> {
    /// This voter's node, which knows the term, the members and the committed part of the log.
    pub node: &'a Node,
    /// The replicated state.
    pub state: &'a State,
    /// Hosts and their leases.
    pub leases: &'a Leases,
    /// Upstreams on the platform's list.
    pub upstreams: &'a [Upstream],
    /// Number of open permits for the store, and of queued requests for one.
    pub permits: (usize, usize),
    /// Time of the query.
    pub now: Instant,
}

/// Answers a query; `None` if its kind is unknown.
pub fn answer(view: &View<'_>, query: &Query) -> Option<Bytes> {
    let value = match query.kind.as_str() {
        "status" => status(view),
        "audit" => audit(view, query),
        "adapters" => adapters(view.state.catalog(), query),
        "replicas" => replicas(view),
        "quarantine" => quarantine(view.state),
        _ => return None,
    };
    Some(value.to_string().into())
}

fn status(view: &View<'_>) -> Value {
    let revision = view.state.catalog().revision();
    let host = |(name, info): (&String, &super::lease::HostInfo)| {
        json!({
            "host": name,
            "zone": info.zone,
            "address": info.address,
            "live": view.now < info.expires_at,
            "draining": info.draining,
            "holds": info.holds,
            "revision": info.revision,
            "in_force": info.revision >= revision,
            "replicas": view.state.assignments().values()
                .filter(|assignment| assignment.host == *name).count(),
        })
    };
    let member = |member: &crate::quorum::message::Member| {
        json!({
            "id": format!("{:016x}", member.id),
            "host": member.host,
            "address": member.address,
            "voter": member.voter,
            "leader": member.id == view.node.id(),
        })
    };
    json!({
        "revision": revision,
        "term": view.node.term(),
        "commit": view.node.commit_index(),
        "members": view.node.members().members.iter().map(member).collect::<Vec<_>>(),
        "hosts": view.leases.hosts().iter().map(host).collect::<Vec<_>>(),
        "adapters": view.state.catalog().adapters().count(),
        "claims": view.state.claims(),
        "permits": { "open": view.permits.0, "waiting": view.permits.1 },
    })
}

fn audit(view: &View<'_>, query: &Query) -> Value {
    let limit = if query.limit == 0 {
        u64::MAX
    } else {
        query.limit
    };
    let wanted = view
        .state
        .audit()
        .filter(|record| record.number > query.after);
    let row = |record: &super::command::Audit| {
        json!({
            "number": record.number,
            "at_millis": record.at,
            "operator": record.operator,
            "change": record.change,
            "revision": record.revision,
            "what": record.what,
            "outcome": record.outcome,
            "reason": record.reason,
        })
    };
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    if query.after > 0 {
        return wanted.take(limit).map(row).collect();
    }
    // Without `after` the newest records are returned, but still oldest first.
    let mut rows: Vec<_> = wanted.rev().take(limit).map(row).collect();
    rows.reverse();
    rows.into()
}

/// Adapters of a catalog with their versions, and its intents.
pub fn adapters(catalog: &Catalog, query: &Query) -> Value {
    let limit = if query.limit == 0 {
        u64::MAX
    } else {
        query.limit
    };
    let version = |version: &crate::catalog::Version| {
        json!({
            "number": version.number,
            "digest": hex(&version.digest),
            "weights": &*version.weights,
            "revision": version.revision,
        })
    };
    let adapter = |(name, adapter): (&str, &crate::catalog::Adapter)| {
        let available = adapter.versions.iter().filter(|version| !version.removed);
        json!({
            "name": name,
            "base": &*adapter.base,
            "audience": &*adapter.audience,
            "versions": available.map(version).collect::<Vec<_>>(),
        })
    };
    let intent = |intent: &crate::catalog::Intent| {
        json!({
            "name": intent.name,
            "target": if intent.service.is_empty() {
                format!("{}@{}", intent.adapter, intent.version)
            } else {
                format!("service {}", intent.service)
            },
        })
    };
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let skip = usize::try_from(query.after).unwrap_or(usize::MAX);
    json!({
        "revision": catalog.revision(),
        "total": catalog.adapters().count(),
        "adapters": catalog.adapters().skip(skip).take(limit).map(adapter).collect::<Vec<_>>(),
        "intents": catalog.intents().map(intent).collect::<Vec<_>>(),
    })
}

/// Prompt parts and requests that are suspected or convicted of crashing replicas.
fn quarantine(state: &State) -> Value {
    let row = |mark: &super::command::Mark| {
        json!({
            "key": mark.key().to_string(),
            "convicted": mark.convicted,
            "crashes": mark.crashes,
            "services": mark.services,
        })
    };
    state.marks().values().map(row).collect()
}

fn replicas(view: &View<'_>) -> Value {
    let row = |upstream: &Upstream| {
        let assignment = view.state.assignments().get(&upstream.name);
        json!({
            "replica": upstream.name,
            "base": upstream.serves,
            "zone": upstream.zone,
            "address": upstream.address,
            "leaving": upstream.state == Standing::Leaving,
            "holder": assignment.map(|assignment| &assignment.host),
            "epoch": assignment.map(|assignment| assignment.epoch),
        })
    };
    let engines = view
        .upstreams
        .iter()
        .filter(|upstream| upstream.kind == Kind::Engine);
    engines.map(row).collect()
}
