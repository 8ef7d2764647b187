//! What the seeds of a fleet lend to nodes that have just started.
//!
//! After a restart of all nodes it takes most of a second until they have met and agree on who keeps an account. All of
//! them know the same few seeds from the first moment on: until then these lend, and count what they lend.

use std::collections::HashMap;

use sablebay_model::Micros;

use crate::quota::local_allowance::local_allowance;
use crate::quota::window_count::WindowCount;
use crate::tenant::TenantName;

/// How long a node counts as starting: until it has met the nodes that keep accounts.
const STARTUP_DURATION: Micros = Micros::from_secs(1);

/// Whether a node has started so lately that it may not have met those that keep accounts.
pub fn is_starting(started_ago: Micros) -> bool {
    started_ago < STARTUP_DURATION
}

/// One of the seeds: its place in the tenant's order, and the number of all seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedPlace {
    /// Its place, from 0 on.
    pub place: usize,
    /// The number of seeds.
    pub seeds: usize,
}

impl SeedPlace {
    /// Whole requests of those that all seeds lend together which are this seed's.
    pub fn part_of(&self, all_seeds: f64) -> u32 {
        local_allowance(all_seeds, self.seeds, Some(self.place))
    }
}

/// What one seed has lent to nodes that had just started.
#[derive(Debug, Default)]
pub struct StartingTokens {
    by_tenant: HashMap<TenantName, WindowCount>,
}

impl StartingTokens {
    /// Lends as many as wanted, or as a part leaves of a window.
    pub fn take(&mut self, tenant: &TenantName, part: u32, window: Micros, wanted: u32, now: Micros) -> u32 {
        self.by_tenant.retain(|_, lent| lent.count(window, now) > 0);
        if part == 0 {
            return 0;
        }
        self.by_tenant.entry(tenant.clone()).or_default().take(part, window, wanted, now)
    }
}
