//! What one configuration changes in another.
//!
//! Nodes pass these on in place of whole configurations: what an answer costs is then what changed, times those who
//! ask, however large the configuration is. A link of 14 Mbit/s bears 1.75 MB a second; a whole configuration of 300 kB
//! to the 35 nodes of a zone would fill it for 6 s.
//!
//! Invariant kept here: a step gives the configuration that it was made from, or nothing. It names the version that it
//! starts from and a digest of what it leads to, since two nodes may have read different contents under one version: one
//! of an earlier release does not know every field.

use std::collections::HashMap;

use derive_more::{Display, Error};
use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

use sablebay_tenants::Tenant;

use crate::configuration::{BackendService, CallerLimits, Route, RoutingConfiguration};

/// Why a step does not lead to a configuration.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum StepError {
    /// It starts from another version.
    #[display("it starts from another version")]
    OtherBase,
    /// It names entries that the version it starts from does not have.
    #[display("it names entries that are not there")]
    NoSuchEntry,
    /// What it leads to is not what it was made for.
    #[display("it leads to other contents")]
    OtherContents,
}

/// A part of a list that was changed: entries of the old list, and new ones behind them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
struct Run {
    /// The place of the first old entry.
    kept_from: u64,
    /// The number of old entries.
    kept: u64,
    /// The number of new entries.
    added: u64,
}

/// How a list comes out of another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
struct Runs(Vec<Run>);

impl Runs {
    /// How `next` comes out of `base`, and the entries of it that `base` does not have. `name` tells which entries may be
    /// the same.
    fn between<'a, T: Clone + PartialEq>(
        base: &'a [T],
        next: &'a [T],
        name: impl Fn(&'a T) -> &'a str,
    ) -> (Self, Vec<T>) {
        let places: HashMap<&str, usize> =
            base.iter().enumerate().map(|(place, entry)| (name(entry), place)).collect();
        let mut runs: Vec<Run> = Vec::new();
        let mut added = Vec::new();
        for entry in next {
            let place = places.get(name(entry)).copied().filter(|place| base[*place] == *entry);
            match (place, runs.last_mut()) {
                (Some(place), Some(run)) if run.added == 0 && run.kept_from + run.kept == place as u64 => {
                    run.kept += 1;
                }
                (Some(place), _) => runs.push(Run { kept_from: place as u64, kept: 1, added: 0 }),
                (None, Some(run)) => run.added += 1,
                (None, None) => runs.push(Run { kept_from: 0, kept: 0, added: 1 }),
            }
            if place.is_none() {
                added.push(entry.clone());
            }
        }
        (Self(runs), added)
    }

    /// The list that comes out of `base` and the added entries.
    fn apply<T: Clone>(&self, base: &[T], added: &[T]) -> Result<Vec<T>, StepError> {
        let mut list = Vec::with_capacity(base.len() + added.len());
        let mut added = added.iter();
        for run in &self.0 {
            let from = usize::try_from(run.kept_from).map_err(|_| StepError::NoSuchEntry)?;
            let kept = usize::try_from(run.kept).map_err(|_| StepError::NoSuchEntry)?;
            let until = from.checked_add(kept).ok_or(StepError::NoSuchEntry)?;
            list.extend_from_slice(base.get(from..until).ok_or(StepError::NoSuchEntry)?);
            for _ in 0..run.added {
                list.push(added.next().ok_or(StepError::NoSuchEntry)?.clone());
            }
        }
        Ok(list)
    }
}

/// What one configuration changes in another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigurationStep {
    /// The version that it starts from.
    pub base: u64,
    /// The version that it leads to.
    pub version: u64,
    /// Of the configuration that it leads to.
    digest: u64,
    routes: Runs,
    added_routes: Vec<Route>,
    services: Runs,
    added_services: Vec<BackendService>,
    limits: CallerLimits,
    /// Nothing where callers need no key.
    tenants: Option<Runs>,
    added_tenants: Vec<Tenant>,
}

/// The digest of a configuration; 0 for one that cannot be encoded, which no node can be sent either.
fn digest_of(configuration: &RoutingConfiguration) -> u64 {
    musli::wire::to_vec(configuration).map_or(0, |bytes| xxh3_64(&bytes))
}

impl ConfigurationStep {
    /// What `next` changes in `base`.
    pub fn between(base: &RoutingConfiguration, next: &RoutingConfiguration) -> Self {
        let (routes, added_routes) = Runs::between(&base.routes, &next.routes, |route| &route.name);
        let (services, added_services) =
            Runs::between(&base.services, &next.services, |service| service.name.as_str());
        let old_tenants = base.tenants.as_deref().unwrap_or_default();
        let tenants = next.tenants.as_deref();
        let tenants = tenants.map(|next| Runs::between(old_tenants, next, |tenant| tenant.name.as_str()));
        let (tenants, added_tenants) = tenants.unzip();
        Self {
            base: base.version,
            version: next.version,
            digest: digest_of(next),
            routes,
            added_routes,
            services,
            added_services,
            limits: next.limits,
            tenants,
            added_tenants: added_tenants.unwrap_or_default(),
        }
    }

    /// The configuration that it leads to from `base`; not compared with its digest.
    fn lead(&self, base: &RoutingConfiguration) -> Result<RoutingConfiguration, StepError> {
        if base.version != self.base {
            return Err(StepError::OtherBase);
        }
        let old_tenants = base.tenants.as_deref().unwrap_or_default();
        let tenants = self.tenants.as_ref().map(|runs| runs.apply(old_tenants, &self.added_tenants));
        Ok(RoutingConfiguration {
            version: self.version,
            routes: self.routes.apply(&base.routes, &self.added_routes)?,
            services: self.services.apply(&base.services, &self.added_services)?,
            limits: self.limits,
            tenants: tenants.transpose()?,
        })
    }

    /// The configuration that steps lead to from `base`, one after the other.
    ///
    /// # Errors
    /// Why they do not lead to what they were made for.
    pub fn follow(
        steps: &[ConfigurationStep],
        base: &RoutingConfiguration,
    ) -> Result<RoutingConfiguration, StepError> {
        let (last, others) = steps.split_last().ok_or(StepError::OtherBase)?;
        let mut reached = None;
        for step in others {
            reached = Some(step.lead(reached.as_ref().unwrap_or(base))?);
        }
        let next = last.lead(reached.as_ref().unwrap_or(base))?;
        if digest_of(&next) == last.digest { Ok(next) } else { Err(StepError::OtherContents) }
    }

    /// Its size when it is sent, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        musli::wire::to_vec(self).map_or(usize::MAX, |bytes| bytes.len())
    }
}
