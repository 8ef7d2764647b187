//! A split of requests by weight that keeps to its shares over short runs too.

use sablebay_catalogue::{ServiceName, WeightedService};

/// Smooth weighted round robin: each turn every part earns its weight, the richest part is taken
/// and pays the sum of all weights. Over any run the shares are off by less than one request a part.
#[derive(Debug)]
pub struct WeightedChoice {
    parts: Vec<WeightedService>,
    credit: Vec<f64>,
}

impl WeightedChoice {
    /// A split that starts anywhere in its cycle: `phase` (0 to 1) keeps nodes that start together
    /// from choosing alike.
    pub fn new(parts: Vec<WeightedService>, phase: f64) -> Self {
        let mut choice = Self { credit: vec![0.0; parts.len()], parts };
        /// Turns that the longest usual cycle has.
        const CYCLE_TURNS: f64 = 100.0;
        for _ in 0..(phase * CYCLE_TURNS) as usize {
            choice.next();
        }
        choice
    }

    /// The parts that the split is made of.
    pub fn parts(&self) -> &[WeightedService] {
        &self.parts
    }

    /// The service of the next request; none when no part has a weight.
    #[expect(clippy::should_implement_trait, reason = "a split is endless, and no iterator is wanted")]
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
