//! Weighted distribution of requests that keeps the ratio over short sequences as well.

use sablebay_catalogue::{ServiceName, WeightedService};

/// Smooth weighted round robin: each turn every service gains its weight as credit; the service with the
/// highest credit is selected and pays the sum of all weights. Over any sequence each share deviates by less
/// than one request per service.
#[derive(Debug)]
pub struct WeightedChoice {
    parts: Vec<WeightedService>,
    credit: Vec<f64>,
}

impl WeightedChoice {
    /// Creates a distribution at a position `phase` (0 to 1) of its cycle, so that nodes that start at the
    /// same time do not select the same services.
    pub fn new(parts: Vec<WeightedService>, phase: f64) -> Self {
        let mut choice = Self { credit: vec![0.0; parts.len()], parts };
        /// Number of turns of the longest common cycle.
        const CYCLE_TURNS: f64 = 100.0;
        for _ in 0..(phase * CYCLE_TURNS) as usize {
            choice.next();
        }
        choice
    }

    pub fn parts(&self) -> &[WeightedService] {
        &self.parts
    }

    /// Service of the next request; none if all weights are zero.
    #[expect(clippy::should_implement_trait, reason = "the sequence is endless and not used as an iterator")]
    pub fn next(&mut self) -> Option<ServiceName> {
        let total: f64 = self.parts.iter().map(|part| part.weight).sum();
        for (credit, part) in self.credit.iter_mut().zip(&self.parts) {
            *credit += part.weight;
        }
        let weighted = (0..self.parts.len()).filter(|index| self.parts[*index].weight > 0.0);
        let selected = weighted.max_by(|left, right| self.credit[*left].total_cmp(&self.credit[*right]))?;
        self.credit[selected] -= total;
        Some(self.parts[selected].service.clone())
    }
}
