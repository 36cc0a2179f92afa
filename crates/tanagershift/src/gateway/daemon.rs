//! Process of a host that runs a gateway: starts all of its tasks, and shuts down without cutting
//! off requests.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout_at},
};

use super::{
    Gateway, background::BackgroundTasks, budget, callers, control::Control, dialect::Dialect, hub,
    server, settings::Config, tunnel,
};
use crate::{
    daemon::{Error, listen},
    follower::Leader,
    link::{self, Greeting, Pool, Responder},
    platform::List,
    settings::Settings,
    voter::{
        driver,
        membership::{self, JoinConfig},
    },
    wire::{Body, Redirect},
};

/// Time between two checks whether the open requests have ended during a shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the end of the grace period at which the process stops waiting for upstreams.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Longest time for the last answers to be written then.
const WRITE_TIMEOUT: Duration = Duration::from_millis(150);

/// Requests of other hosts to pass on connections that may wait to be handled.
const TUNNEL_REQUESTS: usize = 64;

/// A running host with a gateway.
#[derive(Debug)]
pub struct Daemon {
    gateway: Arc<Gateway>,
    leader: Leader,
    voter: Option<driver::Handle>,
    stop: watch::Sender<bool>,
    /// Time during which the host still accepts connections after it has stopped reporting ready,
    /// so that the balancer can notice.
    balancer_delay: Duration,
    /// Maximum duration of a graceful shutdown.
    grace_period: Duration,
}

impl Daemon {
    /// Starts the gateway and, if the settings have a `[voter]` section, the voter and the hub.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound, or if the token file or the data folder cannot be used.
    pub async fn start(
        settings: Settings,
        config: Config,
        dialect: Arc<dyn Dialect>,
    ) -> Result<Self, Error> {
        // The lowest bit is set so that a session is never zero.
        let session = rand::random::<u64>() | 1;
        let host = settings.host.name.clone();
        let greeting = Greeting {
            host: host.clone(),
            token: settings.token()?,
        };
        let peer_listener = listen(settings.host.listen_peer.unwrap_or(settings.host.peer)).await?;
        let admin_listener = listen(settings.host.admin).await?;
        let caller_listener = listen(config.caller_address).await?;
        let ready_listener = listen(config.ready_address).await?;
        let control_listener = listen(config.control_address).await?;
        let pool = Pool::new(greeting.clone());
        let seeds = seeds(&settings);
        let addresses = seeds.iter().map(SocketAddr::to_string).collect();
        let leader = Leader::new(pool.clone(), addresses);
        let mut gateway = Gateway::new(
            host.clone(),
            settings.host.zone.clone(),
            session,
            dialect,
            leader.clone(),
            config.budget.clone(),
            config.version_bound,
        );
        gateway.pool.source = config.upstream_source;
        gateway.order_silence = config.lease;
        let (memory, descriptors) = (settings.host.memory, settings.host.descriptors);
        gateway.memory = budget::Shared::new(budget::share_of(memory));
        let most_callers = callers::most_connections(descriptors, memory);
        gateway.callers = callers::Shared::new(most_callers);
        let gateway = Arc::new(gateway);
        let voter = start_voter(&settings, &pool, &leader, seeds)?;
        let hub = voter.as_ref().map(|voter| {
            let status = voter.status().clone();
            hub::start(gateway.clone(), voter.clone(), status, config.clone())
        });
        let peer_handler = PeerHandler {
            host,
            leader: leader.clone(),
            voter: voter.clone(),
            hub,
        };
        let handle = move |body, responder| peer_handler.handle(body, responder);
        let (tunnels, tunnel_requests) = mpsc::channel(TUNNEL_REQUESTS);
        tokio::spawn(link::serve(peer_listener, greeting, handle, Some(tunnels)));
        tokio::spawn(tunnel::serve(gateway.clone(), tunnel_requests));
        tokio::spawn(server::serve_metrics(gateway.clone(), admin_listener));
        let address = settings.host.peer.to_string();
        start_background_tasks(&gateway, &config, address);
        let control = Control {
            gateway: gateway.clone(),
            leader: leader.clone(),
        };
        tokio::spawn(control.serve(control_listener));
        tokio::spawn(server::serve_probe(gateway.clone(), ready_listener));
        let stop = watch::Sender::new(false);
        tokio::spawn(server::serve(
            gateway.clone(),
            caller_listener,
            stop.subscribe(),
        ));
        log::info!(
            "event=start host={} zone={} session={session:016x} voter={}",
            gateway.host,
            gateway.zone,
            voter.is_some()
        );
        Ok(Self {
            gateway,
            leader,
            voter,
            stop,
            balancer_delay: settings.host.balancer,
            grace_period: settings.host.drain,
        })
    }

    /// Applies changed settings. Only the seeds can change while the host is running.
    pub fn reload(&self, settings: &Settings) {
        let seeds: Vec<String> = seeds(settings).iter().map(SocketAddr::to_string).collect();
        if self.leader.reseed(seeds.clone()) {
            log::info!("event=reload seeds={}", seeds.join(","));
        }
    }

    /// Sets the metric for the number of log lines that have been dropped since the start.
    pub fn set_dropped_lines(&self, lines: usize) {
        let lines = i64::try_from(lines).unwrap_or(i64::MAX);
        self.gateway.metrics.dropped_lines.set(lines);
    }

