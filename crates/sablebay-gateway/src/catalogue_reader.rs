//! Keeps the catalogue up to date from its source: reads it whole, then waits for changes. What
//! comes in any way is taken into use here.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;

use sablebay_catalogue::{
    CatalogueView, Era, ReadFailure, ReadingInputs, ReadingPolicy, RoutableReplica, ServiceName, SourceRead,
    SourceStep, bound_of_listing, bound_of_wait,
};
use sablebay_model::Micros;

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol, CatalogueNews, CatalogueSource, SourceError};
use crate::routing_view::RoutingView;

/// Follows the source until the node ends: reads it when it is this node's turn.
pub async fn follow_source<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: Arc<Context<C, B>>,
    source: Arc<S>,
) {
    let mut policy = ReadingPolicy::default();
    let mut answered_before = false;
    loop {
        let inputs = reading_inputs(&context);
        let read = match policy.next(&inputs) {
            SourceStep::Read(read) => read,
            SourceStep::Wait(wait) => {
                tokio::time::sleep(wait).await;
                continue;
            }
        };
        let outcome = match read {
            SourceRead::All { patience } => read_all(&context, &*source, patience).await,
            SourceRead::Changes { after, wait, patience } => {
                read_changes(&context, &*source, after, wait, patience).await
            }
        };
        let pause = match outcome {
            Ok(changed) => {
                note_success(&context, policy.is_failing() || !answered_before);
                answered_before = true;
                policy.succeeded(changed, &inputs)
            }
            Err(error) => {
                note_failure(&context, error, policy.is_failing());
                policy.failed(failure_of(error), inputs.is_reader, rand::rng().random())
            }
        };
        tokio::time::sleep(pause).await;
    }
}

fn reading_inputs<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>) -> ReadingInputs {
    let now = context.clock().now();
    let mut fleet = context.fleet.lock();
    fleet.refresh(&context.node);
    ReadingInputs {
        is_reader: fleet.is_reader(),
        has_peers: fleet.has_peers(),
        running_for: context.clock().running_for(),
        starting_patience: Duration::from_millis(context.settings.load().start_patience_ms),
        contact_ago: context.node.catalogue.contact_ago(now).map(Micros::as_duration),
        configuration_age: context.limited_age(),
        position: fleet.position(),
        known_up_to: context.node.catalogue.read(CatalogueView::replicas_at),
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

/// Keeps where the source is by its own word, beside what this node knows; a line where its revisions went back, or its
/// era changed.
fn note_source<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, era: Era, at: u64) {
    let before = std::mem::replace(&mut *context.source_at.lock(), (era, at));
    context.metrics.source_revision.set(at as i64);
    if before != (Era::UNNAMED, 0) && (before.0 != era || at < before.1) {
        let known = context.node.catalogue.read(CatalogueView::replicas_at);
        log::warn!(era = era.to_string().as_str(), revision = at, era_before = before.0.to_string().as_str(), revision_before = before.1, known_revision = known; "catalogue: the source came back from an older copy.");
    }
}

async fn read_all<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: &Context<C, B>,
    source: &S,
    patience: Duration,
) -> Result<bool, SourceError> {
    let asked_at = context.clock().now();
    let read = source.list(patience).await?;
    note_rejected(context, &read.rejected);
    note_source(context, read.era, read.listing.at);
    let now = context.clock().now();
    context.node.catalogue.update(|view| {
        let configured =
            read.configuration.is_some_and(|configuration| view.offer_configuration(configuration));
        view.note_revisions(read.revisions);
        view.replace(read.listing, now) || configured
    });
    context.note_contact(asked_at, now);
    context.confirm_configuration(asked_at, bound_of_listing(asked_at));
    Ok(true)
}

async fn read_changes<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: &Context<C, B>,
    source: &S,
    after: u64,
    wait: Duration,
    patience: Duration,
) -> Result<bool, SourceError> {
    let asked_at = context.clock().now();
    let news = source.watch(after, wait, patience).await?;
    note_rejected(context, &news.rejected);
    note_source(context, news.era, news.at);
    let now = context.clock().now();
    let partial = news.partial;
    let changed = context.node.catalogue.update(|view| apply(view, news, now));
    context.note_contact(asked_at, now);
    if !partial {
        context.confirm_configuration(asked_at, bound_of_wait(asked_at));
    }
    Ok(changed)
}

/// Lines about items of one answer that cannot be read: somebody may write thousands at once.
const REJECTION_LINES: usize = 5;

