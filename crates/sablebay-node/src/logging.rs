//! Structured logging with log4rs.

mod line_encoder;
mod queued_appender;

use log::LevelFilter;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;

use sablebay_config::{LogFormat, LogTarget};

use crate::error::NodeError;

use line_encoder::LineEncoder;
use queued_appender::QueuedAppender;

/// One line of text: time, level, message, and the most common fields.
const TEXT_PATTERN: &str =
    "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {m} {K(service)} {K(request)} {K(reason)}{n}";
const APPENDER: &str = "process_output";

/// Changes the log level at runtime.
#[derive(Clone)]
pub struct LogControl {
    handle: log4rs::Handle,
    format: LogFormat,
    target: LogTarget,
}

fn configuration(level: LevelFilter, format: LogFormat, target: LogTarget) -> Result<Config, NodeError> {
    let encoder: Box<dyn Encode> = match format {
        LogFormat::Text => Box::new(PatternEncoder::new(TEXT_PATTERN)),
        LogFormat::Json => Box::new(LineEncoder),
    };
    let appender = QueuedAppender::start(target, encoder);
    Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(level))
        .map_err(|error| NodeError::Log { message: error.to_string() })
}

/// Starts logging for the process.
///
/// # Errors
/// When logging was already started or the configuration is invalid.
pub fn start_logging(
    level: LevelFilter,
    format: LogFormat,
    target: LogTarget,
) -> Result<LogControl, NodeError> {
    let handle = log4rs::init_config(configuration(level, format, target)?)
        .map_err(|error| NodeError::Log { message: error.to_string() })?;
    Ok(LogControl { handle, format, target })
}

impl LogControl {
    /// # Errors
    /// When the new configuration is invalid.
    pub fn set_level(&self, level: LevelFilter) -> Result<(), NodeError> {
        self.handle.set_config(configuration(level, self.format, self.target)?);
        Ok(())
    }
}
