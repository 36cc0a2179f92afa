//! Decides whether the end of an answer that neither a length nor chunks frame is that of the whole
//! answer.
//!
//! Such an answer ends with its connection. A connection also ends in order if a process on the way is
//! killed, and then the answer has broken off.

use super::exchange::UpstreamResponse;

/// Why an answer that has ended may not be whole.
const UNNAMED_END_REASON: &str = "the helper cannot tell how the upstream ended the answer";

/// Checks that an answer whose body has ended has come whole.
///
/// # Errors
///
/// It may have broken off; the error says why.
pub fn confirm_whole(response: &UpstreamResponse) -> Result<(), &'static str> {
    if response.ends_with_connection() && !response.connection.names_end() {
        return Err(UNNAMED_END_REASON);
    }
    Ok(())
}
