//! Updates of the catalog and the routes for hosts that follow the leader.

use bytes::Bytes;
use prost::Message;
use tokio::sync::mpsc;

use super::{command::Assignment, state::State};
use crate::{
    catalog::Item,
    id,
    link::Responder,
    wire::{Body, Items, Redirect, Route, Routes, Update},
};

/// Items per update when the whole catalog is sent.
const ITEMS_PER_UPDATE: usize = 5000;

/// Routes for the current assignments. Routes with a higher `index` replace those with a lower one,
/// also across leaders.
pub fn routes(state: &State, index: u64) -> Routes {
    let route = |assignment: &Assignment| Route {
        replica: assignment.replica.clone(),
        host: assignment.host.clone(),
        address: assignment.address.clone(),
        epoch: assignment.epoch,
    };
    Routes {
        index,
        routes: state.assignments().values().map(route).collect(),
    }
}

/// Updates that bring a host from a revision to the newest. If the change sets since that revision
/// are no longer kept, the updates contain the whole catalog, taken from `packed`, the result of
/// `pack`.
pub fn catch_up(state: &State, revision: id::Revision, packed: &[Bytes]) -> Vec<Update> {
    let newest = state.catalog().revision();
    if let Some(recent) = state.changes_since(revision) {
        let update = |(revision, items): &(id::Revision, Vec<Item>)| Update {
            complete: true,
            revision: *revision,
            items: items.clone(),
            ..Update::default()
        };
        let mut updates: Vec<Update> = recent.map(update).collect();
        if updates.is_empty() {
            updates.push(Update {
                complete: true,
                revision: newest,
                ..Update::default()
            });
        }
        return updates;
    }
    let last = packed.len().saturating_sub(1);
    let update = |(position, part): (usize, &Bytes)| Update {
        reset: position == 0,
        complete: position == last,
        revision: newest,
        packed: part.clone(),
        ..Update::default()
    };
    packed.iter().enumerate().map(update).collect()
}

/// The whole catalog as encoded `Items` messages, which are shared by all hosts that need it.
pub fn pack(state: &State) -> Vec<Bytes> {
    let mut parts = Vec::new();
    let mut part = Items::default();
    for (item, _) in state.catalog().items() {
        part.items.push(item);
        if part.items.len() == ITEMS_PER_UPDATE {
            parts.push(part.encode_to_vec().into());
            part.items.clear();
        }
    }
    parts.push(part.encode_to_vec().into());
    parts
}

/// Sends a follower its initial updates, then each queued update.
pub async fn send_updates(
    initial: Vec<Update>,
    mut queue: mpsc::Receiver<Update>,
    responder: Responder,
) {
    for update in initial {
        if responder.send(Body::Update(update)).await.is_err() {
            return;
        }
    }
    loop {
        let update = tokio::select! {
            update = queue.recv() => update,
            () = responder.cancelled() => None,
        };
        let Some(update) = update else {
            break;
        };
        if responder.send(Body::Update(update)).await.is_err() {
            return;
        }
    }
    // The redirect makes the follower search for the leader and follow again.
    let _ = responder.finish(Body::Redirect(Redirect::default())).await;
}
