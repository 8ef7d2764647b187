//! Quarantine of requests that crash the back ends that run them.
//!
//! Invariants:
//! - A request is quarantined only after several sequential crashes ([`crash_history`]) without a successful
//!   run in between.
//! - After its first crash, a request runs on one back end at a time across all nodes until a run succeeds.
//!   The lease for that run is granted by one of the request's owner nodes.
//! - After the quarantine, the request is retried with a single run under the same lease.
//! - Memory is bounded regardless of what callers send.

mod crash_history;
mod notice;

use std::collections::HashMap;

use derive_more::Display;
use musli::{Decode, Encode};

use sablebay_catalogue::{ReplicaId, ServiceName};
use sablebay_model::{Micros, RequestDigest};

pub use crash_history::{CrashHistory, CrashedRun, KEPT_CRASHES, ObserverId};
pub use notice::{CrashNotice, QuarantineNotice};

/// Sequential crashes before a request is quarantined. Two can hit an innocent request that ran beside the
/// cause.
pub const QUARANTINE_STRIKES: u32 = 3;
/// Duration of the first quarantine, counted from the last crash. Limits the loss from retries: each attempt
/// takes one back end down for some seconds.
pub const FIRST_HOLD: Micros = Micros::from_secs(60);
/// Factor by which each further strike extends the quarantine.
const HOLD_GROWTH: u64 = 4;
/// Maximum duration of a quarantine, so that a fixed release of the service is tried within this time.
pub const LONGEST_HOLD: Micros = Micros::from_secs(3_600);
/// Retention of an entry after its last event and the end of its quarantine.
const RETENTION: Micros = Micros::from_secs(600);
/// Retention of an entry without strikes, to ignore late notices of crashes that are already cleared.
const CLEARED_RETENTION: Micros = Micros::from_secs(30);
/// Maximum lease duration in multiples of the route's usual call latency. A run that crashes its back end
/// does so sooner, also on a cold replica.
const LEASE_CALL_DURATIONS: u64 = 8;
/// Minimum and maximum lease duration.
const LEASE_BOUNDS: [Micros; 2] = [Micros::from_millis(300), Micros::from_millis(2_000)];
/// Maximum number of tracked requests, of about 600 bytes each. Those with the fewest strikes are evicted
/// first, so that a flood of requests with one crash each does not evict a quarantined one.
pub const MAXIMUM_REQUESTS: usize = 1_024;
/// First strikes that are broadcast to all nodes per second; further ones are sent to the owners only, so
/// that simultaneous crashes of many back ends do not flood the fleet.
const FIRST_STRIKE_BROADCASTS_PER_S: u32 = 16;
/// Maximum number of requests reported in one message between nodes.
pub const NOTICES_PER_MESSAGE: usize = 256;

/// Maximum lease duration of one run, for a route whose calls usually take `usual`.
pub fn lease_duration(usual: Micros) -> Micros {
    let [least, most] = LEASE_BOUNDS;
    Micros(usual.0.saturating_mul(LEASE_CALL_DURATIONS)).clamp(least, most)
}

/// Identifies a run across all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunId {
    /// Node that starts the run.
    pub node: ObserverId,
    /// Call number, unique on that node.
    pub call: u64,
}

/// Request of a run for the fleet-wide exclusive lease of its suspect request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LeaseRequest {
    pub run: RunId,
    /// Time after which the lease expires; see [`lease_duration`].
    pub duration: Micros,
}

/// Quarantine state of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No crashes count against the request.
    #[display("clear")]
    Clear,
    /// Back ends crashed while running the request: it runs on one back end at a time.
    #[display("suspect")]
    Suspect,
    /// The request is not sent to any back end.
    #[display("held back")]
    Quarantined {
        /// End of the quarantine.
        until: Micros,
    },
    /// The quarantine is over: the request runs on one back end, and another crash extends the quarantine.
    #[display("on trial")]
    Probation,
}

/// Whether a run of a request may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermit {
    /// No restriction.
    Free,
    /// The run needs the lease of its request; see [`Quarantine::grant`].
    NeedsLease,
    /// The request is quarantined.
    Refused {
        /// Time until the next attempt is allowed.
        retry_after: Micros,
    },
}

/// Recipients of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// The owners of the request: the few nodes responsible for its lease and history.
    Owners,
    AllNodes,
}

/// The current lease of a request.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    run: RunId,
    /// Expiry of the lease.
    until: Micros,
}

/// First strikes broadcast to all nodes within the current second.
#[derive(Clone, Copy, Debug, Default)]
struct BroadcastCount {
    second: u64,
    count: u32,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    route: String,
    history: CrashHistory,
    /// The current lease, if this node granted it.
    lease: Option<HeldLease>,
    /// Number of strikes last broadcast to all nodes.
    broadcast_strikes: u32,
    /// Whether the history changed since the last update to the owners.
    has_unsent_update: bool,
}

/// Crash histories of requests, as known to one node.
#[derive(Debug, Default)]
pub struct Quarantine {
    requests: HashMap<RequestDigest, Entry>,
    broadcasts: BroadcastCount,
}

