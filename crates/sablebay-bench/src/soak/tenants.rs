//! Tenants of a soak: assignments of keys over time, and checks of requests at back ends.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use sablebay_platform_standin::{LeafCall, TenantSpec};

use super::checker::Promise;

/// A key that always belongs to the same tenant.
pub const STEADY_KEY: &str = "key-steady";
/// A key that each configuration assigns to a different tenant or to none.
pub const ROTATING_KEY: &str = "key-passing";
/// A key that is revoked while a node is isolated.
pub const GUEST_KEY: &str = "key-guest";
/// A key that never belongs to a tenant.
pub const UNKNOWN_KEY: &str = "key-unknown";
/// Tenant name forged by callers.
pub const FORGED_TENANT: &str = "forged";
/// Maximum age of the configuration by which nodes authenticate requests.
pub const REVOCATION_LIMIT_MS: u64 = 2_000;
/// Tolerance for clock resolution and scheduling delays.
const REVOCATION_SLACK: Duration = Duration::from_millis(100);
/// Tenants with a quota far below the request rate of the rotating key.
const LIMITED: [&str; 2] = ["east", "west"];
/// Requests per second and burst of limited tenants.
const LIMITED_QUOTA: (f64, f64) = (20.0, 20.0);
/// Quota of the other tenants, above the total request rate.
const AMPLE_QUOTA: (f64, f64) = (1_000.0, 500.0);
/// Fraction of a quota by which nodes may exceed it while they disagree.
pub const QUOTA_OVERAGE: f64 = 0.25;
/// Additional requests beyond the overage.
pub const QUOTA_SLACK: f64 = 20.0;
/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Returns the tenants of a configuration.
pub fn tenants(version: u64, with_guest: bool) -> Vec<TenantSpec> {
    let rotating = |remainder: u64| if version % 3 == remainder { vec![ROTATING_KEY] } else { Vec::new() };
    let guest = if with_guest { vec![GUEST_KEY] } else { Vec::new() };
    let keys = [("steady", vec![STEADY_KEY]), ("east", rotating(0)), ("west", rotating(1)), ("guest", guest)];
    let limited = |(name, keys): (&str, Vec<&str>)| {
        let (rate_per_s, burst) = quota_of(name);
        TenantSpec { rate_per_s, burst, ..TenantSpec::new(name, &keys) }
    };
    keys.into_iter().map(limited).collect()
}

/// Returns the requests per second and burst of a tenant.
fn quota_of(tenant: &str) -> (f64, f64) {
    if LIMITED.contains(&tenant) { LIMITED_QUOTA } else { AMPLE_QUOTA }
}

/// The key presented by a caller and the time of the call.
#[derive(Clone, Debug)]
pub struct PresentedKey {
    /// The key; `None` on the public route.
    pub key: Option<&'static str>,
    /// A time before any part of the request was sent.
    pub at: Instant,
}

/// The assignment of a key to a tenant for a period.
#[derive(Clone, Debug)]
struct KeyAssignment {
    tenant: String,
    key: String,
    /// Earliest possible start.
    from: Instant,
    /// Latest possible end; `None` while the assignment is current.
    until: Option<Instant>,
}

/// The assignments of keys to tenants over time.
#[derive(Clone, Debug, Default)]
pub struct KeyHistory {
    assignments: Vec<KeyAssignment>,
}

impl KeyHistory {
    /// Records a publication of tenants between `started` and `done`.
    pub fn published(&mut self, tenants: &[TenantSpec], started: Instant, done: Instant) {
        let has = |tenant: &str, key: &str| {
            tenants.iter().any(|known| known.name == tenant && known.keys.iter().any(|known| known == key))
        };
        for assignment in self.assignments.iter_mut().filter(|assignment| assignment.until.is_none()) {
            if !has(&assignment.tenant, &assignment.key) {
                assignment.until = Some(done);
            }
        }
        for (tenant, key) in
            tenants.iter().flat_map(|tenant| tenant.keys.iter().map(move |key| (tenant, key)))
        {
            let is_current = |assignment: &KeyAssignment| {
                assignment.until.is_none() && assignment.tenant == tenant.name && assignment.key == *key
            };
            if !self.assignments.iter().any(is_current) {
                let (tenant, key) = (tenant.name.clone(), key.clone());
                self.assignments.push(KeyAssignment { tenant, key, from: started, until: None });
            }
        }
    }

