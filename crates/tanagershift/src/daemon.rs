//! One host's duties, started together and shut down without cutting off a request.

use std::{io, sync::Arc, time::Duration};

use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use crate::{
    admin, emit,
    entry::server::Entry,
    follower,
    host::Host,
    ini,
    link::{self, Greeting, Pool, Responder},
    metrics::Metrics,
    platform::{self, List},
    settings::Settings,
    voter::driver::{self, Handle},
    wire::{Body, Failure, Redirect},
};

/// Time between two looks at what a shutdown waits for.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Why the daemon ended or could not start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The settings are wrong.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Where and why.
        source: ini::Error,
    },
    /// An address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// The system's error.
        source: io::Error,
    },
    /// The duty of a voter failed.
    #[snafu(display("{source}"), context(false))]
    Voter {
        /// The failure.
        source: driver::Error,
    },
}

/// A running host.
pub struct Daemon {
    host: Arc<Host>,
    voter: Option<Handle>,
    /// Ends only when the voter's files fail.
    failed: Option<JoinHandle<driver::Error>>,
    stop: watch::Sender<bool>,
}

pub(crate) async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu {
        address: address.to_string(),
    })
}

impl Daemon {
    /// Starts every duty that the settings name.
    ///
    /// # Errors
    ///
    /// An address or the data folder cannot be used.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let session = rand::random::<u64>() | 1;
        let greeting = Greeting {
            host: settings.host.name.clone(),
            token: settings.token()?,
        };
        let pool = Pool::new(greeting.clone());
        let (list, watched) = watch::channel(List::default());
        let peers = listen(settings.host.listen_peer.unwrap_or(settings.host.peer)).await?;
        let admin = listen(settings.host.admin).await?;
        let callers = match settings.entry.listen {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let platform = settings.platform.clone();
        tokio::spawn(platform::poll(platform.list, platform.interval, list));
        let (voter, failed) = start_voter(&settings, &pool, &watched, session)?.unzip();
        let metrics = Metrics::default();
        let host = Arc::new(Host::new(settings, session, pool, watched, metrics));
        tokio::spawn(follower::beat(host.clone()));
        tokio::spawn(follower::follow(host.clone()));
        tokio::spawn(admin::serve(admin, host.clone()));
        let takes = Peers {
            host: host.clone(),
            voter: voter.clone(),
        };
        let handle = move |body, responder| takes.take(body, responder);
        tokio::spawn(link::serve(peers, greeting, handle, None));
        let stop = watch::Sender::new(false);
        if let Some(listener) = callers {
            let entry = Arc::new(Entry::new(host.clone()));
            tokio::spawn(entry.serve(listener, stop.subscribe()));
        }
        emit!(
            STARTED,
            "host {}, session {session:016x}",
            host.settings.host.name
        );
        Ok(Self {
            host,
            voter,
            failed,
            stop,
        })
    }

    /// Waits until the duty of a voter fails; for ever, if it does not.
    pub async fn failed(&mut self) -> Error {
        match &mut self.failed {
            Some(failed) => match failed.await {
                Ok(source) => Error::Voter { source },
                Err(_) => std::future::pending().await,
            },
            None => std::future::pending().await,
        }
    }

    /// Shuts down: no request is cut off unless the limit of the drain passes.
    pub async fn shutdown(&self) {
        let config = &self.host.settings.host;
        emit!(DRAINING, "host {}", config.name);
        let began = Instant::now();
        self.host.drain();
        sleep(config.balancer).await;
        self.stop.send_replace(true);
        let left = config.drain.saturating_sub(began.elapsed());
        let done = async {
            while !self.is_quiet() {
                sleep(DRAIN_LOOK).await;
            }
        };
        if timeout(left, done).await.is_err() {
            let open = self.host.metrics.open_requests();
            emit!(
                DRAIN_TIMEOUT,
                "{open} requests open, {} replicas",
                self.host.holder.replica_count()
            );
        }
        if let Some(voter) = &self.voter {
            voter.transfer_leadership().await;
            // The message that names the new leader is still on its way out.
            sleep(DRAIN_LOOK).await;
        }
        emit!(STOPPED, "host {}", config.name);
    }

    /// Whether no request is open and every replica was given back.
    fn is_quiet(&self) -> bool {
        self.host.metrics.open_requests() == 0 && self.host.holder.replica_count() == 0
    }
}

type Voting = (Handle, JoinHandle<driver::Error>);

fn start_voter(
    settings: &Settings,
    pool: &Pool,
    list: &watch::Receiver<List>,
    seed: u64,
) -> Result<Option<Voting>, Error> {
    let Some(voter) = &settings.voter else {
        return Ok(None);
    };
    let config = driver::Config {
        host: settings.host.name.clone(),
        address: settings.host.peer.to_string(),
        data: voter.data.clone(),
        times: settings.group.times.clone(),
        lease: settings.group.lease.clone(),
        store: settings.store.clone(),
        snapshot_every: voter.snapshot_every,
        seed,
        leader_orders: false,
        reopen: false,
    };
    let (handle, run) = driver::start(config, pool.clone(), list.clone())?;
    Ok(Some((handle, tokio::spawn(run))))
}

/// What other hosts may ask of this one.
#[derive(Clone)]
struct Peers {
    host: Arc<Host>,
    voter: Option<Handle>,
}

impl Peers {
    fn take(&self, body: Body, responder: Responder) {
        match body {
            Body::Serve(serve) => self.host.holder.serve(serve, responder),
            Body::Hello(_)
            | Body::Outcome(_)
            | Body::Update(_)
            | Body::Lease(_)
            | Body::Permitted(_)
            | Body::Head(_)
            | Body::Chunk(_)
            | Body::End(_)
            | Body::Failed(_)
            | Body::Cancel(_)
            | Body::Probe(_)
            | Body::Redirect(_)
            | Body::Report(_)
            | Body::Watch(_)
            | Body::Notice(_)
            | Body::Tally(_)
            | Body::Ask(_)
            | Body::Grant(_)
            | Body::Error(_) => responder.finish_now(Body::Error(Failure {
                reason: "not a question".to_owned(),
            })),
            question => match &self.voter {
                Some(voter) => voter.deliver(question, responder),
                None => responder.finish_now(Body::Redirect(Redirect {
                    address: self
                        .host
                        .leader
                        .current()
                        .borrow()
                        .clone()
                        .unwrap_or_default(),
                })),
            },
        }
    }
}
