//! Requests that end the back ends which run them: kept from the rest before they have ended them all.
//!
//! Invariants kept here:
//! - a request is held back only after several back ends in a row ended under it, each begun after the one before had
//!   ended ([`crash_history`]), without a good run in between;
//! - a request that one back end ended under is sent to one back end at a time until a run of it ends well: by all
//!   nodes together, which ask the one of them that keeps account of it first;
//! - a request whose quarantine is over is tried in the same way, with one call;
//! - what is kept is bounded, whatever callers send.

mod crash_history;
mod notice;

use std::collections::HashMap;

use derive_more::Display;
use musli::{Decode, Encode};

use sablebay_catalogue::{ReplicaId, ServiceName};
use sablebay_model::{Micros, RequestDigest};

pub use crash_history::{CrashHistory, CrashedRun, KEPT_CRASHES, ObserverId};
pub use notice::{CrashNotice, QuarantineNotice};

/// Back ends that end one after the other under a request before it is held back. Two in a row happen to requests
/// that merely stood where others struck twice; with three no innocent request was held back in the property tests.
pub const QUARANTINE_STRIKES: u32 = 3;
/// How long a request is held back after the last strike that it needs for that. One attempt costs a back end
/// that is gone for seconds, so that a minute keeps the loss below a tenth of one back end.
pub const FIRST_HOLD: Micros = Micros::from_secs(60);
/// Each further strike makes the next quarantine longer by this factor.
const HOLD_GROWTH: u64 = 4;
/// The longest quarantine: a release of the service that bears the request is tried within this time.
pub const LONGEST_HOLD: Micros = Micros::from_secs(3_600);
/// How long what speaks against a request is remembered beyond that.
const RETENTION: Micros = Micros::from_secs(600);
/// How long it is remembered that nothing speaks against a request any more: word of what was taken back may
/// still be on its way.
const CLEARED_RETENTION: Micros = Micros::from_secs(30);
/// How long one run keeps the others of a suspect request waiting, in multiples of what a call of its route
/// usually takes: a back end that ends under it does so sooner, also while it is slow from its start, and one
/// that is silent says nothing.
const LEASE_CALL_DURATIONS: u64 = 8;
/// Bounds of that.
const LEASE_BOUNDS: [Micros; 2] = [Micros::from_millis(300), Micros::from_millis(2_000)];
/// Requests that are remembered, of some 600 bytes each. Those with the fewest strikes are forgotten first, so
/// that a flood of requests which end one back end each does not set a known one free.
pub const MAXIMUM_REQUESTS: usize = 1_024;
/// First strikes that are told to every node within a second; keepers alone are told of more. One request that
/// ends its back ends is known everywhere at once; many that stood at back ends which ended together do not
/// flood the fleet.
const FIRST_STRIKE_BROADCASTS_PER_S: u32 = 16;
/// Requests that one message between nodes tells of.
pub const NOTICES_PER_MESSAGE: usize = 256;

/// How long one run of a suspect request keeps the others waiting, of a route whose calls usually take `usual`.
pub fn lease_duration(usual: Micros) -> Micros {
    let [least, most] = LEASE_BOUNDS;
    Micros(usual.0.saturating_mul(LEASE_CALL_DURATIONS)).clamp(least, most)
}

/// Names a run among those of all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunId {
    /// The node that would begin it.
    pub node: ObserverId,
    /// The call among all of that node.
    pub call: u64,
}

/// A run that wants the lease of its suspect request, which one run at a time has over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LeaseRequest {
    /// The run.
    pub run: RunId,
    /// How long it keeps others waiting at the most; see [`lease_duration`].
    pub duration: Micros,
}

/// What may be done with a request now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing speaks against it.
    #[display("clear")]
    Clear,
    /// Back ends ended under it: it goes to one at a time.
    #[display("suspect")]
    Suspect,
    /// Nothing of it is sent until then.
    #[display("held back")]
    Quarantined {
        /// When its quarantine is over.
        until: Micros,
    },
    /// Its quarantine is over: it goes to one back end, and is held back for longer when that ends too.
    #[display("on trial")]
    Probation,
}

/// Whether a run of a request may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermit {
    /// It may.
    Free,
    /// It may once it has the request's lease; see [`Quarantine::grant`].
    NeedsLease,
    /// Not before this time has passed.
    Refused {
        /// The time until it may be tried again.
        retry_after: Micros,
    },
}

/// Who is told of what became known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// The few nodes that keep account of the request.
    Keepers,
    /// Every node.
    AllNodes,
}

/// The run that has the lease of a request.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    run: RunId,
    /// When another may have it although this one is not over.
    until: Micros,
}

/// First strikes that every node was told of within a second.
#[derive(Clone, Copy, Debug, Default)]
struct BroadcastCount {
    second: u64,
    count: u32,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    route: String,
    history: CrashHistory,
    /// The run that has the lease. Kept by the node that is asked for it.
    lease: Option<HeldLease>,
    /// The strikes that every node was told of.
    broadcast_strikes: u32,
    /// Whether something was learnt that the keepers were not told.
    has_unsent_update: bool,
}

/// What a node knows of requests that back ends ended under.
#[derive(Debug, Default)]
pub struct Quarantine {
    requests: HashMap<RequestDigest, Entry>,
    broadcasts: BroadcastCount,
}

