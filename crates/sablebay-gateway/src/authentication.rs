//! Identifies the tenant of a request by its API key.
//!
//! Authentication happens once, at the node that accepts the request. Calls to replicas and other nodes carry the
//! tenant's name, never the key.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use sablebay_catalogue::Route;
use sablebay_config::NodeSettings;
use sablebay_model::Micros;
use sablebay_tenants::{KeyDigester, Tenant};

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol, CallerRequest, Credential, Identity, Refusal};

/// `Retry-After` of a request refused because the configuration is outdated. A node in contact with peers refreshes its
/// configuration within about a second.
const OUTDATED_RETRY: Duration = Duration::from_millis(400);

pub fn key_digester(settings: &NodeSettings) -> KeyDigester {
    KeyDigester::new(&settings.fleet, settings.fleet_key.as_deref())
}

/// The identity under which a request runs.
#[derive(Clone, Debug)]
pub enum Caller {
    /// The configuration defines no tenants.
    Untracked,
    /// The route is public.
    Anonymous,
    Tenant(Arc<Tenant>),
}

impl Caller {
    /// The identity passed on with the request.
    pub fn identity(&self) -> Identity<'_> {
        match self {
            Self::Untracked => Identity::Untracked,
            Self::Anonymous => Identity::Anonymous,
            Self::Tenant(tenant) => Identity::Tenant(&tenant.name),
        }
    }

    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Untracked | Self::Anonymous => None,
        }
    }
}

/// Why a request could not be authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationFailure {
    /// The request carries no key.
    NoKey,
    /// The request carries several keys, or one that cannot be parsed.
    MalformedKey,
    /// The key belongs to no tenant.
    UnknownKey,
    /// The configuration has not been confirmed within the revocation limit, so the key may have been revoked.
    Outdated {
        age: Micros,
        /// The configured revocation limit.
        limit: Micros,
    },
    /// The key belongs to no tenant of the local configuration, but may have been issued while the source was
    /// unavailable.
    Unsure,
}

impl AuthenticationFailure {
    /// The refusal sent to the caller.
    pub fn refusal(self) -> Refusal {
        match self {
            Self::NoKey | Self::MalformedKey | Self::UnknownKey => Refusal::UnknownCaller,
            Self::Outdated { .. } | Self::Unsure => Refusal::NotRun { retry_after: OUTDATED_RETRY },
        }
    }

    /// The label of this failure in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::MalformedKey => "malformed_key",
            Self::UnknownKey => "unknown_key",
            Self::Outdated { .. } => "outdated",
            Self::Unsure => "unsure",
        }
    }

    /// A description for the log.
    pub fn reason(self) -> Cow<'static, str> {
        Cow::Borrowed(match self {
            Self::NoKey => "the request carries no key",
            Self::MalformedKey => "the caller's key is malformed",
            Self::UnknownKey => "the caller's key belongs to no tenant",
            Self::Unsure => "the caller's key belongs to no tenant of an outdated configuration",
            Self::Outdated { age, limit } => {
                let (age, limit) = (age.as_millis(), limit.as_millis());
                return Cow::Owned(format!(
                    "the configuration is too old to authenticate callers: {age} ms, limit {limit} ms"
                ));
            }
        })
    }
}

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// Authenticates a request against the newest known configuration, including one that is not in force yet: that one
    /// may have revoked the key.
    ///
    /// # Errors
    /// The reason why the request has no valid identity.
    pub fn authenticate(
        &self,
        request: &CallerRequest,
        route: &Route,
    ) -> Result<Caller, AuthenticationFailure> {
        // Read before the configuration, so that the configuration is at least as new as the confirmation.
        let confirmed_at = self.node.catalogue.confirmed_at();
        let newest = self.node.catalogue.read(|view| view.routes().cloned());
        let Some((routes, tenants)) = newest.as_ref().and_then(|routes| Some((routes, routes.tenants()?)))
        else {
            // The age does not matter: without tenants there are no keys to revoke.
            return Ok(Caller::Untracked);
        };
        if routes.find(&route.host, &route.prefix).map_or(route.public, |known| known.public) {
            return Ok(Caller::Anonymous);
        }
        if !self.mechanisms.authentication {
            let first = tenants.tenants().min_by_key(|tenant| &tenant.name);
            return Ok(first.map_or(Caller::Anonymous, |tenant| Caller::Tenant(tenant.clone())));
        }
        let key = match &request.credential {
            Credential::None => return Err(AuthenticationFailure::NoKey),
            Credential::Malformed => return Err(AuthenticationFailure::MalformedKey),
            Credential::Key(key) => self.keys.digest(key),
        };
        self.check_age(confirmed_at)?;
        match tenants.tenant_of(&key) {
            Some(tenant) => Ok(Caller::Tenant(tenant.clone())),
            None if self.catalogue_is_old() => Err(AuthenticationFailure::Unsure),
            None => Err(AuthenticationFailure::UnknownKey),
        }
    }

    /// Fails when the configuration was last confirmed longer ago than the revocation limit.
    fn check_age(&self, confirmed_at: Option<Micros>) -> Result<(), AuthenticationFailure> {
        let Some(limit) = self.revocation_limit().filter(|_| self.mechanisms.revocation) else {
            return Ok(());
        };
        let now = self.clock().now();
        // Never confirmed counts as confirmed at time zero.
        let age = now.since(confirmed_at.unwrap_or_default());
        if age >= limit { Err(AuthenticationFailure::Outdated { age, limit }) } else { Ok(()) }
    }
}
