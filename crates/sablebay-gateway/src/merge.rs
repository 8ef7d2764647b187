//! Makes the caller's answer out of the answers of back ends.

use bytes::Bytes;
use http::{HeaderValue, Response};
use http_body_util::Full;

use sablebay_catalogue::{Destination, Route};
use sablebay_dispatch::{CallNumber, TopRecords};

use crate::call::CallSuccess;
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol, GatheredAnswer};

/// The merged answers of several shards.
#[derive(Clone, Debug)]
pub struct MergedPart {
    /// What proves the answers to the caller, by shard.
    pub receipts: Vec<HeaderValue>,
    /// Their greatest records, greatest first.
    pub records: Bytes,
}

/// What answers one shard, or several.
#[derive(Debug)]
pub enum Part {
    /// The whole answer of one replica.
    Single(CallSuccess),
    /// What a gatherer merged. It stands for all of its shards, or for none.
    Merged(MergedPart),
}

/// A part that was taken for some shards.
#[derive(Debug)]
pub struct TakenPart {
    /// The call that it came from.
    pub call: CallNumber,
    /// The shards.
    pub shards: Vec<usize>,
    /// The part.
    pub part: Part,
}

/// The answer to a request that enough shards answered; `missing` is what its caller is told.
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
            let only = parts.pop().expect("an answered request over one shard has its answer");
            match only.part {
                Part::Single(success) => context.callers.relayed(success.answer),
                Part::Merged(_) => unreachable!("only shards whose records are merged are delegated"),
            }
        }
    }
}

/// The greatest `top` records of all parts, with the receipts of each.
pub fn merge_parts(top: usize, parts: Vec<TakenPart>) -> MergedPart {
    let mut records = TopRecords::new(top);
    let mut receipts = Vec::with_capacity(parts.len());
    for taken in parts {
        match taken.part {
            Part::Single(success) => {
                records.add(&success.answer.body);
                receipts.push(success.receipt);
            }
            Part::Merged(merged) => {
                records.add(&merged.records);
                receipts.extend(merged.receipts);
            }
        }
    }
    MergedPart { receipts, records: Bytes::from(records.into_bytes()) }
}
