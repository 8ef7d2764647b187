//! Keeps the catalogue up to date from its source: reads all of it once, then watches for changes. Installs every
//! change of the catalogue, whether it comes from the source or from a peer.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;

use sablebay_catalogue::{
    CataloguePosition, CatalogueRevision, CatalogueView, Era, ReadFailure, ReadingInputs, ReadingPolicy,
    RoutableReplica, SETTLE_PERIOD, ServiceName, SourceRead, SourceStep, bound_of_listing, bound_of_wait,
};
use sablebay_model::Micros;

use crate::context::Context;
use crate::edge::{
    BackendProtocol, CallerProtocol, CatalogueChanges, CatalogueSource, RejectedItems, SourceError,
};
use crate::peer_catalogue::DISCOVERY_TIME;
use crate::routing_view::RoutingView;

/// Reads the source whenever the reading policy asks this node to, until the node stops.
pub async fn follow_source<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: Arc<Context<C, B>>,
    source: Arc<S>,
) {
    let mut policy = ReadingPolicy::default();
    let mut has_answered = false;
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
            SourceRead::All { timeout } => read_all(&context, &*source, timeout).await,
            SourceRead::Changes { after, wait, timeout } => {
                read_changes(&context, &*source, after, wait, timeout).await
            }
        };
        let pause = match outcome {
            Ok(changed) => {
                record_success(&context, policy.is_failing() || !has_answered);
                has_answered = true;
                policy.succeeded(changed, &inputs)
            }
            Err(error) => {
                record_failure(&context, error, policy.is_failing());
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
        startup_wait: Duration::from_millis(context.settings.load().start_patience_ms),
        contact_ago: context.node.catalogue.contact_ago(now).map(Micros::as_duration),
        configuration_age: context.limited_age(),
        position: fleet.position(),
        known_up_to: context.node.catalogue.read(CatalogueView::replicas_at),
        must_settle: context.node.catalogue.read(|view| view.must_settle(now)),
    }
}

fn failure_of(error: SourceError) -> ReadFailure {
    match error {
        SourceError::HistoryLost | SourceError::Malformed => ReadFailure::MustReadAll,
        SourceError::Restored => ReadFailure::Restored,
        SourceError::Unavailable => ReadFailure::NoAnswer,
        SourceError::Busy
        | SourceError::Outdated
        | SourceError::InvalidTarget
        | SourceError::RepeatedPage
        | SourceError::TooLarge => ReadFailure::Refused,
    }
}

fn record_success<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, recovered: bool) {
    context.metrics.source_read("read");
    context.source_fails.store(false, Ordering::Relaxed);
    if recovered {
        log::info!("catalogue: the source answers.");
    }
}

fn record_failure<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    error: SourceError,
    failing: bool,
) {
    context.source_fails.store(true, Ordering::Relaxed);
    context.metrics.source_read(match error {
        SourceError::HistoryLost => "history_lost",
        SourceError::Restored => "returned",
        SourceError::Outdated => "outdated",
        SourceError::Busy => "busy",
        SourceError::Unavailable => "unavailable",
        SourceError::Malformed => "malformed",
        SourceError::RepeatedPage => "repeated_page",
        SourceError::TooLarge => "too_large",
        SourceError::InvalidTarget => "invalid_target",
    });
    if !failing {
        let age = context.catalogue_age().as_millis();
        log::warn!(catalogue_age_ms = age; "catalogue: reading the source failed: {error}.");
    }
}

/// Rejects an answer from an era that has ended.
fn check_era<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    at: CatalogueRevision,
) -> Result<(), SourceError> {
    context.metrics.source_revision.set(at.number() as i64);
    let newest = context.node.catalogue.read(|view| view.source().era());
    if at.era() < newest { Err(SourceError::Outdated) } else { Ok(()) }
}

async fn read_all<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: &Context<C, B>,
    source: &S,
    timeout: Duration,
) -> Result<bool, SourceError> {
    let asked_at = context.clock().now();
    let read = source.list(timeout).await?;
    log_rejected(context, &read.rejected);
    check_era(context, read.listing.at)?;
    let now = context.clock().now();
    context.node.catalogue.update(|view| {
        let configured =
            read.configuration.is_some_and(|configuration| view.offer_configuration(configuration));
        view.note_revisions(read.revisions);
        view.replace(read.listing, now) || configured
    });
    context.record_contact(asked_at, now);
    context.confirm_by_source(asked_at, bound_of_listing(asked_at));
    Ok(true)
}

async fn read_changes<C: CallerProtocol, B: BackendProtocol, S: CatalogueSource>(
    context: &Context<C, B>,
    source: &S,
    after: CatalogueRevision,
    wait: Duration,
    timeout: Duration,
) -> Result<bool, SourceError> {
    let asked_at = context.clock().now();
    let update = source.watch(after, wait, timeout).await?;
    log_rejected(context, &update.rejected);
    check_era(context, update.at)?;
    let now = context.clock().now();
    let partial = update.partial;
    let changed = context.node.catalogue.update(|view| apply(view, update, now));
    context.record_contact(asked_at, now);
    if !partial {
        context.confirm_by_source(asked_at, bound_of_wait(asked_at));
    }
    Ok(changed)
}

/// Logs unreadable items. The rest of the answer is applied: an unreadable configuration leaves the current one in
/// force, an unreadable entry adds no replica.
fn log_rejected<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, rejected: &RejectedItems) {
    context.metrics.rejected_items.inc_by(rejected.count() as u64);
    for finding in rejected.findings() {
        log::error!(finding = finding.as_str(); "catalogue: an item is rejected and left out.");
    }
    let more = rejected.count() - rejected.findings().len();
    if more > 0 {
        log::error!(more = more; "catalogue: further items are rejected and left out.");
    }
}