    /// Shuts down gracefully: reports not ready, hands over leadership, and waits for the open
    /// requests to end and for callers to read their answers. At the end of the grace period requests
    /// whose answers have not begun are answered; only streams and callers that read slowly are cut
    /// off.
    pub async fn shutdown(&self) {
        let started = Instant::now();
        log::info!("event=drain open={}", self.gateway.metrics.open.get());
        let answer_until = started + self.grace_period.saturating_sub(GRACE_MARGIN);
        self.gateway.answer_until.send_replace(Some(answer_until));
        self.gateway.draining.send_replace(true);
        if let Some(voter) = &self.voter {
            voter.transfer_leadership().await;
        }
        sleep(self.balancer_delay).await;
        self.stop.send_replace(true);
        let metrics = &self.gateway.metrics;
        let drained = async {
            while metrics.open.get() > 0
                || metrics.caller_connections.get() > 0
                || metrics.open_tunnels.get() > 0
            {
                sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        let finished = timeout_at(answer_until + WRITE_TIMEOUT, drained).await;
        log::info!(
            "event=stop open={} finished={} took_ms={}",
            self.gateway.metrics.open.get(),
            finished.is_ok(),
            started.elapsed().as_millis()
        );
    }
}

/// Returns the peer addresses of the seeds. Only the IP addresses of the settings are used; the
/// port is that of this host's own peer address.
fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let port = settings.host.peer.port();
    let seeds = settings.group.seeds.iter();
    seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

fn start_background_tasks(gateway: &Arc<Gateway>, config: &Config, address: String) {
    let tasks = BackgroundTasks::new(gateway.clone(), config.clone(), address);
    tokio::spawn(tasks.clone().watch_leader());
    tokio::spawn(tasks.clone().send_tallies());
    tokio::spawn(tasks.clone().read_list_without_leader());
    tokio::spawn(tasks.sweep_idle_connections());
    tokio::spawn(gateway.clone().watch_silence());
    tokio::spawn(gateway.clone().probe_links());
}

/// Starts the voter if the settings have a `[voter]` section.
fn start_voter(
    settings: &Settings,
    pool: &Pool,
    leader: &Leader,
    seeds: Vec<SocketAddr>,
) -> Result<Option<driver::Handle>, Error> {
    let Some(voter) = &settings.voter else {
        return Ok(None);
    };
    let mut times = settings.group.times.clone();
    // A majority must remain after the loss of `tolerance` voters.
    times.min_voters = 2 * settings.group.tolerance + 1;
    let config = driver::Config {
        host: settings.host.name.clone(),
        address: settings.host.peer.to_string(),
        data: voter.data.clone(),
        times: times.clone(),
        lease: settings.group.lease.clone(),
        store: settings.store.clone(),
        snapshot_every: voter.snapshot_every,
        seed: rand::random(),
        leader_orders: true,
        reopen: true,
    };
    // The voter's own list stays empty: on a host with a gateway, the hub reads the platform's
    // list.
    let (_, list) = watch::channel(List::default());
    let (handle, run) = driver::start(config, pool.clone(), list)?;
    tokio::spawn(run);
    let join_config = JoinConfig {
        host: settings.host.name.clone(),
        address: settings.host.peer,
        seeds,
        bootstrap: settings.group.bootstrap,
        election_timeout: times.election_timeout,
    };
    tokio::spawn(membership::keep_membership(
        join_config,
        handle.clone(),
        leader.clone(),
    ));
    tokio::spawn(membership::announce_leader(handle.clone(), leader.clone()));
    Ok(Some(handle))
}

/// Handles messages from other hosts.
#[derive(Clone)]
struct PeerHandler {
    host: String,
    leader: Leader,
    voter: Option<driver::Handle>,
    hub: Option<hub::Handle>,
}

impl PeerHandler {
    fn handle(&self, body: Body, responder: Responder) {
        match body {
            Body::Watch(watch) => match &self.hub {
                Some(hub) if self.is_leader() => hub.submit(hub::Input::Watch(watch, responder)),
                _ => self.redirect(responder),
            },
            Body::Ask(ask) => match &self.hub {
                Some(hub) if self.is_leader() => hub.submit(hub::Input::Ask(ask, responder)),
                _ => self.redirect(responder),
            },
            Body::Tally(tally) => {
                if let Some(hub) = &self.hub {
                    hub.submit(hub::Input::Tally(tally));
                }
            }
            // Another host tells this one the address of the leader.
            Body::Redirect(redirect) if !redirect.address.is_empty() => {
                self.leader.hint(redirect.address);
            }
            Body::Query(query) if query.kind == "identity" && self.voter.is_none() => {
                responder.finish_now(Body::Report(membership::absent_identity_report(&self.host)));
            }
            request => match &self.voter {
                Some(voter) => voter.deliver(request, responder),
                None => self.redirect(responder),
            },
        }
    }

    fn is_leader(&self) -> bool {
        let voter = self.voter.as_ref();
        voter.is_some_and(|voter| voter.status().current().leading_term.is_some())
    }

    /// Answers with the address of the leader, as far as this host knows it.
    fn redirect(&self, responder: Responder) {
        let voter = self.voter.as_ref();
        let known = voter.map(|voter| voter.status().current().leader);
        let last_known = || self.leader.known();
        let address = known
            .filter(|known| !known.is_empty())
            .unwrap_or_else(last_known);
        responder.finish_now(Body::Redirect(Redirect { address }));
    }
}
