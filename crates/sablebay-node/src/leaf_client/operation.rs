//! Sends one operation to a leaf at most once, without queueing, batching, hedging or retries.

use derive_more::Display;
use http::Method;
use serde_json::value::RawValue;

use sablebay_http::{ExchangeFailure, json_request, read_body};
use sablebay_model::{CallId, Micros, ServiceId};
use sablebay_protocol::backend::{LeafOperation, LeafOperationAnswer, LeafRefusal, OPERATION_PATH};

use super::LeafClient;
use crate::lifecycle::Lifecycle;

/// Maximum size of an operation's result.
const MAXIMUM_RESULT_BYTES: usize = 1 << 20;

/// Why an operation has no result.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OperationFailure {
    /// No byte can have reached the leaf.
    #[display("not sent")]
    NotSent,
    /// The leaf reports that it did not and will not run the operation.
    #[display("refused: {_0:?}")]
    Refused(LeafRefusal),
    /// The operation was sent, but no valid response arrived; it may have run.
    #[display("no response")]
    NoResponse,
}

impl LeafClient {
    /// Sends an operation and waits for its result until `deadline`, or until the answers are due in a planned stop.
    ///
    /// # Errors
    /// [`OperationFailure`], which tells whether the operation may have run.
    pub async fn operation(
        &self,
        service: &ServiceId,
        ticket: &str,
        operation: Box<RawValue>,
        deadline: Micros,
        lifecycle: &Lifecycle,
    ) -> Result<Box<RawValue>, OperationFailure> {
        let context = &self.context;
        let until = context.clock.instant(deadline);
        let connecting = async {
            let permit = context.pool.permit().await;
            context.pool.connect(permit).await
        };
        let connecting = tokio::time::timeout_at(until, connecting);
        let connected = lifecycle.before_stop(context.clock, connecting).await;
        let mut lease = connected.and_then(Result::ok).flatten().ok_or(OperationFailure::NotSent)?;
        let now = context.clock.now();
        if now >= deadline {
            return Err(OperationFailure::NotSent);
        }
        let call_id = CallId(self.next_call.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
        let message = LeafOperation {
            caller: context.caller.clone(),
            call_id,
            service: service.clone(),
            ticket: ticket.to_string(),
            remaining_ms: deadline.since(now).as_millis().max(1),
            operation,
        };
        let body = serde_json::to_vec(&message).map_err(|_| OperationFailure::NotSent)?;
        let exchange = async {
            let sent =
                context.pool.send(&mut lease, json_request(Method::POST, OPERATION_PATH, body.into())).await;
            let response = sent.map_err(|failure| match failure {
                ExchangeFailure::NotSent => OperationFailure::NotSent,
                ExchangeFailure::Broken => OperationFailure::NoResponse,
            })?;
            // A failure neither reports a result nor promises that the operation did not run.
            if !response.status().is_success() {
                return Err(OperationFailure::NoResponse);
            }
            let body = read_body(response.into_body(), MAXIMUM_RESULT_BYTES).await;
            body.map_err(|_| OperationFailure::NoResponse)
        };
        let exchanging = tokio::time::timeout_at(until, exchange);
        let exchanged = lifecycle.before_stop(context.clock, exchanging).await;
        let bytes = exchanged.and_then(Result::ok).ok_or(OperationFailure::NoResponse)??;
        context.pool.release(lease);
        read_result(call_id, &bytes)
    }
}

fn read_result(call_id: CallId, bytes: &[u8]) -> Result<Box<RawValue>, OperationFailure> {
    let answer: LeafOperationAnswer =
        serde_json::from_slice(bytes).map_err(|_| OperationFailure::NoResponse)?;
    if answer.call_id != call_id {
        return Err(OperationFailure::NoResponse);
    }
    match (answer.result, answer.refusal) {
        (Some(result), None) => Ok(result),
        (None, Some(refusal)) => Err(OperationFailure::Refused(refusal)),
        _ => Err(OperationFailure::NoResponse),
    }
}
