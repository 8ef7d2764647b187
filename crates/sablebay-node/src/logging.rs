//! Structured logs on standard error, by log4rs.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

use sablebay_config::LogFormat;

use crate::error::NodeError;

/// One line of text: time, level, message, and the fields that records carry most.
const TEXT_PATTERN: &str =
    "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {m} {K(service)} {K(request)} {K(reason)}{n}";
const APPENDER: &str = "standard_error";

/// Changes the level while the process runs.
#[derive(Clone)]
pub struct LogControl {
    handle: log4rs::Handle,
    format: LogFormat,
}

fn configuration(level: LevelFilter, format: LogFormat) -> Result<Config, NodeError> {
    let encoder: Box<dyn Encode> = match format {
        LogFormat::Text => Box::new(PatternEncoder::new(TEXT_PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(level))
        .map_err(|error| NodeError::Log { message: error.to_string() })
}

/// Starts the log of the process.
///
/// # Errors
/// When the log was started before.
pub fn start_logging(level: LevelFilter, format: LogFormat) -> Result<LogControl, NodeError> {
    let handle = log4rs::init_config(configuration(level, format)?)
        .map_err(|error| NodeError::Log { message: error.to_string() })?;
    Ok(LogControl { handle, format })
}

impl LogControl {
    /// Changes the level.
    ///
    /// # Errors
    /// When the new configuration is not accepted.
    pub fn set_level(&self, level: LevelFilter) -> Result<(), NodeError> {
        self.handle.set_config(configuration(level, self.format)?);
        Ok(())
    }
}
