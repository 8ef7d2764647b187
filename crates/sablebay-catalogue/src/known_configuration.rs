//! The configuration in force, its history, and pending newer ones.
//!
//! Invariant: a configuration is replaced only by one of a higher version, whether it arrives in full or as
//! steps.

use std::sync::Arc;

use sablebay_model::Micros;

use crate::configuration::RoutingConfiguration;
use crate::configuration_history::ConfigurationHistory;
use crate::configuration_step::ConfigurationStep;
use crate::incoming_configuration::IncomingConfiguration;
use crate::route_table::RouteTable;

/// What a peer lacks of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationUpdate {
    /// The peer is up to date.
    None,
    /// The steps and their size in bytes.
    Steps(Vec<ConfigurationStep>, usize),
    /// The full configuration: the history does not reach back to the peer's version.
    Full,
}

/// The configuration in force, its history, and pending newer ones.
#[derive(Debug, Default)]
pub struct KnownConfiguration {
    routes: Option<Arc<RouteTable>>,
    history: ConfigurationHistory,
    incoming: IncomingConfiguration,
}

impl KnownConfiguration {
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// The version in force; 0 if none.
    pub fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version())
    }

    pub fn incoming(&self) -> &IncomingConfiguration {
        &self.incoming
    }

    pub fn incoming_mut(&mut self) -> &mut IncomingConfiguration {
        &mut self.incoming
    }

    /// Records that a node has `version`.
    pub fn note_version(&mut self, version: u64, now: Micros) {
        self.incoming.note_version(version, self.version(), now);
    }

    /// Applies the newest of `configurations` and records the steps between them, since peers may have any of
    /// these versions. Returns whether the configuration changed.
    pub fn offer(&mut self, configurations: Vec<RoutingConfiguration>) -> bool {
        let mut reached: Option<RoutingConfiguration> = None;
        for configuration in configurations {
            let before = reached.as_ref().or(self.routes.as_ref().map(|routes| routes.configuration()));
            if before.is_some_and(|before| configuration.version <= before.version) {
                continue;
            }
            if let Some(before) = before {
                self.history.keep(ConfigurationStep::between(before, &configuration));
            }
            reached = Some(configuration);
        }
        reached.is_some_and(|configuration| self.put_in_force(configuration))
    }

    /// Applies a full configuration from a peer. Returns whether it was newer.
    pub fn take_full(&mut self, configuration: RoutingConfiguration) -> bool {
        self.incoming.received_full();
        self.offer(vec![configuration])
    }

    /// Applies steps from a peer, or stages them if their base is not in force yet. Returns whether the
    /// configuration changed.
    pub fn take_steps(&mut self, steps: Vec<ConfigurationStep>) -> bool {
        let Some(routes) = self.routes.clone() else {
            return false;
        };
        let Some(first) = steps.iter().position(|step| step.base == routes.version()) else {
            self.incoming.stage(steps);
            return false;
        };
        let Ok(next) = ConfigurationStep::apply_all(&steps[first..], routes.configuration()) else {
            self.incoming.need_full();
            return false;
        };
        for step in steps.into_iter().skip(first) {
            self.history.keep(step);
        }
        self.put_in_force(next)
    }

    fn put_in_force(&mut self, configuration: RoutingConfiguration) -> bool {
        let version = configuration.version;
        self.routes = Some(Arc::new(RouteTable::new(configuration)));
        let waiting = self.incoming.mark_in_force(version);
        if !waiting.is_empty() {
            self.take_steps(waiting);
        }
        true
    }

    /// Returns what a peer at `version` lacks.
    pub fn update_since(&self, version: u64) -> ConfigurationUpdate {
        if self.version() <= version {
            return ConfigurationUpdate::None;
        }
        match self.history.since(version) {
            Some((steps, bytes)) => ConfigurationUpdate::Steps(steps.into_iter().cloned().collect(), bytes),
            None => ConfigurationUpdate::Full,
        }
    }
}
