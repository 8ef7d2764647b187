//! Starts, reloads and gracefully stops a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use sablebay_config::GatewaySettings;
use sablebay_model::Micros;
use sablebay_node::{Clock, ConnectionLimits, ListenerPhase, Node, StopTimes, serve_callers};

use crate::catalogue_reader::{follow_source, install_changes};
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol, CatalogueSource};
use crate::error::GatewayError;
use crate::gatherer::GatewayGatherer;
use crate::ingress::caller_routes;
use crate::mechanisms::GatewayMechanisms;
use crate::peer_catalogue::follow_peers;
use crate::quarantine::share_quarantine;
use crate::quota::{GatewayAccounts, watch_pauses};
use crate::readiness::readiness_routes;
use crate::routing_view::RoutingView;
use crate::warm_up::warm_up;

/// How long idle connections stay open after the listener has closed.
const IDLE_GRACE: Micros = Micros::from_millis(700);

/// The least time for writing the last responses once answers are due.
const MINIMUM_WRITE_TIME: Micros = Micros::from_millis(100);

/// The bound addresses of a gateway's listeners.
#[derive(Clone, Debug, Serialize)]
pub struct GatewayAddresses {
    pub caller_address: SocketAddr,
    pub readiness_address: SocketAddr,
}

/// A running gateway. Dropping it aborts its tasks; [`Gateway::stop`] stops it gracefully.
pub struct Gateway {
    pub addresses: GatewayAddresses,
    settings: GatewaySettings,
    mechanisms: GatewayMechanisms,
    clock: Clock,
    reload: Reload,
    /// How requests ended in the planned stop, for the log.
    summary: Box<dyn Fn() -> String + Send + Sync>,
    tasks: Vec<JoinHandle<()>>,
    callers: Option<JoinHandle<()>>,
    phase: watch::Sender<ListenerPhase>,
    /// Never changes, so that readiness is answered until the process exits.
    _always_open: watch::Sender<ListenerPhase>,
}

/// Applies changed settings and seed addresses.
type Reload = Box<dyn Fn(GatewaySettings, &[SocketAddr]) + Send + Sync>;

impl Drop for Gateway {
    fn drop(&mut self) {
        for task in self.tasks.iter().chain(&self.callers) {
            task.abort();
        }
    }
}

