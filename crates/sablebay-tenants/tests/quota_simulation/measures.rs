//! Measurements of a simulated fleet.

use sablebay_model::Micros;
use sablebay_tenants::Quota;

use super::Simulation;

impl Simulation {
    /// Returns the maximum number of allowed requests in any window starting at or after `from`.
    pub fn max_per_window(&self, from: Micros) -> usize {
        let ran = self.outcomes.iter().filter(|outcome| outcome.ran && outcome.sent_at >= from);
        let mut sent: Vec<Micros> = ran.map(|outcome| outcome.sent_at).collect();
        sent.sort_unstable();
        let first = |at: &Micros| sent.partition_point(|sent_at| sent_at.plus(self.rule.window) <= *at);
        sent.iter().enumerate().map(|(place, at)| place + 1 - first(at)).max().unwrap_or(0)
    }

    /// Returns the number of requests that a single token bucket with a fraction of the quota would
    /// allow.
    pub fn owed(&self, quota: &Quota, part: f64) -> usize {
        let mut sent: Vec<Micros> = self.outcomes.iter().map(|outcome| outcome.sent_at).collect();
        sent.sort_unstable();
        let (mut tokens, mut at) = (quota.burst * part, sent.first().copied().unwrap_or_default());
        let mut owed = 0;
        for sent_at in sent {
            tokens =
                (tokens + quota.rate_per_s * part * sent_at.since(at).as_secs_f64()).min(quota.burst * part);
            at = sent_at;
            if tokens >= 1.0 {
                tokens -= 1.0;
                owed += 1;
            }
        }
        owed
    }
}
