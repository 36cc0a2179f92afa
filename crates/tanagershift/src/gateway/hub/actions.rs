//! Carries out what the placement has decided.

use std::sync::Arc;

use tokio::sync::{Semaphore, mpsc};

use super::{Input, LeaderState};
use crate::{
    gateway::{Gateway, dialect::Order, orders, placement::Action},
    voter::status::SharedStatus,
};

/// Reports that are fetched at the same time. A new leader needs those of all replicas; if it fetched them
/// at once in a large system, its heartbeats would come too late and another host would be elected.
const MAX_REPORT_FETCHES: usize = 64;

/// Creates the permits to fetch reports.
pub(super) fn report_permits() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(MAX_REPORT_FETCHES))
}

/// Sends an order, or asks for a report; the outcome comes back as an input.
pub(super) fn carry_out(
    gateway: &Arc<Gateway>,
    voter_status: &SharedStatus,
    inputs: &mpsc::Sender<Input>,
    state: &LeaderState,
    action: Action,
) {
    let term = state.term;
    let inputs = inputs.clone();
    let gateway = gateway.clone();
    let find = |name: &str| {
        let replica = state.placement.replicas().get(name);
        replica.map(|replica| replica.upstream.clone())
    };
    match action {
        Action::Report { replica } => {
            let Some(upstream) = find(&replica) else {
                return;
            };
            let permits = state.report_permits.clone();
            tokio::spawn(async move {
                // Fails once this host no longer leads.
                let Ok(permit) = permits.acquire_owned().await else {
                    return;
                };
                let report = orders::fetch_report(gateway, upstream).await;
                drop(permit);
                // Fails only while the process ends, since the hub runs until then.
                let _ = inputs.send(Input::Reported(term, replica, report)).await;
            });
        }
        Action::Order {
            replica,
            number,
            operation,
            adapter,
            version,
            expect,
        } => {
            let Some(upstream) = find(&replica) else {
                return;
            };
            let order = Order {
                operation,
                adapter,
                version,
                expect,
                holder: gateway.host.clone(),
                epoch: term,
                instance: upstream.instance.clone(),
            };
            let voter_status = voter_status.clone();
            tokio::spawn(async move {
                let outcome = orders::send(gateway, voter_status, upstream, order).await;
                // Fails only while the process ends, since the hub runs until then.
                let _ = inputs
                    .send(Input::Ordered(term, replica, number, outcome))
                    .await;
            });
        }
    }
}
