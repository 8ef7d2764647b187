//! Deltas between configurations, which nodes exchange instead of full configurations.
//!
//! Invariant: a step yields exactly the configuration that it was computed for, or an error. It names its
//! base version and carries a digest of the result, because two nodes may hold different contents under one
//! version, for example after an upgrade that adds fields.

use std::collections::HashMap;

use derive_more::{Display, Error};
use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

use sablebay_tenants::Tenant;

use crate::configuration::{BackendService, CallerLimits, Route, RoutingConfiguration};

#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum StepError {
    #[display("step starts from another version")]
    BaseMismatch,
    /// The step refers to entries that the base does not have.
    #[display("step refers to entries that its base does not have")]
    MissingEntry,
    /// The result does not match the digest.
    #[display("result does not match the digest of the step")]
    DigestMismatch,
}

/// A run of entries copied from the old list, followed by new entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
struct Run {
    /// Index of the first copied entry.
    kept_from: u64,
    /// Number of copied entries.
    kept: u64,
    /// Number of new entries.
    added: u64,
}

/// Edit script that turns one list into another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
struct Runs(Vec<Run>);

impl Runs {
    /// Computes the edit script from `base` to `next` and the entries that `base` lacks. Entries with equal
    /// `name` are compared.
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

    /// Applies the edit script to `base`, taking new entries from `added`.
    fn apply<T: Clone>(&self, base: &[T], added: &[T]) -> Result<Vec<T>, StepError> {
        let mut list = Vec::with_capacity(base.len() + added.len());
        let mut added = added.iter();
        for run in &self.0 {
            let from = usize::try_from(run.kept_from).map_err(|_| StepError::MissingEntry)?;
            let kept = usize::try_from(run.kept).map_err(|_| StepError::MissingEntry)?;
            let until = from.checked_add(kept).ok_or(StepError::MissingEntry)?;
            list.extend_from_slice(base.get(from..until).ok_or(StepError::MissingEntry)?);
            for _ in 0..run.added {
                list.push(added.next().ok_or(StepError::MissingEntry)?.clone());
            }
        }
        Ok(list)
    }
}

/// A delta between two configurations.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigurationStep {
    pub base: u64,
    pub version: u64,
    /// Digest of the resulting configuration.
    digest: u64,
    routes: Runs,
    added_routes: Vec<Route>,
    services: Runs,
    added_services: Vec<BackendService>,
    limits: CallerLimits,
    /// `None` if callers need no key.
    tenants: Option<Runs>,
    added_tenants: Vec<Tenant>,
}

/// Returns 0 for a configuration that cannot be encoded; such a configuration cannot be sent either.
fn digest_of(configuration: &RoutingConfiguration) -> u64 {
    musli::wire::to_vec(configuration).map_or(0, |bytes| xxh3_64(&bytes))
}

impl ConfigurationStep {
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

    /// Applies the step to `base` without checking the digest.
    fn apply_unchecked(&self, base: &RoutingConfiguration) -> Result<RoutingConfiguration, StepError> {
        if base.version != self.base {
            return Err(StepError::BaseMismatch);
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

    /// Applies consecutive steps to `base`.
    ///
    /// # Errors
    /// Fails if a step does not match its base or the result does not match the digest of the last step.
    pub fn apply_all(
        steps: &[ConfigurationStep],
        base: &RoutingConfiguration,
    ) -> Result<RoutingConfiguration, StepError> {
        let (last, others) = steps.split_last().ok_or(StepError::BaseMismatch)?;
        let mut reached = None;
        for step in others {
            reached = Some(step.apply_unchecked(reached.as_ref().unwrap_or(base))?);
        }
        let next = last.apply_unchecked(reached.as_ref().unwrap_or(base))?;
        if digest_of(&next) == last.digest { Ok(next) } else { Err(StepError::DigestMismatch) }
    }

    pub fn encoded_bytes(&self) -> usize {
        musli::wire::to_vec(self).map_or(usize::MAX, |bytes| bytes.len())
    }
}
