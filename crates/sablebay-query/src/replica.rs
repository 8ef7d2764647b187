//! Replica state from observed calls and reported load.

use derive_more::Display;

use sablebay_model::{LeafId, Micros, NodeId, SnapshotVersion, ZoneName};

/// Destination of a call: a leaf, or a peer that aggregates leaves.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    #[display("leaf {_0}")]
    Leaf(LeafId),
    /// A node that calls leaves on behalf of this node.
    #[display("peer {_0}")]
    Peer(NodeId),
}

/// Index of a replica in the table of its service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaIndex(pub u32);

/// Load reported by a replica with each answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Running calls, from all nodes.
    pub in_flight: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the replica is leaving.
    pub draining: bool,
    /// Index versions held by the replica.
    pub versions: Vec<SnapshotVersion>,
}

#[derive(Clone, Debug)]
pub struct ReplicaState {
    pub target: Target,
    pub zone: ZoneName,
    /// Calls from this node that are in flight.
    pub in_flight: u32,
    /// Moving average of the latency, in microseconds; zero if never observed.
    pub latency_us: f64,
    /// Failures since the last answer.
    pub consecutive_failures: u32,
    pub last_failure_at: Micros,
    /// Start of the warm-up period: when the replica was discovered or recovered.
    pub warm_since: Micros,
    /// Last load report and the time it was received.
    pub report: Option<(LoadReport, Micros)>,
    /// Whether any source has reported that the replica is leaving.
    pub leaving: bool,
    /// Whether the zone of the replica is evacuated.
    pub evacuated: bool,
}

/// Smoothing factor of the latency average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Smoothing factor for observations above the average, so that slowdowns are detected sooner.
const SLOWER_LATENCY_WEIGHT: f64 = 0.4;
/// Assumed latency of a replica without observations, in microseconds.
const UNOBSERVED_LATENCY_US: f64 = 1_000.0;
/// Age at which a load report expires.
const REPORT_LIFETIME: Micros = Micros::from_secs(2);
/// Duration of the warm-up of a new replica.
const WARM_UP: Micros = Micros::from_secs(5);
/// Initial fraction of the full weight of a new replica.
const INITIAL_WEIGHT: f64 = 0.2;
/// Initial quarantine; doubles with each further failure.
const FIRST_QUARANTINE: Micros = Micros::from_millis(100);
/// Maximum quarantine.
const MAXIMUM_QUARANTINE: Micros = Micros::from_secs(5);
/// Consecutive failures that quarantine a replica.
const FAILURES_BEFORE_QUARANTINE: u32 = 2;
/// Half-life of a latency average that is not refreshed, so that a slow replica is tried again.
const LATENCY_HALF_LIFE: Micros = Micros::from_secs(1);

impl ReplicaState {
    pub fn new(target: Target, zone: ZoneName, now: Micros) -> Self {
        Self {
            target,
            zone,
            in_flight: 0,
            latency_us: 0.0,
            consecutive_failures: 0,
            last_failure_at: now,
            warm_since: now,
            report: None,
            leaving: false,
            evacuated: false,
        }
    }

    /// Records a successful answer. Warm-up restarts after a quarantine.
    pub fn answered(&mut self, latency: Micros, now: Micros) {
        if self.consecutive_failures >= FAILURES_BEFORE_QUARANTINE {
            self.warm_since = now;
        }
        self.consecutive_failures = 0;
        self.observe(latency);
    }

    /// Records a latency, or the elapsed time of a pending call.
    pub fn observe(&mut self, latency: Micros) {
        let observed = latency.0 as f64;
        if self.latency_us == 0.0 {
            self.latency_us = observed;
        } else {
            let weight = if observed > self.latency_us { SLOWER_LATENCY_WEIGHT } else { LATENCY_WEIGHT };
            self.latency_us += weight * (observed - self.latency_us);
        }
    }

    /// Records a call that failed or timed out.
    pub fn failed(&mut self, now: Micros) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.last_failure_at = now;
    }

    /// Records the load reported by the replica.
    pub fn reported(&mut self, report: LoadReport, now: Micros) {
        self.leaving |= report.draining;
        self.report = Some((report, now));
    }

    /// Returns the end of the quarantine, or zero if the replica is not quarantined.
    pub fn quarantined_until(&self) -> Micros {
        if self.consecutive_failures < FAILURES_BEFORE_QUARANTINE {
            return Micros(0);
        }
        let doublings = (self.consecutive_failures - FAILURES_BEFORE_QUARANTINE).min(10);
        let pause = Micros(FIRST_QUARANTINE.0 << doublings).min(MAXIMUM_QUARANTINE);
        self.last_failure_at.plus(pause)
    }

    /// Returns whether calls may be sent to the replica. Observed failures take precedence over
    /// reported health. After a quarantine one trial call is allowed at a time.
    pub fn is_usable(&self, now: Micros) -> bool {
        let trial_running = self.consecutive_failures >= FAILURES_BEFORE_QUARANTINE && self.in_flight > 0;
        !trial_running && self.quarantined_until() <= now
    }

    /// Returns whether the replica holds `version`, or `None` if no report was received.
    pub fn holds(&self, version: SnapshotVersion) -> Option<bool> {
        let (report, _) = self.report.as_ref()?;
        Some(report.versions.contains(&version))
    }

    /// Returns the expected cost of one more call; lower is better.
    pub fn cost(&self, now: Micros, last_answer_age: Micros) -> f64 {
        let latency = self.decayed_latency(last_answer_age);
        let reported = self.report.as_ref().filter(|(_, at)| now.since(*at) <= REPORT_LIFETIME);
        let pressure =
            reported.map_or(0.0, |(report, _)| f64::from(report.in_flight) / f64::from(report.slots.max(1)));
        let failures = 1.0 + f64::from(self.consecutive_failures);
        latency * f64::from(self.in_flight + 1) * (1.0 + pressure) * failures / self.warm_up_weight(now)
    }

    fn decayed_latency(&self, age: Micros) -> f64 {
        if self.latency_us == 0.0 {
            return UNOBSERVED_LATENCY_US;
        }
        let half_lives = age.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        (self.latency_us * 0.5f64.powf(half_lives)).max(UNOBSERVED_LATENCY_US.min(self.latency_us))
    }

    /// Returns the fraction of the full weight: rises from [`INITIAL_WEIGHT`] to 1 during warm-up.
    fn warm_up_weight(&self, now: Micros) -> f64 {
        let age = now.since(self.warm_since).as_secs_f64() / WARM_UP.as_secs_f64();
        (INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * age).min(1.0)
    }
}
