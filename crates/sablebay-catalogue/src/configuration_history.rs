//! Recent steps to the configuration in force, sent to peers that are a few versions behind.

use std::collections::VecDeque;

use crate::configuration_step::ConfigurationStep;

/// Maximum number of steps; peers that are further behind get the full configuration.
const MAXIMUM_STEPS: usize = 64;
/// Maximum total size of the steps in bytes. The newest step is kept regardless of its size.
const MAXIMUM_BYTES: usize = 512 * 1024;

#[derive(Debug)]
struct KeptStep {
    step: ConfigurationStep,
    bytes: usize,
}

/// Steps to the configuration in force, oldest first; each starts at the version where the previous one ends.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    steps: VecDeque<KeptStep>,
}

impl ConfigurationHistory {
    /// Appends the step that led to the configuration in force. Older steps that do not connect to it are
    /// dropped.
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

    /// Returns the steps from `version` to the newest and their size in bytes, or `None` if the history does
    /// not start there.
    pub fn since(&self, version: u64) -> Option<(Vec<&ConfigurationStep>, usize)> {
        let first = self.steps.iter().position(|kept| kept.step.base == version)?;
        let bytes = self.steps.iter().skip(first).map(|kept| kept.bytes).sum();
        Some((self.steps.iter().skip(first).map(|kept| &kept.step).collect(), bytes))
    }
}