async fn listen(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<(TcpListener, SocketAddr), GatewayError> {
    let fail = |source| GatewayError::Listen { address, purpose, source };
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    let bound = listener.local_addr().map_err(fail)?;
    Ok((listener, bound))
}

/// The limits for callers' connections under the current configuration.
fn connection_limits(view: &RoutingView) -> ConnectionLimits {
    let configured = view.routes.as_ref().map(|routes| routes.configuration().limits);
    let limits = configured.unwrap_or_default();
    ConnectionLimits {
        head_timeout: Duration::from_millis(limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
        head_bytes: limits.header_bytes,
    }
}

impl Gateway {
    /// Starts a gateway within a node.
    ///
    /// # Errors
    /// If a listener cannot be bound.
    pub async fn start<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
        node: &Node,
        settings: GatewaySettings,
        callers: C,
        back_ends: B,
        source: S,
        mechanisms: GatewayMechanisms,
    ) -> Result<Gateway, GatewayError> {
        let (caller_listener, caller_address) =
            listen(settings.caller_address, "callers of the gateway").await?;
        let (readiness_listener, readiness_address) = listen(settings.readiness_address, "readiness").await?;
        let context =
            Arc::new(Context::new(node.shared.clone(), callers, back_ends, settings.clone(), mechanisms));
        let gatherer = Arc::new(GatewayGatherer::new(&context));
        if node.shared.gatherer.set(gatherer).is_err() {
            log::warn!("gateway: another gateway of this node is already registered as gatherer for peers.");
        }
        if node.shared.account_owner.set(Arc::new(GatewayAccounts::new(&context))).is_err() {
            log::warn!("gateway: another gateway of this node already owns quota accounts.");
        }
        let traffic = node.shared.peers.traffic();
        node.shared.metrics.extend(|registry| {
            context.metrics.register(registry);
            context.node.callers.register(registry);
            traffic.register(registry);
        });
        let started_at = context.clock().now();
        context.node.catalogue.update(|view| {
            view.begin_catch_up(started_at);
            false
        });
        let (phase, phases) = watch::channel(ListenerPhase::Open);
        let (_always_open, always_open) = watch::channel(ListenerPhase::Open);
        let tasks = vec![
            tokio::spawn(follow_source(context.clone(), Arc::new(source))),
            tokio::spawn(follow_peers(context.clone())),
            tokio::spawn(install_changes(context.clone())),
            tokio::spawn(warm_up(context.clone())),
            tokio::spawn(share_quarantine(context.clone())),
            tokio::spawn(watch_pauses(context.clone())),
            tokio::spawn(serve_callers(
                readiness_listener,
                readiness_routes(context.clone()),
                always_open,
                ConnectionLimits::default,
                node.shared.resources.for_operators(),
            )),
        ];
        let reloaded = context.clone();
        let reload = Box::new(move |settings, seeds: &[SocketAddr]| {
            reloaded.settings.store(Arc::new(settings));
            reloaded.fleet.lock().census.replace_seeds(seeds.iter().copied());
        });
        let summarized = context.clone();
        let summary = Box::new(move || summarized.metrics.stop_summary());
        let limiting = context.clone();
        let limits = move || connection_limits(&limiting.view.load());
        let resources = node.shared.resources.clone();
        let callers =
            tokio::spawn(serve_callers(caller_listener, caller_routes(context), phases, limits, resources));
        log::info!("gateway: listens for callers on {caller_address}, for readiness on {readiness_address}.");
        let addresses = GatewayAddresses { caller_address, readiness_address };
        Ok(Gateway {
            addresses,
            settings,
            mechanisms,
            clock: node.shared.clock,
            reload,
            summary,
            tasks,
            callers: Some(callers),
            phase,
            _always_open,
        })
    }

    /// Applies changed settings: budgets and margins immediately, addresses at the next start.
    pub fn reload(&self, settings: GatewaySettings, seeds: &[SocketAddr]) {
        (self.reload)(settings, seeds);
    }

    /// Stops the gateway, except for responses that are still being written when answers are due. The planned stop of
    /// the node must have begun, so that readiness fails and every response carries `Connection: close`. New
    /// connections are accepted during the linger period, then the listener closes, requests in flight end and idle
    /// connections are closed.
    pub async fn stop(mut self, times: StopTimes) -> ClosingGateway {
        if !self.mechanisms.planned_stop {
            self.callers.iter().for_each(JoinHandle::abort);
            return ClosingGateway { gateway: self, times };
        }
        let linger = Micros::from_millis(self.settings.stop_linger_ms);
        let closed_at = self.clock.now().plus(linger).min(times.answer_by);
        let ended_at = closed_at.plus(IDLE_GRACE).min(times.answer_by);
        tokio::time::sleep_until(self.clock.instant(closed_at)).await;
        for (phase, until) in [(ListenerPhase::Closed, ended_at), (ListenerPhase::Ended, times.answer_by)] {
            self.phase.send_replace(phase);
            if self.callers_ended(until).await {
                break;
            }
        }
        ClosingGateway { gateway: self, times }
    }

    /// Waits until all connections of callers have ended. Returns `false` if some are still open at `until`.
    async fn callers_ended(&mut self, until: Micros) -> bool {
        let Some(callers) = self.callers.as_mut() else {
            return true;
        };
        let ended = tokio::time::timeout_at(self.clock.instant(until), callers).await.is_ok();
        if ended {
            self.callers = None;
        }
        ended
    }
}

/// A gateway whose remaining connections are writing their last responses.
pub struct ClosingGateway {
    gateway: Gateway,
    times: StopTimes,
}

impl ClosingGateway {
    /// Waits until the last responses are written, at most until the end of the stop. Returns `false` if connections
    /// were cut.
    pub async fn close(mut self) -> bool {
        // A process that was suspended past the end of the stop still writes what it has.
        let until = self.times.end_at.max(self.gateway.clock.now().plus(MINIMUM_WRITE_TIME));
        let finished = self.gateway.mechanisms.planned_stop && self.gateway.callers_ended(until).await;
        if !finished {
            log::warn!("stop: requests were still in flight at the end of the time allowed.");
        }
        log::info!(
            "stop: the gateway has stopped; requests limited by the stop: {}.",
            (self.gateway.summary)()
        );
        finished
    }
}
