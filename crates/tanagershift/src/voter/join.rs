//! How a data folder comes to belong to a group.

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
        message::{Members, Snapshot},
    },
    wire::{Body, Format},
};

/// Answers for a folder that belongs to no group, until it is given to one.
pub(super) async fn wait_for_group(
    config: &Config,
    identity: Identity,
    queue: &mut mpsc::Receiver<Input>,
) -> Result<Identity, Error> {
    loop {
        match queue.recv().await {
            Some(Input::Frame(body, responder)) => {
                if let Some(joined) = take_before_group(config, identity, *body, responder)? {
                    return Ok(joined);
                }
            }
            Some(Input::HandOver(done)) => {
                let _ = done.send(());
            }
            // The process is ending; nothing comes any more.
            None => std::future::pending().await,
        }
    }
}

/// Answers one message; returns the identity once the folder belongs to a group.
fn take_before_group(
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
            let joined = join(config, identity, format)?;
            responder.finish_now(Body::Report(identity_report(&config.host, joined)));
            return Ok(Some(joined));
        }
        Body::Format(_) => responder.finish_now(failure("the group names another identity")),
        Body::Quorum(envelope) if envelope.to == identity.member => {
            // A leader has added this identity; its log comes with its snapshot.
            let format = Format {
                group: envelope.group,
                member: identity.member,
                members: Vec::new(),
            };
            return join(config, identity, format).map(Some);
        }
        // A responder that is dropped tells its opener to ask elsewhere.
        _ => {}
    }
    Ok(None)
}

/// Who the owner of a folder is, as JSON.
pub(super) fn identity_report(host: &str, identity: Identity) -> Bytes {
    let report = serde_json::json!({
        "host": host,
        "member": format!("{:016x}", identity.member),
        "group": format!("{:016x}", identity.group),
    });
    report.to_string().into()
}

fn join(config: &Config, identity: Identity, format: Format) -> Result<Identity, Error> {
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
