//! Batches of searches: collecting calls, sending them as one request, and reading the answers as
//! they are streamed back.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use sablebay_http::{ExchangeFailure, Lease, json_request};
use sablebay_model::{CallId, Micros};
use sablebay_protocol::backend::{LeafAnswer, LeafCallRef, LeafRefusal, SEARCH_PATH, SearchBatch};
use sablebay_query::{CallFailure, Coverage, ShardAnswer, Work};

use super::{CallEvent, ClientContext, Command, QueuedCall, load_report};

/// How long a batch waits for answers after its last deadline.
const ANSWER_GRACE: Micros = Micros::from_millis(250);
/// Maximum length of one answer line.
const MAXIMUM_LINE_BYTES: usize = 8 << 20;

/// Collects calls into batches and sends each as soon as a connection is free.
pub(super) async fn run_dispatcher(
    context: Arc<ClientContext>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let mut waiting: Vec<QueuedCall> = Vec::new();
    loop {
        if waiting.is_empty() {
            let Some(command) = commands.recv().await else {
                return;
            };
            handle_command(&context, command, &mut waiting);
            continue;
        }
        wait_to_coalesce(&context, &mut commands, &mut waiting).await;
        let permit = wait_for_permit(&context, &mut commands, &mut waiting).await;
        let size = waiting.first().map_or(0, |call| call.search.batch).min(waiting.len());
        if size > 0 {
            let batch: Vec<QueuedCall> = waiting.drain(..size).collect();
            tokio::spawn(send_batch(context.clone(), permit, batch));
        }
    }
}

fn handle_command(context: &Arc<ClientContext>, command: Command, waiting: &mut Vec<QueuedCall>) {
    match command {
        Command::Search(call) => waiting.push(call),
        Command::Cancel(call_id) => {
            let before = waiting.len();
            waiting.retain(|call| call.call_id != call_id);
            if waiting.len() == before {
                let context = context.clone();
                tokio::spawn(async move { context.send_cancellations(vec![call_id]).await });
            }
        }
    }
}

/// Waits for further calls until the batch is full or the coalescing time of the first call is over.
async fn wait_to_coalesce(
    context: &Arc<ClientContext>,
    commands: &mut mpsc::UnboundedReceiver<Command>,
    waiting: &mut Vec<QueuedCall>,
) {
    let Some(first) = waiting.first() else {
        return;
    };
    let full = first.search.batch;
    let until = context.clock.instant(context.clock.now().plus(first.search.coalesce));
    while waiting.len() < full {
        match commands.try_recv() {
            Ok(command) => {
                handle_command(context, command, waiting);
                continue;
            }
            Err(_) if tokio::time::Instant::now() >= until => return,
            Err(_) => {}
        }
        match tokio::time::timeout_at(until, commands.recv()).await {
            Ok(Some(command)) => handle_command(context, command, waiting),
            Ok(None) | Err(_) => return,
        }
    }
}

/// Waits for a free connection, and collects further calls meanwhile.
async fn wait_for_permit(
    context: &Arc<ClientContext>,
    commands: &mut mpsc::UnboundedReceiver<Command>,
    waiting: &mut Vec<QueuedCall>,
) -> OwnedSemaphorePermit {
    let permit = context.pool.permit();
    tokio::pin!(permit);
    loop {
        tokio::select! { biased; permit = &mut permit => return permit, Some(command) = commands.recv() => handle_command(context, command, waiting), }
    }
}

/// Fails calls whose deadline has passed, and drops calls whose query has ended, so that a
/// batch that waited too long, or a paused process, sends no late calls.
fn drop_expired(context: &ClientContext, waiting: &mut Vec<QueuedCall>) {
    let now = context.clock.now();
    waiting.retain(|call| {
        let expired = call.deadline <= now;
        if expired {
            call.fail(CallFailure::TooLate, None);
        }
        !expired && !call.events.is_closed()
    });
}

fn encode(context: &ClientContext, calls: &[Option<QueuedCall>]) -> Option<Bytes> {
    const CALL_BYTES: usize = 256;
    let now = context.clock.now();
    let calls: Vec<LeafCallRef<'_>> = calls
        .iter()
        .flatten()
        .map(|call| LeafCallRef {
            call_id: call.call_id,
            service: &call.search.service,
            partitions: &call.partitions,
            version: call.version,
            remaining_ms: call.deadline.since(now).as_millis().max(1),
            limit: call.search.limit,
            sort: call.search.sort,
            query: &call.search.query,
        })
        .collect();
    let mut body = Vec::with_capacity(calls.len() * CALL_BYTES);
    let batch = SearchBatch { caller: context.caller.as_str(), calls };
    serde_json::to_writer(&mut body, &batch).ok()?;
    Some(Bytes::from(body))
}

/// Sends calls as one request and forwards the answers to their queries.
pub(super) async fn send_batch(
    context: Arc<ClientContext>,
    permit: OwnedSemaphorePermit,
    mut calls: Vec<QueuedCall>,
) {
    drop_expired(&context, &mut calls);
    if calls.is_empty() {
        return;
    }
    context.counters.batches.fetch_add(1, Ordering::Relaxed);
    context.counters.calls.fetch_add(calls.len() as u64, Ordering::Relaxed);
    let last_deadline = calls.iter().map(|call| call.deadline).max().unwrap_or_default();
    let until = context.clock.instant(last_deadline.plus(ANSWER_GRACE));
    let mut open = OpenCalls { calls: calls.into_iter().map(Some).collect() };
    let exchange = exchange(&context, permit, &mut open);
    let outcome = tokio::time::timeout_at(until, exchange).await;
    let failure = match outcome {
        Ok(Err(ExchangeFailure::NotSent)) => CallFailure::NotSent,
        _ => CallFailure::Broken,
    };
    open.fail_all(failure);
}

