//! Keeps the catalogue up to date from its source: reads it whole, then waits for changes. What
//! comes in any way is taken into use here.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;

use sablebay_catalogue::{
    CatalogueView, ReadFailure, ReadingPolicy, RoutableReplica, ServiceName, SourceRead,
};
use sablebay_model::Micros;

use crate::context::{Context, RoutingView};
use crate::edge::{BackendProtocol, CallerProtocol, CatalogueNews, CatalogueSource, SourceError};

/// Follows the source until the node ends.
pub async fn follow_source<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: Arc<Context<C, B>>,
    source: Arc<S>,
) {
    let mut policy = ReadingPolicy::default();
    let mut answered_before = false;
    loop {
        let outcome = match policy.next() {
            SourceRead::All { patience } => read_all(&context, &*source, patience).await,
            SourceRead::Changes { after, wait, patience } => {
                read_changes(&context, &*source, after, wait, patience).await
            }
        };
        let pause = match outcome {
            Ok((at, changed)) => {
                note_success(&context, policy.is_failing() || !answered_before);
                answered_before = true;
                policy.succeeded(at, changed)
            }
            Err(error) => {
                note_failure(&context, error, policy.is_failing());
                policy.failed(failure_of(error), rand::rng().random())
            }
        };
        tokio::time::sleep(pause).await;
    }
}

fn failure_of(error: SourceError) -> ReadFailure {
    match error {
        SourceError::HistoryLost | SourceError::Malformed => ReadFailure::MustReadAll,
        SourceError::Unavailable => ReadFailure::NoAnswer,
        SourceError::Busy => ReadFailure::Refused,
    }
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
    failing: bool,
) {
    context.source_fails.store(true, Ordering::Relaxed);
    context.metrics.source_read(match error {
        SourceError::HistoryLost => "history_lost",
        SourceError::Busy => "busy",
        SourceError::Unavailable => "unavailable",
        SourceError::Malformed => "malformed",
    });
    if !failing {
        let age = context.catalogue_age().as_millis();
        log::warn!(catalogue_age_ms = age; "catalogue: the source gave nothing: {error}.");
    }
}

async fn read_all<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: &Context<C, B>,
    source: &S,
    patience: Duration,
) -> Result<(u64, bool), SourceError> {
    let asked_at = context.clock().now();
    let read = source.list(patience).await?;
    let at = read.listing.at;
    let now = context.clock().now();
    context.node.catalogue.update(|view| {
        let configured =
            read.configuration.is_some_and(|configuration| view.offer_configuration(configuration));
        view.replace(read.listing, now) || configured
    });
    confirm(context, asked_at);
    Ok((at, true))
}

async fn read_changes<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: &Context<C, B>,
    source: &S,
    after: u64,
    wait: Duration,
    patience: Duration,
) -> Result<(u64, bool), SourceError> {
    let asked_at = context.clock().now();
    let news = source.watch(after, wait, patience).await?;
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