/// A request with strikes, for operators.
#[derive(Clone, Debug)]
pub struct Suspect<'a> {
    pub digest: RequestDigest,
    pub route: &'a str,
    pub history: &'a CrashHistory,
    pub status: QuarantineStatus,
}

impl Entry {
    fn status(&self, now: Micros) -> QuarantineStatus {
        match self.history.strikes() {
            0 => QuarantineStatus::Clear,
            strikes if strikes < QUARANTINE_STRIKES => QuarantineStatus::Suspect,
            strikes => {
                let until = self.history.last_crash_at().plus(hold(strikes));
                if now < until {
                    QuarantineStatus::Quarantined { until }
                } else {
                    QuarantineStatus::Probation
                }
            }
        }
    }

    /// Whether a run at `service` may start without a lease: a run succeeded since the last crash and, from
    /// the second strike on, no crash at `service` counts against the request.
    fn allows_concurrent_run(&self, service: &ServiceName) -> bool {
        let strikes = self.history.strikes();
        self.history.succeeded_since_last_crash() && (strikes <= 1 || !self.history.has_crash_at(service))
    }

    /// Whether the entry can be removed.
    fn is_expired(&self, now: Micros) -> bool {
        let strikes = self.history.strikes();
        let held = if strikes >= QUARANTINE_STRIKES { hold(strikes) } else { Micros(0) };
        let retention = if strikes == 0 { CLEARED_RETENTION } else { RETENTION };
        now > self.history.last_event().plus(held).plus(retention)
    }
}

/// Duration of the quarantine for a number of strikes.
fn hold(strikes: u32) -> Micros {
    let growth = HOLD_GROWTH.saturating_pow(strikes.saturating_sub(QUARANTINE_STRIKES));
    Micros(FIRST_HOLD.0.saturating_mul(growth)).min(LONGEST_HOLD)
}

impl Quarantine {
    pub fn status(&self, digest: &RequestDigest, now: Micros) -> QuarantineStatus {
        self.requests.get(digest).map_or(QuarantineStatus::Clear, |entry| entry.status(now))
    }

    /// Whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a run at `service` may start now.
    pub fn permit(&self, digest: &RequestDigest, service: &ServiceName, now: Micros) -> RunPermit {
        let Some(entry) = self.requests.get(digest) else {
            return RunPermit::Free;
        };
        match entry.status(now) {
            QuarantineStatus::Clear => RunPermit::Free,
            QuarantineStatus::Quarantined { until } => RunPermit::Refused { retry_after: until.since(now) },
            QuarantineStatus::Suspect | QuarantineStatus::Probation
                if entry.allows_concurrent_run(service) =>
            {
                RunPermit::Free
            }
            QuarantineStatus::Suspect | QuarantineStatus::Probation => RunPermit::NeedsLease,
        }
    }

    /// Grants the lease of a request to a run; returns false while another run holds it. All nodes ask the
    /// same owner, so that concurrent attempts on several nodes cost one back end.
    pub fn grant(&mut self, digest: &RequestDigest, wanted: LeaseRequest, now: Micros) -> bool {
        let Some(entry) = self.requests.get_mut(digest) else {
            // No crash is known here: the notice that came with the lease request was merged before.
            return true;
        };
        let taken = entry.lease.is_some_and(|lease| lease.run != wanted.run && now < lease.until);
        if !taken {
            entry.lease = Some(HeldLease { run: wanted.run, until: now.plus(wanted.duration) });
        }
        !taken
    }

    /// Releases the lease of a finished run. Returns whether the run held it.
    pub fn release_lease(&mut self, digest: &RequestDigest, run: RunId) -> bool {
        let Some(entry) = self.requests.get_mut(digest) else {
            return false;
        };
        let held_lease = entry.lease.is_some_and(|lease| lease.run == run);
        if held_lease {
            entry.lease = None;
        }
        held_lease
    }

    /// Records a crash of a back end during a run. Returns the status of the request before the crash.
    pub fn record_crash(
        &mut self,
        digest: RequestDigest,
        route: &str,
        run: CrashedRun,
        now: Micros,
    ) -> QuarantineStatus {
        let before = self.status(&digest, now);
        if !self.requests.contains_key(&digest) {
            self.evict_if_full(now);
        }
        let entry = self.requests.entry(digest).or_default();
        if entry.route.is_empty() {
            entry.route = route.to_string();
        }
        entry.has_unsent_update |= entry.history.record_crash(run);
        before
    }

    /// Records a successful run. Returns whether the history changed.
    pub fn record_success(
        &mut self,
        digest: &RequestDigest,
        service: &ServiceName,
        started_at: Micros,
    ) -> bool {
        let Some(entry) = self.requests.get_mut(digest) else {
            return false;
        };
        let changed = entry.history.record_success(service, started_at);
        entry.has_unsent_update |= changed;
        changed
    }

