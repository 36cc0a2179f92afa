//! Sends the placement's orders to replicas and fetches their reports.

use std::{sync::Arc, time::Duration};

use super::{
    Gateway,
    client::{self, ApiRequest},
    connection::Error,
    dialect::{Operation, Order, OrderOutcome, Report},
    message::Upstream,
};
use crate::{admission::Origin, voter::status::SharedStatus};

/// Time limit for the answer to an order; replicas answer within a few milliseconds. An order without
/// an answer is repeated, and until then its replica gets no other.
const ORDER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time limit for the answer to a report request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends an order to a replica; returns `Fenced` without sending it if this host no longer holds the
/// leader's lease.
pub async fn send(
    gateway: Arc<Gateway>,
    voter_status: SharedStatus,
    upstream: Upstream,
    order: Order,
) -> OrderOutcome {
    let (method, path, headers, body) = gateway.dialect.encode_order(&order);
    let api_request = ApiRequest {
        method,
        path: path.to_owned(),
        headers,
        body,
        max_response_bytes: client::MAX_REPORT_BYTES,
    };
    // Checked last, since the process may have been suspended at any point before.
    if !voter_status.may_order() {
        return OrderOutcome::Fenced;
    }
    let address = &upstream.address;
    let answer = client::fetch(&gateway.pool, address, &api_request, ORDER_TIMEOUT).await;
    let outcome = match &answer {
        Ok((head, _)) => {
            let parsed_head = gateway.dialect.parse_response_head(head);
            gateway.apply_signal(&upstream, head, &parsed_head, Origin::Order);
            gateway.observe_limit(&upstream, &parsed_head);
            gateway.observe_brittle(&upstream, &parsed_head);
            gateway.dialect.order_outcome(head.status)
        }
        Err(
            Error::Connect { .. }
            | Error::Withheld
            | Error::Quarantined
            | Error::Unconfirmed
            | Error::Unauthorized,
        ) => OrderOutcome::Gone,
        Err(Error::Unsent | Error::Broken { .. }) => OrderOutcome::Unknown,
    };
    let operation = operation_label(order.operation);
    gateway
        .metrics
        .count_order(operation, outcome_label(outcome));
    log::info!(
        "event=order operation={operation} address={address} adapter={} version={} expect={} \
         epoch={} outcome={}",
        order.adapter,
        order.version.unwrap_or(0),
        order.expect,
        order.epoch,
        outcome_label(outcome),
    );
    outcome
}

/// Fetches the report of a replica; `None` if there is no valid answer.
pub async fn fetch_report(gateway: Arc<Gateway>, upstream: Upstream) -> Option<Report> {
    let address = &upstream.address;
    let api_request = ApiRequest {
        max_response_bytes: client::MAX_REPORT_BYTES,
        ..ApiRequest::get(gateway.dialect.report_path())
    };
    match client::fetch(&gateway.pool, address, &api_request, REPORT_TIMEOUT).await {
        Ok((head, body)) if head.status.is_success() => match gateway.dialect.parse_report(&body) {
            Ok(report) => {
                // Another run of the upstream may have the address now.
                if report.started_at_ms == upstream.started_at_ms {
                    let parsed_head = gateway.dialect.parse_response_head(&head);
                    gateway.apply_signal(&upstream, &head, &parsed_head, Origin::Report);
                    gateway.observe_limit(&upstream, &parsed_head);
                    gateway.observe_brittle(&upstream, &parsed_head);
                }
                Some(report)
            }
            Err(reason) => {
                log::warn!("event=report.invalid address={address} reason={reason:?}");
                None
            }
        },
        Ok((head, _)) => {
            let status = head.status;
            log::info!("event=report.refused address={address} status={status}");
            let parsed_head = gateway.dialect.parse_response_head(&head);
            gateway.apply_signal(&upstream, &head, &parsed_head, Origin::Report);
            None
        }
        Err(error) => {
            log::info!(
                "event=report.failed address={address} reason={:?}",
                error.to_string()
            );
            None
        }
    }
}

fn operation_label(operation: Operation) -> &'static str {
    match operation {
        Operation::Load => "load",
        Operation::Unload => "unload",
    }
}

fn outcome_label(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::Holds => "holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::Gone => "gone",
        OrderOutcome::Invalid => "invalid",
        OrderOutcome::Unknown => "unknown",
    }
}
