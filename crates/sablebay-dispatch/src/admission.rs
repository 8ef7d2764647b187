//! Which requests are refused at once because they would come too late anyway.
//!
//! The measure is the share of a request's shards at which work queues at every replica, as far as
//! the replicas told of late. Where it is low, nearly all requests are answered in time; where it is
//! high, nearly none are, and each one that is let in delays the others. In between, a part is
//! refused that grows with it, so that nodes which see the same neither all refuse nor all admit.
//!
//! Less urgent requests are refused sooner. Those that come back after a refusal are refused later:
//! a caller is sent away twice only when there is no other way.

use std::collections::VecDeque;

use sablebay_model::Micros;

use crate::tenant_shares::TenantDemand;

/// The crowded share up to which the most urgent requests are all admitted.
const REFUSAL_THRESHOLD: f64 = 0.5;
/// How much lower it is for each rank of lesser urgency.
const RANK_THRESHOLD_STEP: f64 = 0.12;
/// Ranks that make a difference.
pub const LOWEST_RANK: u32 = 2;
/// How much higher it is for a request that comes back.
const RETRY_THRESHOLD_BONUS: f64 = 0.3;
/// The rise of the crowded share over which the refused part grows to the whole.
const REFUSAL_RAMP: f64 = 0.6;
/// The part that is refused at the most: without any requests nothing is learnt of the queues.
const MAX_REFUSAL_PROBABILITY: f64 = 0.8;
/// The part of a caller's timeout after which it is asked to come back, at the least and at the
/// most.
const RETRY_AFTER_FRACTIONS: (f64, f64) = (0.15, 0.3);
/// The longest time after which a caller is asked to come back.
const MAX_RETRY_AFTER: Micros = Micros::from_millis(700);

/// What the admission of one request depends on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInputs {
    /// Shards that it goes to.
    pub shards: usize,
    /// Those at which work queues at every replica.
    pub crowded: usize,
    /// How much less urgent it is than the most urgent requests for the same services; 0 for these.
    pub rank: u32,
    /// Whether its caller was probably refused before.
    pub is_retry: bool,
    /// How long its caller will wait.
    pub timeout: Micros,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is run.
    Admitted,
    /// It is refused at once, and has not run.
    Refused {
        /// When to come back.
        retry_after: Micros,
    },
}

/// The probability that a request is refused, from 0 to 1.
///
/// A request for one shard is never refused here: its replicas say themselves when they are full,
/// and nothing was spent on other shards by then.
pub fn refusal_probability(inputs: &AdmissionInputs) -> f64 {
    if inputs.shards < 2 {
        return 0.0;
    }
    let crowded_share = inputs.crowded as f64 / inputs.shards as f64;
    let rank_penalty = RANK_THRESHOLD_STEP * f64::from(inputs.rank.min(LOWEST_RANK));
    let retry_bonus = if inputs.is_retry { RETRY_THRESHOLD_BONUS } else { 0.0 };
    let excess = crowded_share - (REFUSAL_THRESHOLD - rank_penalty + retry_bonus);
    (excess / REFUSAL_RAMP).clamp(0.0, MAX_REFUSAL_PROBABILITY)
}

/// The probability that a request of a tenant is refused: of what has to be refused, the tenants that ask for the
/// most lose the most.
///
/// What a tenant asks for beyond an equal part is the least urgent, and does not get in sooner by coming back. So
/// it goes before the queues are such that everybody loses something, and where one tenant sends far more than the
/// others, they mostly lose nothing.
pub fn fair_refusal_probability(inputs: &AdmissionInputs, demand: &TenantDemand) -> f64 {
    let least_urgent = AdmissionInputs { rank: LOWEST_RANK, is_retry: false, ..*inputs };
    let excess = demand.excess_refusal_fraction(refusal_probability(&least_urgent));
    let shared = demand.refusal_fraction(refusal_probability(inputs));
    shared.max(excess).min(MAX_REFUSAL_PROBABILITY)
}

/// Decides about a request; `draw` and `spread` are random numbers from 0 to 1.
pub fn admit(inputs: &AdmissionInputs, draw: f64, spread: f64) -> Admission {
    decide(refusal_probability(inputs), inputs.timeout, draw, spread)
}

/// Decides about a request of a tenant, whose demand counts it already.
pub fn admit_fairly(inputs: &AdmissionInputs, demand: &TenantDemand, draw: f64, spread: f64) -> Admission {
    decide(fair_refusal_probability(inputs, demand), inputs.timeout, draw, spread)
}

fn decide(refusal_probability: f64, timeout: Micros, draw: f64, spread: f64) -> Admission {
    if draw >= refusal_probability {
        return Admission::Admitted;
    }
    let (shortest, longest) = RETRY_AFTER_FRACTIONS;
    let part = shortest + (longest - shortest) * spread;
    let retry_after = Micros((timeout.0 as f64 * part) as u64).min(MAX_RETRY_AFTER);
    Admission::Refused { retry_after }
}

/// Requests of a route that its usual timeout is taken from.
const TIMEOUT_SAMPLES: usize = 32;
/// A caller with less than this part of the usual timeout has probably spent some of it.
const RETRY_TIMEOUT_FRACTION: f64 = 0.95;

/// How long the callers of one route usually wait: tells those who come back, whose time has partly
/// gone by, from those who come for the first time.
#[derive(Clone, Debug, Default)]
pub struct TypicalTimeout {
    recent: VecDeque<Micros>,
}

impl TypicalTimeout {
    /// Notes how long a caller will wait. Returns whether it probably comes back after a refusal.
    pub fn note(&mut self, timeout: Micros) -> bool {
        let usual = self.upper_quartile();
        if self.recent.len() == TIMEOUT_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(timeout);
        usual.is_some_and(|usual| (timeout.0 as f64) < usual.0 as f64 * RETRY_TIMEOUT_FRACTION)
    }

    /// Most callers wait alike; a few wait much longer, and those that come back wait less.
    fn upper_quartile(&self) -> Option<Micros> {
        let mut sorted: Vec<Micros> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() * 3 / 4).copied()
    }
}
