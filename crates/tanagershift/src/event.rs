//! Numbered log events; `docs/EVENTS.md` is their catalogue.

use log::Level;

/// One kind of event that an operator may look up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number in the catalogue, never given to another event.
    pub code: u16,
    /// Severity in the log.
    pub level: Level,
}

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $level:ident;)*) => {
        $($(#[$doc])* pub const $name: Event = Event { code: $code, level: Level::$level };)*

        /// Every event, in order of its number.
        pub const ALL: &[(&str, Event)] = &[$((stringify!($name), $name)),*];
    };
}

events! {
    /// The daemon started.
    STARTED = 101, Info;
    /// The daemon was asked to shut down.
    DRAINING = 102, Info;
    /// The daemon ended after finishing its requests.
    STOPPED = 103, Info;
    /// A drain ended at its limit with requests still open.
    DRAIN_TIMEOUT = 104, Warn;
    /// A listener could not accept a connection.
    ACCEPT_FAILED = 105, Warn;
    /// This voter became the leader.
    LEADER = 201, Info;
    /// This voter stopped being the leader.
    LEADER_LOST = 202, Warn;
    /// A record at the end of the log was incomplete and was cut off.
    TAIL_CUT = 203, Warn;
    /// A snapshot was written and the log shortened.
    SNAPSHOT = 204, Info;
    /// The state of a leader replaced this voter's own.
    SNAPSHOT_INSTALLED = 205, Info;
    /// The voter's storage failed and the voter stops.
    STORAGE_FAILED = 206, Error;
    /// The membership of the group changed.
    MEMBERS = 207, Info;
    /// The data folder was assigned to a group.
    FORMATTED = 208, Info;
    /// The damaged data folder of a voter was emptied.
    ERASED = 209, Warn;
    /// This host started a group.
    FOUNDED = 210, Info;
    /// A change set was accepted.
    ACCEPTED = 301, Info;
    /// A change set was refused.
    REFUSED = 302, Warn;
    /// A revision came into force on this host.
    IN_FORCE = 303, Info;
    /// A replica was assigned to a holder.
    ASSIGNED = 401, Info;
    /// This host's lease on a replica began.
    LEASE_BEGUN = 402, Info;
    /// This host's lease on a replica ended.
    LEASE_ENDED = 403, Warn;
    /// An engine could not load an adapter.
    LOAD_FAILED = 404, Warn;
    /// An engine answered under another model name or request id.
    MISMATCH = 405, Error;
    /// An engine refused an order for its fencing number.
    FENCED = 406, Warn;
    /// An engine lost its adapters; it restarted.
    ENGINE_RESTARTED = 407, Warn;
    /// The platform's list could not be read.
    LIST_FAILED = 501, Warn;
    /// An upstream is leaving.
    UPSTREAM_LEAVING = 502, Info;
    /// An upstream announced in an answer that it leaves.
    UPSTREAM_ANNOUNCED = 503, Info;
    /// An upstream asked this host for a pause.
    UPSTREAM_PAUSED = 504, Info;
    /// A `Retry-After` of an upstream is not used as it was sent.
    RETRY_AFTER_INVALID = 505, Warn;
    /// A request was not sent to a selected upstream that leaves or has asked for a pause.
    SEND_WITHHELD = 506, Info;
    /// A part of a prompt is suspected to crash replicas.
    PART_SUSPECTED = 507, Warn;
    /// A part of a prompt crashes replicas; its requests are rejected.
    PART_CONVICTED = 508, Error;
    /// A sound answer cleared a suspected part of a prompt.
    PART_CLEARED = 509, Info;
    /// An upstream named a limit on its requests a second.
    LIMIT_NAMED = 510, Info;
    /// An upstream names no limit any more.
    LIMIT_ENDED = 511, Info;
    /// A request is suspected to crash replicas.
    REQUEST_SUSPECTED = 512, Warn;
    /// A request crashes replicas; it is rejected when it comes again.
    REQUEST_CONVICTED = 513, Error;
    /// A sound answer cleared a suspected request.
    REQUEST_CLEARED = 514, Info;
    /// An upstream says that it is brittle.
    BRITTLE_NAMED = 515, Info;
    /// An upstream says no more that it is brittle.
    BRITTLE_ENDED = 516, Info;
    /// A leader continues from what an earlier one found out about the weight store.
    STORE_RESUMED = 530, Info;
    /// A leader may send orders to replicas again.
    ORDERS_RESUMED = 531, Info;
    /// Bodies of callers were refused for want of memory.
    MEMORY_SHORT = 540, Warn;
    /// Connections of callers were closed for others.
    CONNECTIONS_SHORT = 541, Warn;
    /// A gateway takes notices more slowly than they come.
    GATEWAY_BEHIND = 550, Info;
    /// A gateway that was behind is sent the whole state.
    GATEWAY_CAUGHT_UP = 551, Info;
    /// A connection between hosts was refused.
    PEER_REFUSED = 601, Warn;
    /// A connection between hosts ended by an invalid frame.
    FRAME_INVALID = 602, Warn;
    /// A frame for an ended stream was dropped.
    FRAME_DROPPED = 603, Debug;
    /// A peer answers nothing on an open connection.
    LINK_SILENT = 604, Warn;
}

/// Writes an event with its number to the log.
#[macro_export]
macro_rules! emit {
    ($event:ident, $($text:tt)+) => {{
        let event = $crate::event::$event;
        log::log!(event.level, "TS{:04} {}", event.code, format_args!($($text)+))
    }};
}
