//! Errors of this crate.

use derive_more::{Display, Error, From};

/// Why an experiment could not run.
#[derive(Debug, Display, Error, From)]
pub enum BenchError {
    /// A stand-in did not start.
    #[display("a stand-in failed: {_0}")]
    StandIn(sablebay_standin::StandInError),
    /// A stand-in of the users' platform did not start.
    #[display("a stand-in of the platform failed: {_0}")]
    PlatformStandIn(sablebay_platform_standin::StandInError),
    /// A gateway did not start.
    #[display("a gateway failed: {_0}")]
    Gateway(sablebay_gateway::GatewayError),
    /// A node did not start.
    #[display("a node failed: {_0}")]
    Node(sablebay_node::NodeError),
    /// A configuration of the experiment's own was not valid.
    #[display("a configuration is not valid: {_0}")]
    Configuration(sablebay_config::ConfigurationError),
    /// A process or file could not be used.
    #[display("the system refused: {_0}")]
    System(std::io::Error),
    /// JSON could not be read or written.
    #[display("JSON: {_0}")]
    Json(serde_json::Error),
    /// Something that was waited for did not happen in time.
    #[display("{what} did not happen within {seconds} s")]
    #[from(skip)]
    NotInTime {
        /// What.
        what: String,
        /// The limit.
        seconds: u64,
    },
    /// There is no such experiment.
    #[display("there is no experiment `{name}`")]
    #[from(skip)]
    UnknownExperiment {
        /// The name given.
        name: String,
    },
    /// The experiment has no such mechanism to turn off.
    #[display("{experiment} has no mechanism `{mechanism}`; it has {known}")]
    #[from(skip)]
    UnknownMechanism {
        /// The experiment.
        experiment: String,
        /// The name given.
        mechanism: String,
        /// The names there are.
        known: String,
    },
    /// A plot could not be drawn.
    #[display("a plot could not be drawn: {message}")]
    #[from(skip)]
    Plot {
        /// What the library said.
        message: String,
    },
}
