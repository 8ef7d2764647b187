//! Per-service routing state that outlives a query.

use std::collections::BTreeMap;
use std::sync::Arc;

use sablebay_model::{Micros, PartitionSet, SnapshotVersion};

use crate::balance::Balancer;
use crate::budget::ExtraLoadBudget;
use crate::latency::LatencyWindow;
use crate::plan::ShardPlan;

/// Mechanisms that fault-injection tests can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    pub hedging: bool,
    /// The extra-load budget. If disabled, every hedge and retry is allowed.
    pub budget: bool,
    /// Rejection of answers at a version other than the pinned one.
    pub version_check: bool,
    /// Rejection of answers whose partitions differ from the requested ones, and of duplicate
    /// answers for a shard.
    pub partition_check: bool,
    /// Replica selection by observed load. If disabled, the first untried candidate is chosen.
    pub observation: bool,
    /// Exclusion of leaving replicas.
    pub leaving: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            hedging: true,
            budget: true,
            version_check: true,
            partition_check: true,
            observation: true,
            leaving: true,
        }
    }
}

/// Routing settings of a service.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    pub hedge: bool,
    /// Latency quantile after which a call is hedged.
    pub hedge_quantile: f64,
    /// Limit on hedges and retries, in percent of first calls.
    pub extra_load_percent: f64,
    pub retry: bool,
    /// Whether to replan a query at another version to reach full coverage.
    pub coverage_first: bool,
    pub mechanisms: Mechanisms,
}

/// Routing state of one service on one node.
#[derive(Debug)]
pub struct ServiceRouting {
    pub settings: RoutingSettings,
    pub balancer: Balancer,
    pub budget: ExtraLoadBudget,
    pub plan: Arc<ShardPlan>,
    recent: LatencyWindow,
    hedge_window: LatencyWindow,
    baseline: LatencyWindow,
    late_share: f64,
}

/// Window for brownout detection.
const RECENT_WINDOW: Micros = Micros::from_secs(4);
/// Window of the hedging quantile; long enough for high quantiles of a service with little traffic.
const HEDGE_WINDOW: Micros = Micros::from_secs(20);
/// Window of the baseline latency.
const BASELINE_WINDOW: Micros = Micros::from_secs(60);
/// Hedge delay while there are too few observations for a quantile.
const INITIAL_HEDGE_DELAY: Micros = Micros::from_millis(50);
const MINIMUM_HEDGE_DELAY: Micros = Micros(500);
/// Ratio of the recent median to the baseline above which hedging pauses.
const BROWNOUT_FACTOR: u64 = 3;
/// Fraction of late calls above which hedging pauses.
const BROWNOUT_LATE_SHARE: f64 = 0.35;
/// Smoothing factor of the fraction of late calls.
const LATE_SHARE_WEIGHT: f64 = 0.25;
/// Quantile used as the baseline; a low one reacts slowly to a temporary slowdown.
const BASELINE_QUANTILE: f64 = 0.25;

impl ServiceRouting {
    /// Creates the state of a newly configured service.
    pub fn new(settings: RoutingSettings, now: Micros) -> Self {
        Self {
            budget: ExtraLoadBudget::new(settings.extra_load_percent, now),
            balancer: Balancer::new(settings.mechanisms.leaving),
            settings,
            plan: Arc::default(),
            recent: LatencyWindow::new(RECENT_WINDOW, now),
            hedge_window: LatencyWindow::new(HEDGE_WINDOW, now),
            baseline: LatencyWindow::new(BASELINE_WINDOW, now),
            late_share: 0.0,
        }
    }

    /// Applies new settings. Observations are kept.
    pub fn reconfigure(&mut self, settings: RoutingSettings) {
        self.budget.set_percent(settings.extra_load_percent);
        self.settings = settings;
    }

    /// Records the latency of an answered first call.
    pub fn record_latency(&mut self, latency: Micros, now: Micros) {
        self.recent.record(latency, now);
        self.hedge_window.record(latency, now);
        self.baseline.record(latency, now);
    }