/// A request that something speaks against, for operators.
#[derive(Clone, Debug)]
pub struct Suspect<'a> {
    /// The request.
    pub digest: RequestDigest,
    /// Its route.
    pub route: &'a str,
    /// What is known of it.
    pub history: &'a CrashHistory,
    /// What may be done with it.
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

    /// Whether a run at a service may go beside others: one has ended well since the last strike, and, from the
    /// second strike on, nothing speaks against the request at that service.
    fn allows_concurrent_run(&self, service: &ServiceName) -> bool {
        let strikes = self.history.strikes();
        self.history.succeeded_since_last_crash() && (strikes <= 1 || !self.history.has_crash_at(service))
    }

    /// Whether nothing of it matters any more.
    fn is_expired(&self, now: Micros) -> bool {
        let strikes = self.history.strikes();
        let held = if strikes >= QUARANTINE_STRIKES { hold(strikes) } else { Micros(0) };
        let retention = if strikes == 0 { CLEARED_RETENTION } else { RETENTION };
        now > self.history.last_event().plus(held).plus(retention)
    }
}

/// How long a request with so many strikes is held back.
fn hold(strikes: u32) -> Micros {
    let growth = HOLD_GROWTH.saturating_pow(strikes.saturating_sub(QUARANTINE_STRIKES));
    Micros(FIRST_HOLD.0.saturating_mul(growth)).min(LONGEST_HOLD)
}

impl Quarantine {
    /// What may be done with a request.
    pub fn status(&self, digest: &RequestDigest, now: Micros) -> QuarantineStatus {
        self.requests.get(digest).map_or(QuarantineStatus::Clear, |entry| entry.status(now))
    }

    /// Whether anything is known of any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a run at a service may begin now.
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

    /// Gives a run the lease of its request; false while another has it. All nodes ask one of them, so
    /// that attempts which come in at several at once cost one back end.
    pub fn grant(&mut self, digest: &RequestDigest, wanted: LeaseRequest, now: Micros) -> bool {
        let Some(entry) = self.requests.get_mut(digest) else {
            // Nothing speaks against it here; what the asker knows was told before.
            return true;
        };
        let taken = entry.lease.is_some_and(|lease| lease.run != wanted.run && now < lease.until);
        if !taken {
            entry.lease = Some(HeldLease { run: wanted.run, until: now.plus(wanted.duration) });
        }
        !taken
    }

    /// A run is over: another may begin. Returns whether it had the lease.
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

    /// A back end ended under a run. Returns what the request's status was before.
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

    /// A run ended well. Returns whether that takes something back.
    pub fn record_success(
        &mut self,
        digest: &RequestDigest,
        service: &ServiceName,
        started_at: Micros,
    ) -> bool {
        let Some(entry) = self.requests.get_mut(digest) else {
            return false;
        };
        let updates = entry.history.record_success(service, started_at);
        entry.has_unsent_update |= updates;
        updates
    }

    /// An operator releases a request. Returns whether it is known here.
    pub fn release(&mut self, digest: &RequestDigest, now: Micros) -> bool {
        let Some(entry) = self.requests.get_mut(digest) else {
            return false;
        };
        entry.history.record_release(now);
        entry.has_unsent_update = true;
        // Also nodes that heard of it on other ways.
        entry.broadcast_strikes = entry.broadcast_strikes.max(1);
        true
    }

    /// Another node told of a request; `to_everyone` says that it told every node. Returns whether anything
    /// was news.
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
        let updates = notice.merge_into(&mut entry.history, now);
        if is_broadcast {
            entry.broadcast_strikes = entry.history.strikes();
        }
        updates
    }

    /// What became known here and is still to be told, and to whom. Each is given out once: nodes that do not get it
    /// hear of it when they compare what they know with another.
    pub fn take_updates(&mut self, now: Micros) -> Vec<(QuarantineNotice, Audience)> {
        let mut updates = Vec::new();
        let second = now.0 / 1_000_000;
        if self.broadcasts.second != second {
            self.broadcasts = BroadcastCount { second, count: 0 };
        }
        for (digest, entry) in &mut self.requests {
            let strikes = entry.history.strikes();
            // What everyone was told is taken back before everyone.
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
            let audience = if to_all { Audience::AllNodes } else { Audience::Keepers };
            if to_all {
                entry.broadcast_strikes = strikes;
            }
            updates.push((QuarantineNotice::of(*digest, &entry.route, &entry.history, now), audience));
        }
        updates
    }

    /// What is known of one request, as it is told to a node that is handed a part of it.
    pub fn notice(&self, digest: &RequestDigest, now: Micros) -> Option<QuarantineNotice> {
        let entry = self.requests.get(digest)?;
        Some(QuarantineNotice::of(*digest, &entry.route, &entry.history, now))
    }

    /// What is known, for another node to compare with; of many, those with the most strikes.
    pub fn notices(&self, now: Micros) -> Vec<QuarantineNotice> {
        let mut known: Vec<(&RequestDigest, &Entry)> = self.requests.iter().collect();
        known.sort_by_key(|(digest, entry)| (std::cmp::Reverse(entry.history.strikes()), **digest));
        let notice = |(digest, entry): &(&RequestDigest, &Entry)| {
            QuarantineNotice::of(**digest, &entry.route, &entry.history, now)
        };
        known.iter().take(NOTICES_PER_MESSAGE).map(notice).collect()
    }

    /// The requests that something speaks against, for operators.
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

    /// Back ends that ended under requests, of those that are kept, and when.
    pub fn ended_replicas(&self) -> Vec<(ReplicaId, Micros)> {
        let crashes = self.requests.values().flat_map(|entry| entry.history.crashes());
        crashes.map(|run| (run.replica.clone(), run.known_at)).collect()
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Forgets what is outdated.
    pub fn expire(&mut self, now: Micros) {
        self.requests.retain(|_, entry| !entry.is_expired(now));
    }

    /// Makes room for one more request.
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
