//! Counts requests against the quotas of client accounts.

use std::time::Duration;

use tokio::time::Instant;

use super::LeaderState;
use crate::{
    clock,
    gateway::{
        configuration::Configuration,
        message::{Ask, Grant, Tally},
        quarantine::Ruling,
    },
    link::Responder,
    wire::Body,
};

/// Why a request over its account's quota is refused.
const REASON: &str = "the account has used its quota";

/// What a request that has not been sent has spent.
#[derive(Debug)]
pub(super) struct Payment {
    account: String,
    cost: u64,
}

impl LeaderState {
    pub(super) fn configure_quotas(&mut self, configuration: &Configuration, now: Instant) {
        let accounts = configuration.accounts.iter().map(AsRef::as_ref);
        self.quotas.configure(accounts, clock::corrected(now));
    }

    /// Records the time that a gateway gives.
    pub(super) fn record_gift(&mut self, tally: &Tally, now: Instant) {
        if let Some(gift) = &tally.gift {
            let (interval, now) = (self.notice_interval(), clock::corrected(now));
            self.quotas
                .record_gift(&tally.host, tally.session, gift, interval, now);
        }
    }

    /// The part of every quota that gateways are told; zero while nothing has a quota.
    pub(super) fn quota_part(&mut self, now: Instant) -> f64 {
        match self.quotas.is_empty() {
            true => 0.0,
            false => self.quotas.part_to_tell(clock::corrected(now)),
        }
    }

    /// Counts a request against its account's quota and handles it, or refuses it. `leads` says whether
    /// no other leader can count requests now; else the gateway must ask again.
    pub(super) fn admit(&mut self, ask: Ask, leads: bool, responder: Responder, now: Instant) {
        let is_counted = ask.cost > 0 && !ask.is_counted && !self.quotas.is_empty();
        if is_counted && !leads {
            return;
        }
        let payment = is_counted.then(|| Payment {
            account: ask.account.clone(),
            cost: ask.cost,
        });
        if let Some(payment) = &payment
            && let Err(refusal) =
                self.quotas
                    .try_spend(&payment.account, payment.cost, clock::corrected(now))
        {
            if !self.quotas.has_heard_all(clock::corrected(now)) {
                // The gateway asks again with the next notice.
                return;
            }
            if refusal.is_logged {
                log::info!(
                    "event=quota.refuse request={} account={} cost={} level={:.0} per_second={:.0} \
                     burst={:.0} spent={:.0} refused={} retry_after_ms={}",
                    ask.request,
                    ask.account,
                    ask.cost,
                    refusal.level,
                    refusal.quota.per_second,
                    refusal.quota.burst,
                    refusal.usage.spent,
                    refusal.usage.refused,
                    refusal.retry_after.as_millis()
                );
            }
            return refuse(responder, refusal.retry_after);
        }
        if !ask.model.is_empty() || ask.is_bounded {
            return self.queue_request(ask, payment, responder, now);
        }
        let ruling = self.ledger.ruling(&ask.keys(), now);
        match (ruling, payment) {
            (Ruling::Free, Some(_)) => responder.finish_now(Body::Grant(Grant {
                is_unassigned: true,
                ..Grant::default()
            })),
            (Ruling::Free | Ruling::Trial, _) => self.rule_on_unassigned(&ask, responder, now),
            (Ruling::Wait | Ruling::Barred, payment) => {
                self.give_back(payment, now);
                self.rule_on_unassigned(&ask, responder, now);
            }
        }
    }

    /// Gives back what was spent on a request that is not sent.
    pub(super) fn give_back(&mut self, payment: Option<Payment>, now: Instant) {
        if let Some(Payment { account, cost }) = payment {
            self.quotas.give_back(&account, cost, clock::corrected(now));
        }
    }
}

fn refuse(responder: Responder, retry_after: Duration) {
    responder.finish_now(Body::Grant(Grant {
        retry_after_ms: retry_after.as_millis() as u64,
        reason: REASON.to_owned(),
        is_over_quota: true,
        ..Grant::default()
    }));
}
