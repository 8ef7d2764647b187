//! What a node knows of configurations that are newer than the one in force there.
//!
//! A large change is fetched in pieces, and others may be made meanwhile: their steps wait here until the one that they
//! start from is in force.

use sablebay_model::Micros;

use crate::configuration_step::ConfigurationStep;

/// Steps that wait at the most: as many as a peer keeps.
const MAXIMUM_STAGED: usize = 64;

/// A configuration that was heard of and is not in force here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedVersion {
    /// Its version.
    pub version: u64,
    /// When it was heard of first that there is one newer than the one in force.
    pub since: Micros,
}

/// What is known of configurations that are newer than the one in force.
#[derive(Debug, Default)]
pub struct IncomingConfiguration {
    announced: Option<AnnouncedVersion>,
    /// The version that is being fetched.
    fetching: Option<u64>,
    /// Steps that start from it, one after the other.
    staged: Vec<ConfigurationStep>,
    /// Whether steps did not lead to what they were made for: the contents in force are not those of the peers.
    needs_full: bool,
}

impl IncomingConfiguration {
    /// Notes that somebody has a version.
    pub fn note_version(&mut self, version: u64, in_force: u64, now: Micros) {
        if version <= in_force {
            return;
        }
        let announced = self.announced.get_or_insert(AnnouncedVersion { version, since: now });
        announced.version = announced.version.max(version);
    }

    /// The newest version that was heard of, while it is not in force.
    pub fn announced(&self) -> Option<AnnouncedVersion> {
        self.announced
    }

    /// The version that a question for news names: what is on its way here is not asked for again.
    pub fn request_from(&self, in_force: u64) -> u64 {
        if self.needs_full {
            return 0;
        }
        let staged = self.staged.last().map(|step| step.version);
        staged.or(self.fetching).unwrap_or(0).max(in_force)
    }

    /// A version begins to be fetched.
    pub fn begin_fetch(&mut self, version: u64) {
        self.fetching = Some(version);
        self.staged.clear();
    }

    /// No version is fetched any more. Steps that wait for it are of no use without it.
    pub fn end_fetch(&mut self) {
        self.fetching = None;
        self.staged.clear();
    }

    /// Keeps steps that start from what is being fetched, or from the last that waits.
    pub fn stage(&mut self, steps: Vec<ConfigurationStep>) {
        for step in steps {
            let end = self.staged.last().map(|last| last.version).or(self.fetching);
            if end == Some(step.base) && self.staged.len() < MAXIMUM_STAGED {
                self.staged.push(step);
            }
        }
    }

    /// Asks for a whole configuration next.
    pub fn need_full(&mut self) {
        self.needs_full = true;
    }

    /// Whether a whole configuration is asked for next.
    pub fn needs_full(&self) -> bool {
        self.needs_full
    }

    /// A whole configuration came, newer or not.
    pub fn received_full(&mut self) {
        self.needs_full = false;
    }

    /// A version is in force. Returns the steps that waited for it.
    pub fn reached(&mut self, version: u64) -> Vec<ConfigurationStep> {
        self.announced = self.announced.filter(|announced| announced.version > version);
        if self.fetching.is_some_and(|fetching| fetching <= version) {
            self.fetching = None;
        }
        let waits_for_this = self.staged.iter().any(|step| step.base == version);
        if waits_for_this { std::mem::take(&mut self.staged) } else { Vec::new() }
    }
}
