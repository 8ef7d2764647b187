//! Who a request comes from: the tenant of its caller's key.
//!
//! Decided once, at the node that the caller talks to; what goes on to back ends and to other nodes carries the
//! tenant's name and no key.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use sablebay_catalogue::Route;
use sablebay_config::NodeSettings;
use sablebay_model::Micros;
use sablebay_tenants::{KeyDigester, Tenant};

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol, CallerRequest, Credential, Identity, Refusal};

/// When to come back to a node whose configuration is too old to say who calls: it learns of a newer one, or that
/// there is none, within about a second of hearing anybody.
const OUTDATED_RETRY: Duration = Duration::from_millis(400);

/// What digests the keys of a node's callers.
pub fn key_digester(settings: &NodeSettings) -> KeyDigester {
    KeyDigester::new(&settings.fleet, settings.fleet_key.as_deref())
}

/// On whose behalf a request runs.
#[derive(Clone, Debug)]
pub enum Caller {
    /// The configuration knows no tenants.
    Untracked,
    /// Anybody: its route needs no key.
    Anonymous,
    /// A tenant.
    Tenant(Arc<Tenant>),
}

impl Caller {
    /// What its request is marked with.
    pub fn identity(&self) -> Identity<'_> {
        match self {
            Self::Untracked => Identity::Untracked,
            Self::Anonymous => Identity::Anonymous,
            Self::Tenant(tenant) => Identity::Tenant(&tenant.name),
        }
    }

    /// The tenant.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Untracked | Self::Anonymous => None,
        }
    }
}

/// Why a request does not run on anybody's behalf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationFailure {
    /// Its caller shows no key.
    NoKey,
    /// Its caller shows more than one key, or bytes that are none.
    MalformedKey,
    /// The key stands for no tenant.
    UnknownKey,
    /// The configuration was not confirmed for so long that the key may have been taken away meanwhile.
    Outdated {
        /// The age of the configuration.
        age: Micros,
        /// The limit on that age.
        limit: Micros,
    },
    /// The key stands for no tenant, but may have been given out while the source could not be read.
    Unsure,
}

impl AuthenticationFailure {
    /// What the caller is told.
    pub fn refusal(self) -> Refusal {
        match self {
            Self::NoKey | Self::MalformedKey | Self::UnknownKey => Refusal::UnknownCaller,
            Self::Outdated { .. } | Self::Unsure => Refusal::NotRun { retry_after: OUTDATED_RETRY },
        }
    }

    /// The word under which it is counted.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::MalformedKey => "malformed_key",
            Self::UnknownKey => "unknown_key",
            Self::Outdated { .. } => "outdated",
            Self::Unsure => "unsure",
        }
    }

    /// The reason for the log.
    pub fn reason(self) -> Cow<'static, str> {
        Cow::Borrowed(match self {
            Self::NoKey => "the caller shows no key",
            Self::MalformedKey => "the caller's key is malformed",
            Self::UnknownKey => "the caller's key stands for no tenant",
            Self::Unsure => "the caller's key stands for no tenant in an old configuration",
            Self::Outdated { age, limit } => {
                let (age, limit) = (age.as_millis(), limit.as_millis());
                return Cow::Owned(format!(
                    "the configuration is too old to say who calls: {age} ms, of {limit} ms at the most"
                ));
            }
        })
    }
}

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// On whose behalf a request runs, by the newest configuration that this node has heard of: one that is not in
    /// force yet may have taken the key away.
    ///
    /// # Errors
    /// Why on nobody's.
    pub fn authenticate(
        &self,
        request: &CallerRequest,
        route: &Route,
    ) -> Result<Caller, AuthenticationFailure> {
        // Before the configuration is looked at: what is looked at is as new as what was confirmed, or newer.
        let confirmed_at = self.node.catalogue.confirmed_at();
        let newest = self.node.catalogue.read(|view| view.routes().cloned());
        let Some((routes, tenants)) = newest.as_ref().and_then(|routes| Some((routes, routes.tenants()?)))
        else {
            // Its age is not asked for: without tenants no key was ever given out that could be taken away.
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

    /// Keys may have been taken away for so long that nothing may run by them.
    fn check_age(&self, confirmed_at: Option<Micros>) -> Result<(), AuthenticationFailure> {
        let Some(limit) = self.revocation_limit().filter(|_| self.mechanisms.revocation) else {
            return Ok(());
        };
        let now = self.clock().now();
        // Since long before the start when it never was.
        let age = now.since(confirmed_at.unwrap_or_default());
        if age >= limit { Err(AuthenticationFailure::Outdated { age, limit }) } else { Ok(()) }
    }
}
