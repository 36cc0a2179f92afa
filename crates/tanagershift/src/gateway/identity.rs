//! Who a caller is, when a request comes and again whenever it is about to be sent.

use hyper::StatusCode;

use super::{
    Gateway,
    account::{self, Caller, Refusal},
    configuration::{Configuration, Route},
    exchange::Job,
    forward::{ROUTES_STALE_AFTER, Rejection},
};

/// Finds out who a caller is.
///
/// # Errors
///
/// The caller needs an account and has none. If the configuration is not known to be the newest, the
/// request may be sent again later.
pub fn identify(
    configuration: &Configuration,
    route: &Route,
    key: Option<account::Key>,
    is_current: bool,
) -> Result<Caller, Rejection> {
    let caller = configuration.accounts.identify(key, route.allows_anonymous);
    caller.map_err(|refusal| match (refusal, is_current) {
        (Refusal::Unknown(_), false) => {
            Rejection::retry_later(format!("{refusal}, and the configuration may be outdated"))
        }
        _ => Rejection::new(StatusCode::UNAUTHORIZED, refusal.to_string()),
    })
}

/// Looks a caller up again, since the configuration may have changed while the request waited.
///
/// # Errors
///
/// As [`identify`].
pub fn check_caller(gateway: &Gateway, job: &Job) -> Result<(), Rejection> {
    let is_current = gateway.heard_leader_within(ROUTES_STALE_AFTER);
    match gateway.view().configuration.clone() {
        Some(newest) => identify(&newest, &job.route, job.head.key, is_current).map(drop),
        None => Ok(()),
    }
}

/// Who sent a request, by the configuration in force. A key may have been taken away, or given to another
/// account, since the request came; a stream that runs goes on all the same.
pub fn current_caller(
    gateway: &Gateway,
    job: &Job,
    resume_after: Option<u64>,
) -> Result<Caller, Refusal> {
    let newest = gateway.view().configuration.clone();
    match newest.filter(|_| resume_after.is_none()) {
        // Credentials that named an account go to no upstream.
        Some(newest) if newest.accounts.is_empty() => Ok(job.caller.clone()),
        Some(newest) => newest
            .accounts
            .identify(job.head.key, job.route.allows_anonymous),
        None => Ok(job.caller.clone()),
    }
}
