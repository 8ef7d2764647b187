//! Keeps the catalogue up to date from its source: reads it whole, then waits for changes. What
//! comes in any way is taken into use here.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;

use sablebay_catalogue::{CatalogueView, RoutableReplica, ServiceName};
use sablebay_model::Micros;

use crate::context::{Context, RoutingView};
use crate::edge::{BackendProtocol, CallerProtocol, CatalogueNews, CatalogueSource, SourceError};

/// How long one wait for changes lasts. A change that a wait has missed is learnt from peers
/// meanwhile, so that it may be long; waits are priced.
const WATCH_WAIT: Duration = Duration::from_secs(6);
/// Changes come in groups: how long after some the next wait begins.
const GROUP_PAUSE: Duration = Duration::from_millis(250);
/// Bounds of the pause after a failure.
const FAILURE_PAUSE: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(700));

/// Follows the source until the node ends.
pub async fn follow_source<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: Arc<Context<C, B>>,
    source: Arc<S>,
) {
    let mut position: Option<u64> = None;
    let mut failures = 0;
    loop {
        let asked_at = context.clock().now();
        let outcome = match position {
            None => read_all(&context, &*source, asked_at).await.map(|at| (at, true)),
            Some(after) => read_changes(&context, &*source, after, asked_at).await,
        };
        match outcome {
            Ok((at, changed)) => {
                note_success(&context, position.is_none() || failures > 0);
                position = Some(at);
                failures = 0;
                if changed {
                    tokio::time::sleep(GROUP_PAUSE).await;
                }
            }
            Err(error) => {
                note_failure(&context, error, failures);
                if matches!(error, SourceError::HistoryLost | SourceError::Malformed) {
                    position = None;
                }
                tokio::time::sleep(failure_pause(failures)).await;
                failures += 1;
            }
        }
    }
}

fn failure_pause(failures: u32) -> Duration {
    let (shortest, longest) = FAILURE_PAUSE;
    let doubled = shortest * 2u32.pow(failures.min(4));
    doubled.min(longest).mul_f64(rand::rng().random_range(0.7..1.3))
}

fn note_success<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, regained: bool) {
    context.metrics.source_read("read");
    context.source_fails.store(false, Ordering::Relaxed);
    if regained {
        log::info!("catalogue: the source answers.");
    }
}

fn note_failure<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    error: SourceError,
    failures: u32,
) {
    context.source_fails.store(true, Ordering::Relaxed);
    context.metrics.source_read(match error {
        SourceError::HistoryLost => "history_lost",
        SourceError::Busy => "busy",
        SourceError::Unavailable => "unavailable",
        SourceError::Malformed => "malformed",
    });
    if failures == 0 {
        let age = context.catalogue_age().as_millis();
        log::warn!(catalogue_age_ms = age; "catalogue: the source gave nothing: {error}.");
    }
}

async fn read_all<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: &Context<C, B>,
    source: &S,
    asked_at: Micros,
) -> Result<u64, SourceError> {
    let read = source.list().await?;
    let at = read.listing.at;
    let now = context.clock().now();
    context.node.catalogue.update(|view| {
        let configured =
            read.configuration.is_some_and(|configuration| view.offer_configuration(configuration));
        view.replace(read.listing, now) || configured
    });
    confirm(context, asked_at);
    Ok(at)
}

async fn read_changes<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: &Context<C, B>,
    source: &S,
    after: u64,
    asked_at: Micros,
) -> Result<(u64, bool), SourceError> {
    let news = source.watch(after, WATCH_WAIT).await?;
    let at = news.at.max(after);
    let now = context.clock().now();
    let changed = context.node.catalogue.update(|view| apply(view, news, now));
    confirm(context, asked_at);
    Ok((at, changed))
}

fn apply(view: &mut CatalogueView, news: CatalogueNews, now: Micros) -> bool {
    let mut changed = news.configuration.is_some_and(|configuration| view.offer_configuration(configuration));
    for (change, revision) in news.replicas {
        changed |= view.apply(change, revision, now);
    }
    view.advance(news.at);
    changed
}

/// Notes that the catalogue was as it is known at some moment after `at`.
pub fn confirm<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, at: Micros) {
    context.confirmed_at.fetch_max(at.0, Ordering::Relaxed);
}

/// Takes every change of the catalogue into use, until the node ends.
pub async fn install_changes<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut changes = context.node.catalogue.subscribe();
    let mut version = 0;
    loop {
        let now = context.clock().now();
        let (view, next_expiry) = context
            .node
            .catalogue
            .read(|catalogue| (routing_view(catalogue, now), catalogue.next_expiry(now)));
        let routes = view.routes.as_ref().map_or(0, |routes| routes.version());
        if routes != version {
            let services = view.replicas.len();
            log::info!(version = routes, replaced = version, services = services; "catalogue: a configuration is in force.");
            version = routes;
            context.metrics.configuration_version.set(routes as i64);
        }
        context.install(view);
        let expiry = next_expiry.map_or(Micros::MAX, |at| at);
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = tokio::time::sleep_until(context.clock().instant(expiry)) => {
                context.node.catalogue.update(|view| { view.expire(now); false });
            }
        }
    }
}

fn routing_view(catalogue: &CatalogueView, now: Micros) -> RoutingView {
    let replicas: HashMap<ServiceName, Arc<[RoutableReplica]>> = catalogue
        .routable(now)
        .into_iter()
        .map(|(service, replicas)| (service, Arc::from(replicas)))
        .collect();
    RoutingView { routes: catalogue.routes().cloned(), replicas }
}
