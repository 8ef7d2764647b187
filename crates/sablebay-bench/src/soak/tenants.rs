//! Tenants of a soak: whose key is whose at which time, and what back ends may see by that.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use sablebay_platform_standin::{LeafCall, TenantSpec};

use super::checker::Promise;

/// The key of a tenant that always has it.
pub const STEADY_KEY: &str = "key-steady";
/// A key that each configuration gives to another tenant, or to nobody.
pub const ROTATING_KEY: &str = "key-passing";
/// A key that is taken away from a node that is cut off.
pub const GUEST_KEY: &str = "key-guest";
/// A key that nobody ever has.
pub const UNKNOWN_KEY: &str = "key-unknown";
/// What some callers say is their tenant.
pub const FORGED_TENANT: &str = "forged";
/// How old a configuration may be by which nodes run requests, in milliseconds.
pub const REVOCATION_LIMIT_MS: u64 = 2_000;
/// What a node may be late beyond that: its clock is read in milliseconds, and by a process that waits its turn.
const REVOCATION_SLACK: Duration = Duration::from_millis(100);
/// The tenants whose quota is far below what callers with the rotating key send.
const LIMITED: [&str; 2] = ["east", "west"];
/// Requests a second, and on top of that, that these may send.
const LIMITED_QUOTA: (f64, f64) = (20.0, 20.0);
/// What the other tenants may send: more than all callers do, so that nothing is held up by it.
const AMPLE_QUOTA: (f64, f64) = (1_000.0, 500.0);
/// The part of a quota that nodes together may let through beyond it while they disagree.
pub const QUOTA_OVERAGE: f64 = 0.25;
/// Requests beyond that.
pub const QUOTA_SLACK: f64 = 20.0;
/// The time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// What a configuration says of tenants.
pub fn tenants(version: u64, with_guest: bool) -> Vec<TenantSpec> {
    let rotating = |turn: u64| if version % 3 == turn { vec![ROTATING_KEY] } else { Vec::new() };
    let guest = if with_guest { vec![GUEST_KEY] } else { Vec::new() };
    let keys = [("steady", vec![STEADY_KEY]), ("east", rotating(0)), ("west", rotating(1)), ("guest", guest)];
    let limited = |(name, keys): (&str, Vec<&str>)| {
        let (rate_per_s, burst) = quota_of(name);
        TenantSpec { rate_per_s, burst, ..TenantSpec::new(name, &keys) }
    };
    keys.into_iter().map(limited).collect()
}

/// Requests a second, and on top of that, that a tenant may send.
fn quota_of(tenant: &str) -> (f64, f64) {
    if LIMITED.contains(&tenant) { LIMITED_QUOTA } else { AMPLE_QUOTA }
}

/// What a caller showed, and when it began to call.
#[derive(Clone, Debug)]
pub struct PresentedKey {
    /// The key; none on the route that needs none.
    pub key: Option<&'static str>,
    /// Before anything of the request was sent.
    pub at: Instant,
}

/// A key that a tenant had for a time.
#[derive(Clone, Debug)]
struct KeyAssignment {
    tenant: String,
    key: String,
    /// Not before this moment.
    from: Instant,
    /// Not after it; none as long as the tenant has the key.
    until: Option<Instant>,
}

/// Who had which key when.
#[derive(Clone, Debug, Default)]
pub struct KeyHistory {
    assignments: Vec<KeyAssignment>,
}

impl KeyHistory {
    /// Tenants were published: not before `begun`, and not after `done`.
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

    /// What is wrong with a request as a back end got it.
    pub fn check(&self, call: &LeafCall, presented: &PresentedKey) -> Option<(Promise, String)> {
        let id = &call.id;
        if call.shows_key {
            return Some((Promise::Identity, format!("{id} came to a back end with its caller's key")));
        }
        if call.tenants.iter().any(|tenant| tenant == FORGED_TENANT) || call.tenants.len() > 1 {
            return Some((Promise::Identity, format!("{id} came in the names {:?}", call.tenants)));
        }
        match (presented.key, call.tenants.first()) {
            (None, None) => None,
            (None, Some(tenant)) => {
                Some((Promise::Identity, format!("{id} needs no key, and came in the name of {tenant}")))
            }
            (Some(_), None) => Some((Promise::Identity, format!("{id} came in nobody's name"))),
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
            None => (Promise::Authentication, format!("{id} with {key} came in the name of {tenant}")),
            Some(late) => {
                let seen = format!("{id} with {key} of {tenant} was sent {late:?} after that was taken away");
                (Promise::Revocation, seen)
            }
        })
    }
}

/// A request of a tenant that got through.
#[derive(Clone, Copy, Debug)]
struct AcceptedRequest {
    /// When its caller began to send it.
    sent_at: Instant,
    /// When it first arrived at a back end.
    arrived_at: Instant,
}

/// What tenants got beyond their quotas. A request counts once, in the windows in which it was both sent and arrived:
/// a node that stood still between the two brings requests of an earlier window.
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
        .then(|| format!("{tenant} got {busiest} requests through in {WINDOW:?}; {limit} may be"))
}