async fn exchange(
    context: &Arc<ClientContext>,
    permit: OwnedSemaphorePermit,
    open: &mut OpenCalls,
) -> Result<(), ExchangeFailure> {
    let mut lease = context.pool.connect(permit).await.ok_or(ExchangeFailure::NotSent)?;
    let body = encode(context, &open.calls).ok_or(ExchangeFailure::NotSent)?;
    let response = context.pool.send(&mut lease, json_request(Method::POST, SEARCH_PATH, body)).await?;
    if !response.status().is_success() {
        log::warn!("leaf: {} answered a batch with status {}.", context.leaf, response.status());
        return Err(ExchangeFailure::Broken);
    }
    read_answers(context, response.into_body(), open, lease).await
}

/// Reads answers line by line. The connection returns to the pool only if every line matched an
/// open call.
async fn read_answers(
    context: &Arc<ClientContext>,
    mut body: Incoming,
    open: &mut OpenCalls,
    lease: Lease,
) -> Result<(), ExchangeFailure> {
    let mut partial_line: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ExchangeFailure::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        handle_lines(context, &data, &mut partial_line, open)?;
        if partial_line.len() > MAXIMUM_LINE_BYTES {
            return Err(ExchangeFailure::Broken);
        }
    }
    context.pool.release(lease);
    Ok(())
}

/// Handles every line that `data` completes; an incomplete last line is kept in `partial_line`.
fn handle_lines(
    context: &ClientContext,
    data: &[u8],
    partial_line: &mut Vec<u8>,
    open: &mut OpenCalls,
) -> Result<(), ExchangeFailure> {
    let mut from = 0;
    for end in memchr::memchr_iter(b'\n', data) {
        if partial_line.is_empty() {
            handle_line(context, &data[from..end], open)?;
        } else {
            partial_line.extend_from_slice(&data[from..end]);
            handle_line(context, partial_line, open)?;
            partial_line.clear();
        }
        from = end + 1;
    }
    partial_line.extend_from_slice(&data[from..]);
    Ok(())
}

fn handle_line(context: &ClientContext, line: &[u8], open: &mut OpenCalls) -> Result<(), ExchangeFailure> {
    if line.is_empty() {
        return Ok(());
    }
    let answer: LeafAnswer = serde_json::from_slice(line).map_err(|error| {
        context.counters.malformed.fetch_add(1, Ordering::Relaxed);
        log::warn!("leaf: cannot parse an answer line from {}: {error}.", context.leaf);
        ExchangeFailure::Broken
    })?;
    let call = if context.correlates { open.take(answer.call_id) } else { open.take_oldest() };
    let Some(call) = call else {
        context.counters.misaddressed.fetch_add(1, Ordering::Relaxed);
        log::warn!("leaf: {} answered call {}, which is not open here.", context.leaf, answer.call_id);
        return Err(ExchangeFailure::Broken);
    };
    let _ = call.events.send(CallEvent { attempt: call.attempt, outcome: outcome_of(answer) });
    Ok(())
}

fn outcome_of(answer: LeafAnswer) -> Result<ShardAnswer, (CallFailure, Option<sablebay_query::LoadReport>)> {
    let report = load_report(answer.load);
    if let Some(refusal) = answer.refusal {
        let failure = match refusal {
            LeafRefusal::NotHeld => CallFailure::NotHeld,
            LeafRefusal::Draining => CallFailure::Draining,
            LeafRefusal::Shedding => CallFailure::Shedding,
            LeafRefusal::TooLate | LeafRefusal::Cancelled => CallFailure::TooLate,
            LeafRefusal::BadCall => CallFailure::Mismatched,
        };
        return Err((failure, Some(report)));
    }
    let Some(hits) = answer.hits else {
        return Err((CallFailure::Mismatched, Some(report)));
    };
    Ok(ShardAnswer {
        version: answer.version,
        coverage: Coverage { answered: answer.partitions, missing: Vec::new() },
        hits,
        report: Some(report),
        work: Work::default(),
    })
}

/// The calls of a batch that have no answer yet, in order of call id.
struct OpenCalls {
    calls: Vec<Option<QueuedCall>>,
}

impl OpenCalls {
    /// Removes and returns a call; `None` for a duplicate answer.
    fn take(&mut self, call_id: CallId) -> Option<QueuedCall> {
        let matches = |slot: &&mut Option<QueuedCall>| slot.as_ref().is_some_and(|c| c.call_id == call_id);
        self.calls.iter_mut().find(matches).and_then(Option::take)
    }

    /// Removes and returns the oldest open call, regardless of the answer's call id.
    fn take_oldest(&mut self) -> Option<QueuedCall> {
        self.calls.iter_mut().find_map(Option::take)
    }

    fn fail_all(&mut self, failure: CallFailure) {
        for call in self.calls.iter_mut().filter_map(Option::take) {
            call.fail(failure, None);
        }
    }
}
