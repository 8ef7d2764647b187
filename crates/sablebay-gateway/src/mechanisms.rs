//! Mechanisms that the soak can turn off, to show that its checker notices.

/// Which mechanisms are on.
#[derive(Clone, Copy, Debug)]
pub struct GatewayMechanisms {
    /// Turning away answers to other requests. Off: they are taken.
    pub correlation: bool,
    /// Saying how many shards are left out. Off: none, always.
    pub coverage: bool,
    /// Never repeating what may not be repeated. Off: everything may.
    pub at_most_once: bool,
    /// Saying "not run" only when that is known. Off: it is said of every failure.
    pub not_run: bool,
    /// Giving leaving replicas no work. Off: they get it like others.
    pub leaving: bool,
    /// Giving replicas of evacuated zones no work. Off: they get it like others.
    pub evacuation: bool,
    /// Taking all shards of an answer from one configuration. Off: every other one from the one
    /// before.
    pub pinning: bool,
    /// Taking new configurations into force. Off: the first one stays.
    pub configuration: bool,
    /// Finishing what is in flight at a planned stop. Off: it is cut.
    pub planned_stop: bool,
    /// Holding back requests that back ends end under. Off: they are sent like others.
    pub quarantine: bool,
    /// Running requests by their callers' keys. Off: whoever calls passes for the first tenant.
    pub authentication: bool,
    /// Saying to back ends who calls. Off: they get what the caller says.
    pub identity: bool,
    /// Running nothing by a configuration that is too old. Off: its age is not looked at.
    pub revocation: bool,
    /// Refusing what is over a tenant's quota. Off: it is sent like others.
    pub quota: bool,
    /// Keeping what was known when the source comes back from an older copy. Off: the copy's word is taken at once.
    pub returns: bool,
    /// Having other nodes gather shards. Off: each node calls every replica itself; no promise
    /// depends on it, and the soak does not break it.
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
    /// The names of the mechanisms.
    pub const NAMES: [&'static str; 15] = [
        "correlation",
        "coverage",
        "at-most-once",
        "not-run",
        "leaving",
        "evacuation",
        "pinning",
        "configuration",
        "planned-stop",
        "quarantine",
        "authentication",
        "identity",
        "revocation",
        "quota",
        "returns",
    ];

    /// All but the one named; nothing when there is none of that name.
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
