//! Configurations newer than the one in force.
//!
//! While a large configuration is being fetched in chunks, later steps are staged until their base is in
//! force.

use sablebay_model::Micros;

use crate::configuration_step::ConfigurationStep;

/// Maximum number of staged steps; equals the number that a peer keeps.
const MAXIMUM_STAGED: usize = 64;

/// A version that a peer has announced and that is not in force here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedVersion {
    pub version: u64,
    /// When a version newer than the one in force was first announced.
    pub since: Micros,
}

/// Newer versions that were announced, are being fetched or are staged.
#[derive(Debug, Default)]
pub struct IncomingConfiguration {
    announced: Option<AnnouncedVersion>,
    /// Version being fetched.
    fetching: Option<u64>,
    /// Consecutive steps that start from the version being fetched.
    staged: Vec<ConfigurationStep>,
    /// Set if steps could not be applied because the local contents differ from the peers'.
    needs_full: bool,
}

impl IncomingConfiguration {
    /// Records that a node has `version`.
    pub fn note_version(&mut self, version: u64, in_force: u64, now: Micros) {
        if version <= in_force {
            return;
        }
        let announced = self.announced.get_or_insert(AnnouncedVersion { version, since: now });
        announced.version = announced.version.max(version);
    }

    /// The newest announced version that is not yet in force.
    pub fn announced(&self) -> Option<AnnouncedVersion> {
        self.announced
    }

    /// The base version to send in an update request; excludes updates that are already on their way.
    pub fn request_from(&self, in_force: u64) -> u64 {
        if self.needs_full {
            return 0;
        }
        let staged = self.staged.last().map(|step| step.version);
        staged.or(self.fetching).unwrap_or(0).max(in_force)
    }

    pub fn begin_fetch(&mut self, version: u64) {
        self.fetching = Some(version);
        self.staged.clear();
    }

    /// Ends the fetch and drops the steps that depend on it.
    pub fn end_fetch(&mut self) {
        self.fetching = None;
        self.staged.clear();
    }

    /// Keeps steps that continue from the version being fetched or the last staged step.
    pub fn stage(&mut self, steps: Vec<ConfigurationStep>) {
        for step in steps {
            let end = self.staged.last().map(|last| last.version).or(self.fetching);
            if end == Some(step.base) && self.staged.len() < MAXIMUM_STAGED {
                self.staged.push(step);
            }
        }
    }

    /// Requests a full configuration next.
    pub fn need_full(&mut self) {
        self.needs_full = true;
    }

    pub fn needs_full(&self) -> bool {
        self.needs_full
    }

    /// Clears the request for a full configuration.
    pub fn received_full(&mut self) {
        self.needs_full = false;
    }

    /// Records that `version` is in force and returns the staged steps that continue from it.
    pub fn mark_in_force(&mut self, version: u64) -> Vec<ConfigurationStep> {
        self.announced = self.announced.filter(|announced| announced.version > version);
        if self.fetching.is_some_and(|fetching| fetching <= version) {
            self.fetching = None;
        }
        let waits_for_this = self.staged.iter().any(|step| step.base == version);
        if waits_for_this { std::mem::take(&mut self.staged) } else { Vec::new() }
    }
}
