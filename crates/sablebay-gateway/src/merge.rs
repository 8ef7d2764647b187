//! Makes the caller's answer out of the answers of back ends.

use bytes::Bytes;
use http::Response;
use http_body_util::Full;

use sablebay_catalogue::{Destination, Gather, Route};
use sablebay_dispatch::TopRecords;

use crate::call::CallSuccess;
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol, GatheredAnswer};

/// The answer to a request that enough shards answered; `missing` is what its caller is told.
pub fn merge<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    route: &Route,
    mut answers: Vec<(usize, CallSuccess)>,
    missing: usize,
) -> Response<Full<Bytes>> {
    match &route.destination {
        Destination::Gather(gather) => {
            answers.sort_by_key(|(shard, _)| *shard);
            context.callers.gathered(gathered(gather, answers, missing))
        }
        Destination::Services(_) => {
            let only = answers.pop().expect("an answered request over one shard has its answer");
            context.callers.relayed(only.1.answer)
        }
    }
}

fn gathered(gather: &Gather, answers: Vec<(usize, CallSuccess)>, missing: usize) -> GatheredAnswer {
    let mut records = TopRecords::new(gather.top);
    let mut receipts = Vec::with_capacity(answers.len());
    for (_, success) in answers {
        records.add(&success.answer.body);
        receipts.push(success.receipt);
    }
    GatheredAnswer { receipts, missing, body: Bytes::from(records.into_bytes()) }
}