fn apply(view: &mut CatalogueView, update: CatalogueChanges, now: Micros) -> bool {
    let mut changed = view.offer_configurations(update.configurations);
    view.note_revisions(update.revisions);
    for (change, revision) in update.replicas {
        changed |= view.apply(change, revision, now);
    }
    for notice in &update.zones {
        changed |= view.apply_notice(notice, now);
    }
    view.advance(update.at);
    changed
}

/// How often the node checks whether membership changes altered its shard ownership. The fallback owner keeps
/// connections in the meantime.
const OWNERSHIP_PERIOD: Duration = Duration::from_millis(500);

/// Minimum interval between two installed views. Batches changes that arrive in groups, such as the replicas of a
/// resharded index.
/// Installing each of hundreds of replicas by itself takes a large part of a node's processor time; the bounds on
/// leaving replicas, evacuations and configurations are seconds.
const VIEW_PERIOD: Duration = Duration::from_millis(100);

/// Installs every change of the catalogue until the node stops.
pub async fn install_changes<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut changes = context.node.catalogue.subscribe();
    let mut version = 0;
    let mut known_up_to = CataloguePosition::NOTHING;
    disable_mechanisms(&context);
    wait_for_catch_up(&context).await;
    loop {
        let now = context.clock().now();
        log_restoration(&context, &mut known_up_to, now);
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
        log_evacuations(&context.view.load(), &view);
        let serves = view.routes.is_some();
        context.install(view);
        if serves {
            tokio::time::sleep(VIEW_PERIOD).await;
        }
        let expiry = context.clock().instant(next_expiry.unwrap_or(Micros::MAX));
        loop {
            tokio::select! { changed = changes.changed() => match changed { Ok(()) => break, Err(_) => return, }, () = tokio::time::sleep_until(expiry) => { context.node.catalogue.update(|view| { view.expire(now); false }); break; } () = tokio::time::sleep(OWNERSHIP_PERIOD) => { context.fleet.lock().refresh(&context.node); if context.ownership_is_outdated() { break; } } }
        }
    }
}

/// How often a starting node checks whether catch-up is complete.
const CATCH_UP_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Maximum time that a starting node waits for catch-up. After this it serves with what it has, even if an announced
/// configuration has not arrived.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(1_500);

/// Waits until this node has caught up with the fleet, or has no peers. A source that was restored from an older copy
/// may lack changes that peers still know.
async fn wait_for_catch_up<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>) {
    while must_wait_for_catch_up(context) {
        tokio::time::sleep(CATCH_UP_POLL_PERIOD).await;
    }
}

fn must_wait_for_catch_up<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>) -> bool {
    let (now, running_for) = (context.clock().now(), context.clock().running_for());
    let (has_caught_up, era) =
        context.node.catalogue.read(|view| (view.has_caught_up(now), view.replicas_at().era()));
    // A large configuration arrives after the answer that announces it.
    let has_all = has_caught_up && (era == Era::UNNAMED || !context.is_behind());
    let is_alone = running_for >= DISCOVERY_TIME && !context.fleet.lock().has_peers();
    !has_all && !is_alone && running_for < CATCH_UP_LIMIT
}

/// Logs that the source was restored from an older copy, and later that its new era has settled.
fn log_restoration<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    known_up_to: &mut CataloguePosition,
    now: Micros,
) {
    let read =
        |view: &CatalogueView| (view.replicas_at(), view.retained(), view.version(), view.source().age(now));
    let (position, retained, version, age) = context.node.catalogue.read(read);
    let before = std::mem::replace(known_up_to, position);
    context.metrics.source_era.set(position.era().count() as i64);
    context.metrics.retained.set(retained as i64);
    if before.is_nothing() || before.stage() == position.stage() {
        return;
    }
    let settled = position.is_settled();
    let (position, before) = (position.to_string(), before.to_string());
    if !settled {
        let settles_in_ms = SETTLE_PERIOD.since(age).as_millis();
        log::warn!(up_to = position.as_str(), before = before.as_str(), version = version, kept = retained, settles_in_ms = settles_in_ms; "catalogue: the source was restored from an older copy; known entries are retained until it settles.");
    } else {
        log::info!(up_to = position.as_str(), before = before.as_str(), version = version; "catalogue: the source's era is settled; entries that it lacks are removed.");
    }
}

/// Disables the mechanisms that are switched off for testing.
fn disable_mechanisms<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>) {
    let (leaving, evacuation) = (context.mechanisms.leaving, context.mechanisms.evacuation);
    let returns = context.mechanisms.returns;
    context.node.catalogue.update(|view| {
        if !leaving {
            view.keep_leaving();
        }
        if !evacuation {
            view.keep_evacuated();
        }
        if !returns {
            view.settle_at_once();
        }
        false
    });
}

/// Logs evacuations that began or were lifted.
fn log_evacuations(before: &RoutingView, next: &RoutingView) {
    for zone in next.evacuated.difference(&before.evacuated) {
        log::info!(zone = zone.as_str(); "catalogue: a zone is evacuated; its replicas get no new calls.");
    }
    for zone in before.evacuated.difference(&next.evacuated) {
        log::info!(zone = zone.as_str(); "catalogue: the evacuation of a zone is lifted; its replicas count as cold at first.");
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
