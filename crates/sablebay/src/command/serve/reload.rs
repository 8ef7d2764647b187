//! Reloads the settings file after SIGHUP and when its content changes. Names and addresses take
//! effect only after a restart; a change to them is logged.

use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;

use sablebay_config::{ConfigurationError, NodeSettings};
use sablebay_gateway::Gateway;
use sablebay_node::{LogControl, Node};

/// Interval at which the settings file is checked for changes.
pub const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The settings file with the content last read.
pub struct SettingsFile {
    path: Option<PathBuf>,
    overrides: Vec<(String, String)>,
    text: String,
    in_force: NodeSettings,
}

impl SettingsFile {
    /// `text` is the content that `in_force` was parsed from. Without a path, reloading does nothing.
    pub fn new(
        path: Option<PathBuf>,
        overrides: Vec<(String, String)>,
        text: String,
        in_force: NodeSettings,
    ) -> Self {
        Self { path, overrides, text, in_force }
    }

    /// Reads the file and applies changed settings. An invalid file changes nothing; its findings are
    /// logged. With `requested`, an unchanged file is logged too.
    pub fn reload(
        &mut self,
        node: &Node,
        gateway: Option<&Gateway>,
        log_control: &LogControl,
        requested: bool,
    ) {
        let Some(path) = self.path.clone() else {
            return;
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(
                    "settings: the file cannot be read; the previous settings stay in force: {error}."
                );
                return;
            }
        };
        if text == self.text {
            if requested {
                log::info!("settings: reloaded; nothing changed.");
            }
            return;
        }
        self.text = text;
        match NodeSettings::parse_with_overrides(&path.to_string_lossy(), &self.text, &self.overrides) {
            Ok(settings) => self.apply(settings, node, gateway, log_control),
            Err(ConfigurationError::Invalid { findings }) => {
                for finding in findings {
                    log::warn!("settings: not taken: {finding}");
                }
            }
            Err(error) => log::warn!("settings: not taken: {error}."),
        }
    }

    fn apply(
        &mut self,
        settings: NodeSettings,
        node: &Node,
        gateway: Option<&Gateway>,
        log_control: &LogControl,
    ) {
        let level: LevelFilter = settings.log_level.parse().unwrap_or(LevelFilter::Info);
        if let Err(error) = log_control.set_level(level) {
            log::warn!("settings: the log level cannot be changed: {error}.");
        }
        node.shared.fleet.lock().add_seeds(settings.peers.iter().copied());
        if let (Some(gateway), Some(changed)) = (gateway, settings.gateway.clone()) {
            gateway.reload(changed, &settings.peers);
        }
        if restart_only_settings(&settings) != restart_only_settings(&self.in_force) {
            log::warn!("settings: changed names and addresses take effect after a restart.");
        }
        log::info!("settings: changed settings are in force.");
        self.in_force = settings;
    }
}

/// Settings that take effect only at startup.
fn restart_only_settings(settings: &NodeSettings) -> impl PartialEq {
    let gateway = settings.gateway.as_ref();
    (
        settings.node.clone(),
        settings.zone.clone(),
        [settings.caller_address, settings.admin_address, settings.peer_address],
        gateway.map(|gateway| [gateway.caller_address, gateway.readiness_address, gateway.catalogue_address]),
    )
}
