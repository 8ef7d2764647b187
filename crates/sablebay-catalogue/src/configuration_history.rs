//! The last steps that led to the configuration in force, for peers that are some versions behind.

use std::collections::VecDeque;

use crate::configuration_step::ConfigurationStep;

/// Steps that are kept at the most: ten changes a second, as operators' tools make them in a row, for six seconds. Who
/// is further behind gets the whole.
const MAXIMUM_STEPS: usize = 64;
/// Bytes of steps that are kept at the most, beside the newest: two large changes of some hundred kilobytes.
const MAXIMUM_BYTES: usize = 512 * 1024;

#[derive(Debug)]
struct KeptStep {
    step: ConfigurationStep,
    bytes: usize,
}

/// Steps that lead to the configuration in force, the oldest first; each starts where the one before it ends.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    steps: VecDeque<KeptStep>,
}

impl ConfigurationHistory {
    /// Keeps the step that led to the configuration now in force.
    pub fn keep(&mut self, step: ConfigurationStep) {
        if self.steps.back().is_some_and(|last| last.step.version != step.base) {
            self.steps.clear();
        }
        let bytes = step.encoded_bytes();
        self.steps.push_back(KeptStep { step, bytes });
        while self.steps.len() > MAXIMUM_STEPS || (self.steps.len() > 1 && self.bytes() > MAXIMUM_BYTES) {
            self.steps.pop_front();
        }
    }

    fn bytes(&self) -> usize {
        self.steps.iter().map(|kept| kept.bytes).sum()
    }

    /// The steps from a version to the newest, and their bytes; nothing when they are not known from there on.
    pub fn since(&self, version: u64) -> Option<(Vec<&ConfigurationStep>, usize)> {
        let first = self.steps.iter().position(|kept| kept.step.base == version)?;
        let bytes = self.steps.iter().skip(first).map(|kept| kept.bytes).sum();
        Some((self.steps.iter().skip(first).map(|kept| &kept.step).collect(), bytes))
    }
}
