//! What a node keeps for one service between queries.

use std::collections::BTreeMap;
use std::sync::Arc;

use sablebay_model::{Micros, PartitionSet, SnapshotVersion};

use crate::balance::Balancer;
use crate::budget::ExtraLoadBudget;
use crate::latency::LatencyWindow;
use crate::plan::ShardPlan;

/// Mechanisms that an experiment can turn off, to show that its checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Hedging of slow calls.
    pub hedging: bool,
    /// The extra-load budget. Off: every hedge and retry is allowed.
    pub budget: bool,
    /// Rejection of answers at another version than the pinned one.
    pub version_check: bool,
    /// Rejection of answers for other partitions than those asked for, or for a shard that is
    /// already answered.
    pub partition_check: bool,
    /// Replica choice by observation. Off: the first untried candidate.
    pub observation: bool,
    /// Leaving replicas get no new work.
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

/// The settings of a service that matter to routing.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Whether slow calls are hedged.
    pub hedge: bool,
    /// The latency quantile after which a call is hedged.
    pub hedge_quantile: f64,
    /// Hedges and retries in percent of first calls.
    pub extra_load_percent: f64,
    /// Whether failed calls are retried.
    pub retry: bool,
    /// Whether full coverage is worth planning again.
    pub coverage_first: bool,
    /// Mechanisms that are on.
    pub mechanisms: Mechanisms,
}

/// The state of one service on one node.
#[derive(Debug)]
pub struct ServiceRouting {
    /// The settings.
    pub settings: RoutingSettings,
    /// The replicas.
    pub balancer: Balancer,
    /// The extra-load budget.
    pub budget: ExtraLoadBudget,
    /// The shards.
    pub plan: Arc<ShardPlan>,
    recent: LatencyWindow,
    hedge_window: LatencyWindow,
    baseline: LatencyWindow,
    late_share: f64,
}

/// The window that a brownout is seen in.
const RECENT_WINDOW: Micros = Micros::from_secs(4);
/// The window that the hedging quantile is taken over: a small service needs this long for a
/// quantile near one to rest on more than a few calls.
const HEDGE_WINDOW: Micros = Micros::from_secs(20);
/// The window that tells what is baseline for the service.
const BASELINE_WINDOW: Micros = Micros::from_secs(60);
/// Hedge delay while there are too few observations.
const INITIAL_HEDGE_DELAY: Micros = Micros::from_millis(50);
/// The shortest hedge delay.
const MINIMUM_HEDGE_DELAY: Micros = Micros(500);
/// How many times the baseline latency the recent median may be before hedging pauses: when the whole
/// service is slow, a second call is slow too.
const BROWNOUT_FACTOR: u64 = 3;
/// The share of late calls above which hedging pauses.
const BROWNOUT_LATE_SHARE: f64 = 0.35;
/// Weight of one more call in that share: a few late calls in a row are enough.
const LATE_SHARE_WEIGHT: f64 = 0.25;
/// What counts as baseline: a low quantile, which a slow spell takes longer to move than the median.
const BASELINE_QUANTILE: f64 = 0.25;

impl ServiceRouting {
    /// The state of a service that was just configured.
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

    /// Takes new settings; what was observed stays.
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

    /// The time within which a call is expected to be answered: calls that take longer are late.
    pub fn expected_delay(&mut self, now: Micros) -> Micros {
        let quantile = self.hedge_window.quantile(self.settings.hedge_quantile, now);
        quantile.unwrap_or(INITIAL_HEDGE_DELAY).max(MINIMUM_HEDGE_DELAY)
    }

    /// Notes whether a first call was answered within its expected time.
    pub fn record_lateness(&mut self, late: bool) {
        let observed = f64::from(u8::from(late));
        self.late_share += LATE_SHARE_WEIGHT * (observed - self.late_share);
    }

    /// Whether a late call may be hedged. Not while the whole service is slower than baseline.
    pub fn may_hedge(&mut self, now: Micros) -> bool {
        self.hedging_is_on() && (!self.settings.mechanisms.budget || !self.is_brownout(now))
    }

    /// Whether slow calls are hedged at all.
    pub fn hedging_is_on(&self) -> bool {
        self.settings.hedge && self.settings.mechanisms.hedging
    }

    /// Whether the whole service is slower than baseline: many calls in a row were late, or the
    /// recent median is far above what is baseline.
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

    /// Takes a token for an extra call.
    pub fn spend_extra(&mut self, now: Micros) -> bool {
        let allowed = self.budget.spend(now);
        allowed || !self.settings.mechanisms.budget
    }

    /// The newest version that full coverage can be had in, as learnt from answers; failing that
    /// the one that most partitions can be had in. `avoid` is a version found wanting.
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

    /// Whether some replica of every shard has reported which versions it holds.
    pub fn knows_versions(&self) -> bool {
        self.plan
            .shards
            .iter()
            .all(|shard| shard.replicas.iter().any(|index| self.balancer.replica(*index).report.is_some()))
    }

    /// The versions that every one of `partitions` can be had in from some replica.
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
