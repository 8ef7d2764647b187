//! Tokens lent by seeds to starting nodes.
//!
//! After a restart of the whole fleet, nodes need time to discover each other and agree on owners.
//! All nodes know the same seeds, which lend a bounded number of tokens meanwhile.

use std::collections::HashMap;

use sablebay_model::Micros;

use crate::quota::local_allowance::local_allowance;
use crate::quota::window_count::WindowCount;
use crate::tenant::TenantName;

/// Time after start during which a node may not have discovered the owners.
const STARTUP_DURATION: Micros = Micros::from_secs(1);

/// Returns whether a node that started `started_ago` counts as starting.
pub fn is_starting(started_ago: Micros) -> bool {
    started_ago < STARTUP_DURATION
}

/// Place of a seed in the order of the tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedPlace {
    /// Place, starting at 0.
    pub place: usize,
    /// Total number of seeds.
    pub seeds: usize,
}

impl SeedPlace {
    /// Returns the share of this seed of the tokens lent by all seeds, in whole tokens.
    pub fn part_of(&self, all_seeds: f64) -> u32 {
        local_allowance(all_seeds, self.seeds, Some(self.place))
    }
}

/// Tokens lent by one seed to starting nodes.
#[derive(Debug, Default)]
pub struct StartingTokens {
    by_tenant: HashMap<TenantName, WindowCount>,
}

impl StartingTokens {
    /// Lends up to `wanted` tokens within the limit `part` per window.
    pub fn take(&mut self, tenant: &TenantName, part: u32, window: Micros, wanted: u32, now: Micros) -> u32 {
        self.by_tenant.retain(|_, lent| lent.count(window, now) > 0);
        if part == 0 {
            return 0;
        }
        self.by_tenant.entry(tenant.clone()).or_default().take(part, window, wanted, now)
    }
}