    /// Releases a request from quarantine on behalf of an operator. Returns whether the request is tracked
    /// here.
    pub fn release(&mut self, digest: &RequestDigest, now: Micros) -> bool {
        let Some(entry) = self.requests.get_mut(digest) else {
            return false;
        };
        entry.history.record_release(now);
        entry.has_unsent_update = true;
        // Broadcast the release, since any node may have learned of the crashes from its peers.
        entry.broadcast_strikes = entry.broadcast_strikes.max(1);
        true
    }

    /// Merges a notice from another node; `is_broadcast` means that it was sent to all nodes. Returns whether
    /// the history changed.
    pub fn merge_notice(&mut self, notice: &QuarantineNotice, is_broadcast: bool, now: Micros) -> bool {
        if !self.requests.contains_key(&notice.digest) {
            if notice.crashes.is_empty() {
                return false;
            }
            self.evict_if_full(now);
        }
        let entry = self.requests.entry(notice.digest).or_default();
        if entry.route.is_empty() {
            entry.route = notice.route.clone();
        }
        let changed = notice.merge_into(&mut entry.history, now);
        if is_broadcast {
            entry.broadcast_strikes = entry.history.strikes();
        }
        changed
    }

    /// Returns pending updates with their recipients. Each update is returned once; nodes that miss it catch
    /// up by anti-entropy.
    pub fn take_updates(&mut self, now: Micros) -> Vec<(QuarantineNotice, Audience)> {
        let mut updates = Vec::new();
        let second = now.0 / 1_000_000;
        if self.broadcasts.second != second {
            self.broadcasts = BroadcastCount { second, count: 0 };
        }
        for (digest, entry) in &mut self.requests {
            let strikes = entry.history.strikes();
            // Strikes that were broadcast are also withdrawn by broadcast.
            let mut to_all = (strikes >= 2 && strikes > entry.broadcast_strikes)
                || (strikes < entry.broadcast_strikes && entry.has_unsent_update);
            let is_first = strikes == 1 && entry.broadcast_strikes == 0 && entry.has_unsent_update;
            if is_first && self.broadcasts.count < FIRST_STRIKE_BROADCASTS_PER_S {
                self.broadcasts.count += 1;
                to_all = true;
            }
            if !to_all && !entry.has_unsent_update {
                continue;
            }
            entry.has_unsent_update = false;
            let audience = if to_all { Audience::AllNodes } else { Audience::Owners };
            if to_all {
                entry.broadcast_strikes = strikes;
            }
            updates.push((QuarantineNotice::of(*digest, &entry.route, &entry.history, now), audience));
        }
        updates
    }

    /// Notice about one request, for a node to which a part of the request is delegated.
    pub fn notice(&self, digest: &RequestDigest, now: Micros) -> Option<QuarantineNotice> {
        let entry = self.requests.get(digest)?;
        Some(QuarantineNotice::of(*digest, &entry.route, &entry.history, now))
    }

    /// Notices for anti-entropy with another node, limited to the requests with the most strikes.
    pub fn notices(&self, now: Micros) -> Vec<QuarantineNotice> {
        let mut known: Vec<(&RequestDigest, &Entry)> = self.requests.iter().collect();
        known.sort_by_key(|(digest, entry)| (std::cmp::Reverse(entry.history.strikes()), **digest));
        let notice = |(digest, entry): &(&RequestDigest, &Entry)| {
            QuarantineNotice::of(**digest, &entry.route, &entry.history, now)
        };
        known.iter().take(NOTICES_PER_MESSAGE).map(notice).collect()
    }

    /// Requests with strikes, for operators.
    pub fn suspects<'a>(&'a self, now: Micros) -> Vec<Suspect<'a>> {
        let suspect = |(digest, entry): (&RequestDigest, &'a Entry)| Suspect {
            digest: *digest,
            route: &entry.route,
            history: &entry.history,
            status: entry.status(now),
        };
        let mut suspects: Vec<Suspect<'a>> = self.requests.iter().map(suspect).collect();
        suspects.retain(|suspect| suspect.status != QuarantineStatus::Clear);
        suspects.sort_by_key(|suspect| (std::cmp::Reverse(suspect.history.strikes()), suspect.digest));
        suspects
    }

    /// Replicas with a recorded crash, and when the crash became known.
    pub fn ended_replicas(&self) -> Vec<(ReplicaId, Micros)> {
        let crashes = self.requests.values().flat_map(|entry| entry.history.crashes());
        crashes.map(|run| (run.replica.clone(), run.known_at)).collect()
    }

    /// Number of tracked requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Micros) {
        self.requests.retain(|_, entry| !entry.is_expired(now));
    }

    /// Evicts the entry with the fewest strikes if the table is full.
    fn evict_if_full(&mut self, now: Micros) {
        if self.requests.len() < MAXIMUM_REQUESTS {
            return;
        }
        self.expire(now);
        if self.requests.len() < MAXIMUM_REQUESTS {
            return;
        }
        let least = self
            .requests
            .iter()
            .min_by_key(|(digest, entry)| (entry.history.strikes(), entry.history.last_event(), **digest));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.requests.remove(&digest);
        }
    }
}
