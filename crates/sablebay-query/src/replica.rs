//! What a node knows of one replica from its own calls, and what the replica reports of itself.

use derive_more::Display;

use sablebay_model::{LeafId, Micros, NodeId, SnapshotVersion, ZoneName};

/// What a call goes to: a leaf, or a peer that aggregates leaves.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// A leaf.
    #[display("leaf {_0}")]
    Leaf(LeafId),
    /// A node that calls leaves on this node's behalf.
    #[display("peer {_0}")]
    Peer(NodeId),
}

/// The position of a replica in its service's table.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaIndex(pub u32);

/// What a replica says of itself with each answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Calls that it is running, from all nodes.
    pub in_flight: u32,
    /// Calls that it can run at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// The index versions that it holds.
    pub versions: Vec<SnapshotVersion>,
}

/// The state of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// What it is.
    pub target: Target,
    /// Its zone.
    pub zone: ZoneName,
    /// This node's calls that it has not answered yet.
    pub in_flight: u32,
    /// Moving average of its latency, in microseconds. Zero: not observed.
    pub latency_us: f64,
    /// Failures since its last answer.
    pub consecutive_failures: u32,
    /// When the last failure happened.
    pub last_failure_at: Micros,
    /// When it was first seen, or came back; its weight grows from then on.
    pub warm_since: Micros,
    /// Its own last report, with the time it came in.
    pub report: Option<(LoadReport, Micros)>,
    /// Whether this node was told, by any path, that it is leaving.
    pub leaving: bool,
    /// Whether its zone is evacuated.
    pub evacuated: bool,
}

/// Weight of a new observation in the latency average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of an observation that is slower than the average: slowness is believed sooner.
const SLOWER_LATENCY_WEIGHT: f64 = 0.4;
/// Latency assumed of a replica that was never observed, in microseconds.
const UNOBSERVED_LATENCY_US: f64 = 1_000.0;
/// How long a report is believed.
const REPORT_LIFETIME: Micros = Micros::from_secs(2);
/// How long a new replica is held back.
const WARM_UP: Micros = Micros::from_secs(5);
/// The share of its normal weight that a new replica starts with.
const INITIAL_WEIGHT: f64 = 0.2;
/// The first pause after repeated failures; doubles with each further one.
const FIRST_QUARANTINE: Micros = Micros::from_millis(100);
/// The longest pause after repeated failures.
const MAXIMUM_QUARANTINE: Micros = Micros::from_secs(5);
/// Failures in a row after which a replica is left alone for a while.
const FAILURES_BEFORE_QUARANTINE: u32 = 2;
/// Time over which an average that is not refreshed falls back by half: a replica that was slow
/// gets new trials.
const LATENCY_HALF_LIFE: Micros = Micros::from_secs(1);

impl ReplicaState {
    /// A replica that was just seen for the first time.
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

    /// Records an answer after `latency`.
    pub fn answered(&mut self, latency: Micros, now: Micros) {
        if self.consecutive_failures >= FAILURES_BEFORE_QUARANTINE {
            self.warm_since = now;
        }
        self.consecutive_failures = 0;
        self.observe(latency);
    }

    /// Records that a call has taken at least `latency` so far.
    pub fn observe(&mut self, latency: Micros) {
        let observed = latency.0 as f64;
        if self.latency_us == 0.0 {
            self.latency_us = observed;
        } else {
            let weight = if observed > self.latency_us { SLOWER_LATENCY_WEIGHT } else { LATENCY_WEIGHT };
            self.latency_us += weight * (observed - self.latency_us);
        }
    }

    /// Records a call that failed or never came back.
    pub fn failed(&mut self, now: Micros) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.last_failure_at = now;
    }

    /// Records the replica's own report.
    pub fn reported(&mut self, report: LoadReport, now: Micros) {
        self.leaving |= report.draining;
        self.report = Some((report, now));
    }

    /// Until when the replica is left alone after failures.
    pub fn quarantined_until(&self) -> Micros {
        if self.consecutive_failures < FAILURES_BEFORE_QUARANTINE {
            return Micros(0);
        }
        let doublings = (self.consecutive_failures - FAILURES_BEFORE_QUARANTINE).min(10);
        let pause = Micros(FIRST_QUARANTINE.0 << doublings).min(MAXIMUM_QUARANTINE);
        self.last_failure_at.plus(pause)
    }

    /// Whether calls may go to the replica now. Own failures outrank any healthy report.
    pub fn is_usable(&self, now: Micros) -> bool {
        let trial_running = self.consecutive_failures >= FAILURES_BEFORE_QUARANTINE && self.in_flight > 0;
        !trial_running && self.quarantined_until() <= now
    }

    /// Whether the replica holds `version`, as far as is known.
    pub fn holds(&self, version: SnapshotVersion) -> Option<bool> {
        let (report, _) = self.report.as_ref()?;
        Some(report.versions.contains(&version))
    }

    /// The expected cost of one more call; lower is better.
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

    /// The share of its normal weight, from [`INITIAL_WEIGHT`] to one while it warms up.
    fn warm_up_weight(&self, now: Micros) -> f64 {
        let age = now.since(self.warm_since).as_secs_f64() / WARM_UP.as_secs_f64();
        (INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * age).min(1.0)
    }
}
