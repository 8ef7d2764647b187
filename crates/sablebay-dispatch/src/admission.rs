//! Admission control: refuses requests early that are unlikely to be answered within their deadline.
//!
//! The load measure is the share of a request's shards whose replicas all report a queue. Above a threshold,
//! the refusal probability rises linearly with that share, so that nodes with the same view shed a part of
//! the load instead of all or nothing. The threshold is lower for less urgent requests and higher for retries
//! of refused requests.

use std::collections::VecDeque;

use sablebay_model::Micros;

use crate::tenant_shares::TenantDemand;

/// Share of crowded shards up to which all requests of the highest urgency are admitted.
const REFUSAL_THRESHOLD: f64 = 0.5;
/// Reduction of the threshold per rank of lower urgency.
const RANK_THRESHOLD_STEP: f64 = 0.12;
/// Ranks above this value are treated alike.
pub const LOWEST_RANK: u32 = 2;
/// Increase of the threshold for retries of refused requests.
const RETRY_THRESHOLD_BONUS: f64 = 0.3;
/// Increase of the crowded share above the threshold at which the refusal probability would reach 1.
const REFUSAL_RAMP: f64 = 0.6;
/// Upper bound of the refusal probability; admitted requests provide fresh load hints.
const MAX_REFUSAL_PROBABILITY: f64 = 0.8;
/// Minimum and maximum `retry_after`, as fractions of the caller's timeout.
const RETRY_AFTER_FRACTIONS: (f64, f64) = (0.15, 0.3);
/// Upper bound of `retry_after`.
const MAX_RETRY_AFTER: Micros = Micros::from_millis(700);

#[derive(Clone, Copy, Debug)]
pub struct AdmissionInputs {
    /// Number of shards the request targets.
    pub shards: usize,
    /// Number of those shards with a queue at every replica.
    pub crowded: usize,
    /// Urgency rank relative to the most urgent requests for the same services; 0 is the most urgent.
    pub rank: u32,
    /// Whether the request is probably a retry after a refusal.
    pub is_retry: bool,
    /// Remaining time for which the caller waits.
    pub timeout: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admitted,
    /// The request was refused before execution.
    Refused {
        /// Delay after which the caller should retry.
        retry_after: Micros,
    },
}

/// Refusal probability, from 0 to 1.
///
/// Single-shard requests are never refused here: their replicas reject excess load themselves, and no work on
/// other shards is wasted.
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

/// Refusal probability for a request of a tenant: tenants with the highest demand are refused first.
///
/// Demand above an equal share is treated as least urgent, without the bonus for retries. It is refused
/// before other requests, so that a flood of one tenant mostly affects that tenant.
pub fn fair_refusal_probability(inputs: &AdmissionInputs, demand: &TenantDemand) -> f64 {
    let least_urgent = AdmissionInputs { rank: LOWEST_RANK, is_retry: false, ..*inputs };
    let excess = demand.excess_refusal_fraction(refusal_probability(&least_urgent));
    let shared = demand.refusal_fraction(refusal_probability(inputs));
    shared.max(excess).min(MAX_REFUSAL_PROBABILITY)
}

/// Admits or refuses a request; `draw` and `spread` are random numbers from 0 to 1.
pub fn admit(inputs: &AdmissionInputs, draw: f64, spread: f64) -> Admission {
    decide(refusal_probability(inputs), inputs.timeout, draw, spread)
}

/// Like [`admit`], for a tenant's request that is already counted in `demand`.
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

/// Number of recent requests per route from which the typical timeout is derived.
const TIMEOUT_SAMPLES: usize = 32;
/// A timeout below this fraction of the typical one indicates a retry that has used up part of its time.
const RETRY_TIMEOUT_FRACTION: f64 = 0.95;

/// Typical timeout of a route's callers, used to detect retries by their shorter remaining time.
#[derive(Clone, Debug, Default)]
pub struct TypicalTimeout {
    recent: VecDeque<Micros>,
}

impl TypicalTimeout {
    /// Records a caller's timeout and returns whether the request is probably a retry.
    pub fn note(&mut self, timeout: Micros) -> bool {
        let usual = self.upper_quartile();
        if self.recent.len() == TIMEOUT_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(timeout);
        usual.is_some_and(|usual| (timeout.0 as f64) < usual.0 as f64 * RETRY_TIMEOUT_FRACTION)
    }

    /// The upper quartile is robust against retries with short timeouts and the few callers with long ones.
    fn upper_quartile(&self) -> Option<Micros> {
        let mut sorted: Vec<Micros> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() * 3 / 4).copied()
    }
}
