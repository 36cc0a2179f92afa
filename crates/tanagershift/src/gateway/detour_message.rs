//! Messages by which hosts connect to upstreams through one another.

use prost::Message;

/// A host that passes on connections of another one to upstreams.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Helper {
    /// Name of the host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its peer address.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Asks a host to connect to an upstream and to pass bytes on from then on.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Tunnel {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its address in the list.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Whether the opener reads the upstream's bytes in frames.
    #[prost(bool, tag = "3")]
    pub reads_frames: bool,
}

/// Answer to a [`Tunnel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum TunnelOutcome {
    /// The host cannot help: it is cut off itself, shuts down, carries too much, or does not know the
    /// upstream as one that takes requests.
    Unable = 0,
    /// Whatever follows on the connection is passed on, without frames.
    Open = 1,
    /// The upstream accepts no connection from this host either.
    Unreachable = 2,
    /// Whatever the opener sends is passed on, and the upstream's bytes follow in frames. Only for an
    /// opener that reads them.
    OpenFramed = 3,
}

/// Whether a gateway can help others to reach upstreams.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ReachReport {
    /// Whether the host is cut off from the upstreams.
    #[prost(bool, tag = "1")]
    pub is_cut_off: bool,
    /// Whether the host is shutting down.
    #[prost(bool, tag = "2")]
    pub is_draining: bool,
}
