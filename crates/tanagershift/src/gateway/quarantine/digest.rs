//! Identity of a request that comes again under another id.

use hyper::{
    Method,
    header::{AUTHORIZATION, HOST, HeaderMap},
    http::uri::Uri,
};
use sha2::{Digest, Sha256};

use crate::{gateway::dialect::Identity, id};

/// Digest of what stays the same when a caller sends a request again: method, host, path and query,
/// the caller's account or, without accounts, credentials, and the body.
pub fn request_digest(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    identity: &Identity,
    body: &[u8],
) -> id::RequestDigest {
    let header = |name| headers.get(name).map_or(&[][..], |value| value.as_bytes());
    let host = uri.host().map_or(header(HOST), str::as_bytes);
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let caller = match identity {
        Identity::Forwarded => header(AUTHORIZATION),
        Identity::Anonymous => &[],
        Identity::Account(name) => name.as_bytes(),
    };
    let fields = [
        method.as_str().as_bytes(),
        host,
        path.as_bytes(),
        caller,
        body,
    ];
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    let hash = hash.finalize();
    let first = hash.first_chunk().copied().unwrap_or_default();
    u64::from_be_bytes(first)
}
