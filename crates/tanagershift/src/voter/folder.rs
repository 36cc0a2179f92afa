//! Assigns a data folder without a group to a group, and formats it.

use bytes::Bytes;
use tokio::sync::mpsc;

use super::{
    driver::{Config, Error, Input, failure},
    state::State,
};
use crate::{
    emit,
    link::Responder,
    quorum::{
        disk::{Disk, Identity},
        message::{self, Envelope, Members, Snapshot},
    },
    wire::{Body, Format},
};

/// Handles messages until one assigns the data folder to a group; returns the folder's identity.
pub(super) async fn wait_for_group(
    config: &Config,
    identity: Identity,
    queue: &mut mpsc::Receiver<Input>,
) -> Result<Identity, Error> {
    loop {
        match queue.recv().await {
            Some(Input::Message(body, responder)) => {
                if let Some(assigned) = handle_before_group(config, identity, *body, responder)? {
                    return Ok(assigned);
                }
            }
            Some(Input::TransferLeadership(_, done)) => {
                let _ = done.send(());
            }
            // Every sender is gone, so the process is shutting down.
            None => std::future::pending().await,
        }
    }
}

/// Handles one message; returns the identity if the message assigned the folder to a group.
fn handle_before_group(
    config: &Config,
    identity: Identity,
    body: Body,
    responder: Responder,
) -> Result<Option<Identity>, Error> {
    match body {
        Body::Query(query) if query.kind == "identity" => {
            responder.finish_now(Body::Report(identity_report(&config.host, identity)));
        }
        Body::Format(format) if format.member == identity.member && format.group > 0 => {
            let assigned = assign_to_group(config, identity, format)?;
            responder.finish_now(Body::Report(identity_report(&config.host, assigned)));
            return Ok(Some(assigned));
        }
        Body::Format(_) => responder.finish_now(failure("the group names another identity")),
        Body::Quorum(envelope) if envelope.to == identity.member && is_from_leader(&envelope) => {
            // A leader has added this member and sends its snapshot and log.
            let format = Format {
                group: envelope.group,
                member: identity.member,
                members: Vec::new(),
            };
            return assign_to_group(config, identity, format).map(Some);
        }
        // Dropping the responder tells the caller to ask again.
        _ => {}
    }
    Ok(None)
}

/// Whether a message is one that only a leader sends. Vote requests may arrive from voters of a group
/// that is being created, before the message that assigns this folder to it with its members.
fn is_from_leader(envelope: &Envelope) -> bool {
    matches!(
        envelope.body,
        Some(message::Body::AppendEntries(_) | message::Body::InstallSnapshot(_))
    )
}

/// Identity of the data folder, as JSON.
pub(super) fn identity_report(host: &str, identity: Identity) -> Bytes {
    let report = serde_json::json!({
        "host": host,
        "member": format!("{:016x}", identity.member),
        "group": format!("{:016x}", identity.group),
    });
    report.to_string().into()
}

fn assign_to_group(config: &Config, identity: Identity, format: Format) -> Result<Identity, Error> {
    let identity = Identity {
        group: format.group,
        ..identity
    };
    let snapshot = Snapshot {
        index: 0,
        term: 0,
        members: Members {
            members: format.members,
        },
        data: State::default().encode(),
    };
    Disk::format(&config.data, identity, &snapshot)?;
    emit!(
        FORMATTED,
        "member {:016x}, group {:016x}",
        identity.member,
        identity.group
    );
    Ok(identity)
}
