//! Merges the answers of back ends into the caller's response.

use bytes::Bytes;
use http::Response;
use http_body_util::Full;

use sablebay_catalogue::{Destination, Route};
use sablebay_dispatch::{CallNumber, TopRecords};

use crate::answer::{PartReceipt, RelayedAnswer, SuccessAnswer};
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol, GatheredAnswer};

/// The merged answers of several shards.
#[derive(Clone, Debug, Default)]
pub struct MergedPart {
    /// The receipts of the answers, by shard.
    pub receipts: Vec<PartReceipt>,
    /// The greatest records, in descending order.
    pub records: Bytes,
}

/// An answer for one or more shards.
#[derive(Debug)]
pub enum Part {
    /// The answer of one replica.
    Single(SuccessAnswer),
    /// The records merged by a gatherer, used for all of its shards or for none.
    Merged(MergedPart),
}

/// An accepted part.
#[derive(Debug)]
pub struct TakenPart {
    /// The call that returned the part.
    pub call: CallNumber,
    /// The shards that the part answers.
    pub shards: Vec<usize>,
    pub part: Part,
}

/// Builds the response to a request that enough shards answered. `missing` is the number of missing shards to
/// report to the caller.
pub fn merge<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    route: &Route,
    mut parts: Vec<TakenPart>,
    missing: usize,
) -> Response<Full<Bytes>> {
    match &route.destination {
        Destination::Gather(gather) => {
            parts.sort_by_key(|taken| taken.shards.first().copied());
            let merged = merge_parts(gather.top, parts);
            let MergedPart { receipts, records } = merged;
            context.callers.gathered(GatheredAnswer { receipts, missing, body: records })
        }
        Destination::Services(_) => {
            let only = parts.pop().expect("an answered single-shard request has one part");
            match only.part {
                Part::Single(SuccessAnswer::Whole(success)) => {
                    context.callers.relayed(RelayedAnswer::Success(success))
                }
                Part::Single(SuccessAnswer::Shard(_)) | Part::Merged(_) => {
                    unreachable!("only gather routes have shards")
                }
            }
        }
    }
}

/// Merges the greatest `top` records of all parts, and collects their receipts.
pub fn merge_parts(top: usize, parts: Vec<TakenPart>) -> MergedPart {
    let mut records = TopRecords::new(top);
    let mut receipts = Vec::with_capacity(parts.len());
    for taken in parts {
        match taken.part {
            Part::Single(SuccessAnswer::Shard(shard)) => {
                records.add(&shard.records);
                receipts.push(shard.receipt);
            }
            Part::Single(SuccessAnswer::Whole(_)) => unreachable!("gather routes have only shards"),
            Part::Merged(merged) => {
                records.add(&merged.records);
                receipts.extend(merged.receipts);
            }
        }
    }
    MergedPart { receipts, records: Bytes::from(records.into_bytes()) }
}
