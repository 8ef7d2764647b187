//! Safety mechanisms that fault-injection runs can disable, to verify that the checker detects their absence.

/// The enabled mechanisms.
#[derive(Clone, Copy, Debug)]
pub struct GatewayMechanisms {
    /// Rejects back-end answers to other requests. Off: they are accepted.
    pub correlation: bool,
    /// Reports the number of missing shards. Off: always reports 0.
    pub coverage: bool,
    /// Enforces at-most-once routes. Off: every request may be repeated.
    pub at_most_once: bool,
    /// Reports "not run" only if no back end can have run the request. Off: reports it for every failure with
    /// an unknown outcome.
    pub not_run: bool,
    /// Excludes leaving replicas from new work. Off: they are used like others.
    pub leaving: bool,
    /// Excludes replicas in evacuated zones from new work. Off: they are used like others.
    pub evacuation: bool,
    /// Takes all shards of a request from one configuration. Off: every other shard comes from the previous
    /// configuration.
    pub pinning: bool,
    /// Applies new configurations. Off: the first one stays in force.
    pub configuration: bool,
    /// Finishes in-flight requests on a graceful stop. Off: they are aborted.
    pub planned_stop: bool,
    /// Ends requests in time to answer them before a planned stop ends. Off: only their own deadlines end them.
    pub stop_answers: bool,
    /// Quarantines requests that crash back ends. Off: they are sent like others.
    pub quarantine: bool,
    /// Authenticates callers by API key. Off: every caller is taken for the first tenant.
    pub authentication: bool,
    /// Sets the identity header for back ends. Off: the caller's own header is forwarded.
    pub identity: bool,
    /// Rejects requests when the configuration is too old to authenticate callers. Off: its age is ignored.
    pub revocation: bool,
    /// Enforces tenants' quotas. Off: requests over quota are sent like others.
    pub quota: bool,
    /// Retains known entries when the catalogue source was restored from an older copy. Off: the copy
    /// replaces them at once.
    pub returns: bool,
    /// Delegates shards to other nodes. Off: each node calls every replica itself. This is an optimization
    /// only, so it has no name in [`Self::NAMES`].
    pub gathering: bool,
}

impl Default for GatewayMechanisms {
    fn default() -> Self {
        Self {
            correlation: true,
            coverage: true,
            at_most_once: true,
            not_run: true,
            leaving: true,
            evacuation: true,
            pinning: true,
            configuration: true,
            planned_stop: true,
            stop_answers: true,
            quarantine: true,
            authentication: true,
            identity: true,
            revocation: true,
            quota: true,
            returns: true,
            gathering: true,
        }
    }
}

impl GatewayMechanisms {
    /// The mechanisms that can be disabled by name.
    pub const NAMES: [&'static str; 16] = [
        "correlation",
        "coverage",
        "at-most-once",
        "not-run",
        "leaving",
        "evacuation",
        "pinning",
        "configuration",
        "planned-stop",
        "stop-answers",
        "quarantine",
        "authentication",
        "identity",
        "revocation",
        "quota",
        "returns",
    ];

    /// All mechanisms except the named one; `None` if the name is unknown.
    pub fn without(name: &str) -> Option<Self> {
        let mut mechanisms = Self::default();
        let mechanism = match name {
            "correlation" => &mut mechanisms.correlation,
            "coverage" => &mut mechanisms.coverage,
            "at-most-once" => &mut mechanisms.at_most_once,
            "not-run" => &mut mechanisms.not_run,
            "leaving" => &mut mechanisms.leaving,
            "evacuation" => &mut mechanisms.evacuation,
            "pinning" => &mut mechanisms.pinning,
            "configuration" => &mut mechanisms.configuration,
            "planned-stop" => &mut mechanisms.planned_stop,
            "stop-answers" => &mut mechanisms.stop_answers,
            "quarantine" => &mut mechanisms.quarantine,
            "authentication" => &mut mechanisms.authentication,
            "identity" => &mut mechanisms.identity,
            "revocation" => &mut mechanisms.revocation,
            "quota" => &mut mechanisms.quota,
            "returns" => &mut mechanisms.returns,
            _ => return None,
        };
        *mechanism = false;
        Some(mechanisms)
    }
}
