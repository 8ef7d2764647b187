//! Tracks how recently the catalogue and the configuration were confirmed, and whether they may be used.

use std::sync::atomic::Ordering;

use sablebay_catalogue::{CatalogueView, LimitedAge};
use sablebay_model::Micros;

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// Time since the source or a peer last confirmed that the catalogue is current; the whole clock value when none
    /// ever did. Scheduling of source reads uses this age.
    pub fn catalogue_age(&self) -> Micros {
        let now = self.clock().now();
        self.node.catalogue.contact_ago(now).unwrap_or(now)
    }

    /// Time since the latest moment for which the local configuration is known to be the newest; the whole clock value
    /// when there is none. Authentication by key uses this age.
    pub fn configuration_age(&self) -> Micros {
        let now = self.clock().now();
        self.node.catalogue.confirmed_ago(now).unwrap_or(now)
    }

    /// The maximum configuration age for authentication, if one is set.
    pub fn revocation_limit(&self) -> Option<Micros> {
        let limit = self.settings.load().revocation_limit_ms;
        (limit > 0).then_some(Micros::from_millis(limit))
    }

    /// The configuration age with its limit. `None` when there is no limit, or when a newer configuration is known that
    /// could not be read: no update can lower the age then.
    pub fn limited_age(&self) -> Option<LimitedAge> {
        let limit = self.revocation_limit()?;
        let newest = self.node.catalogue.read(CatalogueView::has_newest_configuration);
        newest.then(|| LimitedAge { age: self.configuration_age().as_duration(), limit: limit.as_duration() })
    }

    /// Whether a newer configuration than the one in force has been announced.
    pub fn is_behind(&self) -> bool {
        self.node.catalogue.read(|view| view.incoming().announced().is_some())
    }

    /// Records both ages and the lag behind the announced configuration in the metrics.
    pub fn record_ages(&self) {
        let now = self.clock().now();
        let (version, announced) =
            self.node.catalogue.read(|view| (view.version(), view.incoming().announced()));
        self.metrics.announced_version.set(announced.map_or(version, |announced| announced.version) as i64);
        self.metrics
            .behind
            .set(announced.map_or(0, |announced| now.since(announced.since).as_millis()) as i64);
        self.metrics.catalogue_age.set(self.catalogue_age().as_millis() as i64);
        self.metrics.configuration_age.observe(self.configuration_age().as_secs_f64());
    }

    /// Whether the configuration may be outdated: the source is failing, and no confirmation arrived recently.
    pub fn catalogue_is_old(&self) -> bool {
        const OLD: Micros = Micros::from_millis(1_500);
        self.source_fails.load(Ordering::Relaxed) && self.catalogue_age() > OLD
    }

    /// Detects that the machine was suspended. Idle connections are closed: their remote ends have dropped them, or the
    /// addresses now belong to other processes.
    pub fn check_suspension(&self) {
        let Some(slept) = self.node.suspension.detect(&self.clock()) else {
            return;
        };
        log::warn!(suspended_ms = slept.as_millis(), catalogue_age_ms = self.catalogue_age().as_millis(); "node: the machine was suspended; nothing is sent until the catalogue is confirmed.");
        for connections in self.connections.lock().values() {
            connections.close_idle();
        }
    }

    /// Whether the catalogue may be used. After a suspension it must be confirmed first.
    pub fn is_confirmed(&self) -> bool {
        self.check_suspension();
        self.node.suspension.is_confirmed(self.node.catalogue.last_contact(), self.clock().now())
    }

    /// Records that the catalogue was current at `at`, by an answer to a request sent at `asked_at`. Ignored when the
    /// machine was suspended in between, since the answer may have been waiting locally.
    pub fn record_contact(&self, asked_at: Micros, at: Micros) {
        self.check_suspension();
        if !self.node.suspension.resumed_since(asked_at) {
            self.node.catalogue.record_contact(at);
        }
    }

    /// Confirms the configuration by an answer of the source, unless the source was restored from an older copy and has
    /// not settled.
    pub fn confirm_by_source(&self, asked_at: Micros, bound: Micros) {
        if self.node.catalogue.read(CatalogueView::source_confirms) {
            self.confirm_configuration(asked_at, bound);
        }
    }

    /// Records that the local configuration is the newest at least up to `bound`. Ignored while a newer one is known
    /// that could not be read.
    pub fn confirm_configuration(&self, asked_at: Micros, bound: Micros) {
        self.check_suspension();
        let newest = self.node.catalogue.read(CatalogueView::has_newest_configuration);
        if newest && !self.node.suspension.resumed_since(asked_at) {
            self.node.catalogue.confirm(bound);
        }
    }
}
