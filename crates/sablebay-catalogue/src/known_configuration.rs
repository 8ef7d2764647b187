//! The configuration in force, how it came about, and what is known of newer ones.
//!
//! Invariant kept here: a configuration is replaced by one of a higher version alone (must-hold 8), whether it comes
//! whole or by steps.

use std::sync::Arc;

use sablebay_model::Micros;

use crate::configuration::RoutingConfiguration;
use crate::configuration_history::ConfigurationHistory;
use crate::configuration_step::ConfigurationStep;
use crate::incoming_configuration::IncomingConfiguration;
use crate::route_table::RouteTable;

/// What a peer is missing of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationUpdate {
    /// Nothing.
    None,
    /// These steps, of this many bytes.
    Steps(Vec<ConfigurationStep>, usize),
    /// All of it: no steps are known from what the peer has.
    Full,
}

/// The configuration in force, how it came about, and what is known of newer ones.
#[derive(Debug, Default)]
pub struct KnownConfiguration {
    routes: Option<Arc<RouteTable>>,
    history: ConfigurationHistory,
    incoming: IncomingConfiguration,
}

impl KnownConfiguration {
    /// The routes in force.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// The version in force; 0 when none is.
    pub fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version())
    }

    /// What is known of newer configurations.
    pub fn incoming(&self) -> &IncomingConfiguration {
        &self.incoming
    }

    /// The same, for whoever fetches them.
    pub fn incoming_mut(&mut self) -> &mut IncomingConfiguration {
        &mut self.incoming
    }

    /// Notes that somebody has a version.
    pub fn note_version(&mut self, version: u64, now: Micros) {
        self.incoming.note_version(version, self.version(), now);
    }

    /// Takes the last of these configurations into force that is newer than all before it. Peers may have any of
    /// them, and are told what follows on it. Returns whether there was one.
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

    /// Takes a whole configuration of a peer. Returns whether it was newer.
    pub fn take_full(&mut self, configuration: RoutingConfiguration) -> bool {
        self.incoming.received_full();
        self.offer(vec![configuration])
    }

    /// Takes steps of a peer. Returns whether they led to a newer configuration. Those that start from one that is still
    /// being fetched wait for it.
    pub fn take_steps(&mut self, steps: Vec<ConfigurationStep>) -> bool {
        let Some(routes) = self.routes.clone() else {
            return false;
        };
        let Some(first) = steps.iter().position(|step| step.base == routes.version()) else {
            self.incoming.stage(steps);
            return false;
        };
        let Ok(next) = ConfigurationStep::follow(&steps[first..], routes.configuration()) else {
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
        let waiting = self.incoming.reached(version);
        if !waiting.is_empty() {
            self.take_steps(waiting);
        }
        true
    }

    /// What a peer that has a version is missing.
    pub fn news_since(&self, version: u64) -> ConfigurationUpdate {
        if self.version() <= version {
            return ConfigurationUpdate::None;
        }
        match self.history.since(version) {
            Some((steps, bytes)) => ConfigurationUpdate::Steps(steps.into_iter().cloned().collect(), bytes),
            None => ConfigurationUpdate::Full,
        }
    }
}