/// What cannot be read is left out, and everything else is taken: the configuration in force stays, an entry names no
/// replica.
fn note_rejected<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, rejected: &[String]) {
    context.metrics.rejected_items.inc_by(rejected.len() as u64);
    for finding in rejected.iter().take(REJECTION_LINES) {
        log::error!(finding = finding.as_str(); "catalogue: an item is rejected and left out.");
    }
    if rejected.len() > REJECTION_LINES {
        let more = rejected.len() - REJECTION_LINES;
        log::error!(more = more; "catalogue: further items are rejected and left out.");
    }
}

fn apply(view: &mut CatalogueView, news: CatalogueNews, now: Micros) -> bool {
    let mut changed = view.offer_configurations(news.configurations);
    view.note_revisions(news.revisions);
    for (change, revision) in news.replicas {
        changed |= view.apply(change, revision, now);
    }
    for notice in &news.zones {
        changed |= view.apply_notice(notice, now);
    }
    view.advance(news.at);
    changed
}

/// How often it is looked at whether nodes that came or went make this one the owner of other shards. The
/// spare owner keeps connections meanwhile.
const OWNERSHIP_PERIOD: Duration = Duration::from_millis(500);

/// The shortest time between two views. Changes come in groups, from several peers: an index that is cut anew
/// brings hundreds of replicas. Taking each into use by itself was a quarter of the processor time of 76 nodes
/// on such a day; the bounds on leaving replicas, evacuations and configurations are seconds.
const VIEW_PERIOD: Duration = Duration::from_millis(100);

/// Takes every change of the catalogue into use, until the node ends.
pub async fn install_changes<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut changes = context.node.catalogue.subscribe();
    let mut version = 0;
    break_mechanisms(&context);
    loop {
        let now = context.clock().now();
        let read = |catalogue: &CatalogueView| (routing_view(catalogue, now), catalogue.next_expiry(now));
        let (mut view, next_expiry) = context.node.catalogue.read(read);
        if !context.mechanisms.configuration && version > 0 {
            view.routes = context.view.load().routes.clone();
        }
        let routes = view.routes.as_ref().map_or(0, |routes| routes.version());
        if routes != version {
            let services = view.replicas.len();
            log::info!(version = routes, replaced = version, services = services; "catalogue: a configuration is in force.");
            version = routes;
            context.metrics.configuration_version.set(routes as i64);
        }
        note_evacuations(&context.view.load(), &view);
        let serves = view.routes.is_some();
        context.install(view);
        if serves {
            tokio::time::sleep(VIEW_PERIOD).await;
        }
        let expiry = context.clock().instant(next_expiry.unwrap_or(Micros::MAX));
        loop {
            tokio::select! {
                changed = changes.changed() => match changed {
                    Ok(()) => break,
                    Err(_) => return,
                },
                () = tokio::time::sleep_until(expiry) => {
                    context.node.catalogue.update(|view| { view.expire(now); false });
                    break;
                }
                () = tokio::time::sleep(OWNERSHIP_PERIOD) => {
                    context.fleet.lock().refresh(&context.node);
                    if context.ownership_is_outdated() {
                        break;
                    }
                }
            }
        }
    }
}

/// Turns off what the soak breaks.
fn break_mechanisms<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>) {
    let (leaving, evacuation) = (context.mechanisms.leaving, context.mechanisms.evacuation);
    context.node.catalogue.update(|view| {
        if !leaving {
            view.keep_leaving();
        }
        if !evacuation {
            view.keep_evacuated();
        }
        false
    });
}

/// Says which zones get nothing new from now on, and which do again.
fn note_evacuations(before: &RoutingView, next: &RoutingView) {
    for zone in next.evacuated.difference(&before.evacuated) {
        log::info!(zone = zone.as_str(); "catalogue: a zone is evacuated; its replicas get nothing new.");
    }
    for zone in before.evacuated.difference(&next.evacuated) {
        log::info!(zone = zone.as_str(); "catalogue: a zone is taken back; its replicas count as cold at first.");
    }
}

fn routing_view(catalogue: &CatalogueView, now: Micros) -> RoutingView {
    let replicas: HashMap<ServiceName, Arc<[RoutableReplica]>> = catalogue
        .routable(now)
        .into_iter()
        .map(|(service, replicas)| (service, Arc::from(replicas)))
        .collect();
    let evacuated = catalogue.evacuations().evacuated().filter(|zone| catalogue.is_evacuated(zone));
    RoutingView { routes: catalogue.routes().cloned(), replicas, evacuated: evacuated.cloned().collect() }
}