    /// Returns the delay after which a call is late.
    pub fn expected_delay(&mut self, now: Micros) -> Micros {
        let quantile = self.hedge_window.quantile(self.settings.hedge_quantile, now);
        quantile.unwrap_or(INITIAL_HEDGE_DELAY).max(MINIMUM_HEDGE_DELAY)
    }

    /// Records whether a call exceeded its expected delay.
    pub fn record_lateness(&mut self, late: bool) {
        let observed = f64::from(u8::from(late));
        self.late_share += LATE_SHARE_WEIGHT * (observed - self.late_share);
    }

    /// Returns whether a late call may be hedged. Hedging pauses during a brownout.
    pub fn may_hedge(&mut self, now: Micros) -> bool {
        self.hedging_is_on() && (!self.settings.mechanisms.budget || !self.is_brownout(now))
    }

    /// Returns whether hedging is enabled.
    pub fn hedging_is_on(&self) -> bool {
        self.settings.hedge && self.settings.mechanisms.hedging
    }

    /// Returns whether the whole service is slow: many consecutive calls were late, or the recent
    /// median is far above the baseline.
    fn is_brownout(&mut self, now: Micros) -> bool {
        if self.late_share > BROWNOUT_LATE_SHARE {
            return true;
        }
        let recent = self.recent.quantile(0.5, now);
        let baseline = self.baseline.quantile(BASELINE_QUANTILE, now);
        match (recent, baseline) {
            (Some(recent), Some(baseline)) => recent.0 > baseline.0 * BROWNOUT_FACTOR,
            _ => false,
        }
    }

    /// Takes a token for an extra call. Returns false if the call is not allowed.
    pub fn spend_extra(&mut self, now: Micros) -> bool {
        let allowed = self.budget.spend(now);
        allowed || !self.settings.mechanisms.budget
    }

    /// Returns the version reported for the most partitions, the newest if several tie, excluding
    /// `avoid`.
    pub fn best_version(&self, avoid: Option<SnapshotVersion>) -> Option<SnapshotVersion> {
        let mut covered: BTreeMap<SnapshotVersion, u32> = BTreeMap::new();
        for shard in &self.plan.shards {
            let mut versions: Vec<SnapshotVersion> = Vec::new();
            for index in &shard.replicas {
                let replica = self.balancer.replica(*index);
                let report = replica.report.iter().filter(|_| !replica.leaving);
                versions.extend(report.flat_map(|(report, _)| &report.versions));
            }
            versions.sort_unstable();
            versions.dedup();
            for version in versions {
                *covered.entry(version).or_default() += shard.partitions.len();
            }
        }
        let usable = covered.into_iter().filter(|(version, _)| Some(*version) != avoid);
        usable.max_by_key(|(version, partitions)| (*partitions, *version)).map(|(version, _)| version)
    }

    /// Returns whether at least one replica of every shard has reported its versions.
    pub fn knows_versions(&self) -> bool {
        self.plan
            .shards
            .iter()
            .all(|shard| shard.replicas.iter().any(|index| self.balancer.replica(*index).report.is_some()))
    }

    /// Returns the versions reported for all shards that intersect `partitions`.
    pub fn versions_for(&self, partitions: &PartitionSet) -> Vec<SnapshotVersion> {
        let mut common: Option<Vec<SnapshotVersion>> = None;
        for shard in self.plan.shards.iter().filter(|shard| shard.partitions.intersects(partitions)) {
            let mut held: Vec<SnapshotVersion> = shard
                .replicas
                .iter()
                .filter_map(|index| self.balancer.replica(*index).report.as_ref())
                .flat_map(|(report, _)| report.versions.iter().copied())
                .collect();
            held.sort_unstable();
            held.dedup();
            common = Some(match common {
                None => held,
                Some(before) => before.into_iter().filter(|version| held.contains(version)).collect(),
            });
        }
        common.unwrap_or_default()
    }
}