    /// Returns the violation in a request as received by a back end, if any.
    pub fn check(&self, call: &LeafCall, presented: &PresentedKey) -> Option<(Promise, String)> {
        let id = &call.id;
        if call.has_key {
            return Some((Promise::Identity, format!("{id} reached a back end with its caller's key")));
        }
        if call.tenants.iter().any(|tenant| tenant == FORGED_TENANT) || call.tenants.len() > 1 {
            return Some((
                Promise::Identity,
                format!("{id} reached a back end with tenants {:?}", call.tenants),
            ));
        }
        match (presented.key, call.tenants.first()) {
            (None, None) => None,
            (None, Some(tenant)) => Some((
                Promise::Identity,
                format!("{id} needs no key, but reached a back end as tenant {tenant}"),
            )),
            (Some(_), None) => Some((Promise::Identity, format!("{id} reached a back end without a tenant"))),
            (Some(key), Some(tenant)) => self.check_assignment(call, presented, key, tenant),
        }
    }

    fn check_assignment(
        &self,
        call: &LeafCall,
        presented: &PresentedKey,
        key: &str,
        tenant: &str,
    ) -> Option<(Promise, String)> {
        let id = &call.id;
        let held = |assignment: &&KeyAssignment| {
            assignment.tenant == tenant && assignment.key == key && assignment.from <= call.at
        };
        let allowed = Duration::from_millis(REVOCATION_LIMIT_MS) + REVOCATION_SLACK;
        let mut late = None;
        for assignment in self.assignments.iter().filter(held) {
            match assignment.until {
                Some(until) if presented.at > until + allowed => late = Some(presented.at - until),
                _ => return None,
            }
        }
        Some(match late {
            None => {
                (Promise::Authentication, format!("{id} with {key} reached a back end as tenant {tenant}"))
            }
            Some(late) => {
                let seen = format!("{id} with {key} of {tenant} was sent {late:?} after the key was revoked");
                (Promise::Revocation, seen)
            }
        })
    }
}

/// A tenant's request that reached a back end.
#[derive(Clone, Copy, Debug)]
struct AcceptedRequest {
    /// When the caller started to send the request.
    sent_at: Instant,
    /// First arrival at a back end.
    arrived_at: Instant,
}

/// Returns the quota violations. A request counts once, and only in windows in which it was both
/// sent and received, because a paused node delivers requests of an earlier window.
pub fn check_quotas(calls: &[LeafCall], presented: &HashMap<String, PresentedKey>) -> Vec<String> {
    let mut accepted_requests: HashMap<&str, (&str, AcceptedRequest)> = HashMap::new();
    for call in calls {
        let Some(tenant) = call.tenants.first() else {
            continue;
        };
        let sent_at = presented.get(&call.id).map_or(call.at, |presented| presented.at);
        let accepted = AcceptedRequest { sent_at, arrived_at: call.at };
        let known = &mut accepted_requests.entry(&call.id).or_insert((tenant, accepted)).1;
        known.arrived_at = known.arrived_at.min(call.at);
    }
    let mut by_tenant: BTreeMap<&str, Vec<AcceptedRequest>> = BTreeMap::new();
    for (tenant, accepted) in accepted_requests.into_values() {
        by_tenant.entry(tenant).or_default().push(accepted);
    }
    by_tenant
        .into_iter()
        .filter_map(|(tenant, accepted_requests)| check_quota(tenant, accepted_requests))
        .collect()
}

fn check_quota(tenant: &str, mut accepted_requests: Vec<AcceptedRequest>) -> Option<String> {
    let (rate_per_s, burst) = quota_of(tenant);
    let limit = (rate_per_s * WINDOW.as_secs_f64() + burst) * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK;
    accepted_requests.sort_unstable_by_key(|accepted| accepted.sent_at);
    let in_window = |(at, first): (usize, &AcceptedRequest)| {
        let end = first.sent_at + WINDOW;
        let sent = accepted_requests[at..].iter().take_while(|accepted| accepted.sent_at < end);
        sent.filter(|accepted| accepted.arrived_at < end).count()
    };
    let busiest = accepted_requests.iter().enumerate().map(in_window).max().unwrap_or(0);
    (busiest as f64 > limit)
        .then(|| format!("{busiest} requests of {tenant} passed in {WINDOW:?}; limit {limit}"))
}
