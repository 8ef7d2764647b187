//! Whether what this node knows of routes and replicas may be acted on.

use std::sync::atomic::Ordering;

use sablebay_catalogue::{CatalogueView, LimitedAge};
use sablebay_model::Micros;

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// Since when nobody said that there is nothing newer than the catalogue known here; since long before the start
    /// when nobody ever did. Reads of the source go by this.
    pub fn catalogue_age(&self) -> Micros {
        let now = self.clock().now();
        self.node.catalogue.contact_ago(now).unwrap_or(now)
    }

    /// The age of the moment up to which the configuration known here is the newest for certain; since long before the
    /// start when there is none. Requests with a key go by this.
    pub fn configuration_age(&self) -> Micros {
        let now = self.clock().now();
        self.node.catalogue.confirmed_ago(now).unwrap_or(now)
    }

    /// The limit on that age, where there is one.
    pub fn revocation_limit(&self) -> Option<Micros> {
        let limit = self.settings.load().revocation_limit_ms;
        (limit > 0).then_some(Micros::from_millis(limit))
    }

    /// That age where it is limited and more news may lessen it: not while a configuration is known of that could not
    /// be read.
    pub fn limited_age(&self) -> Option<LimitedAge> {
        let limit = self.revocation_limit()?;
        let newest = self.node.catalogue.read(CatalogueView::has_newest_configuration);
        newest.then(|| LimitedAge { age: self.configuration_age().as_duration(), limit: limit.as_duration() })
    }

    /// Whether a configuration was heard of that is newer than the one in force here.
    pub fn is_behind(&self) -> bool {
        self.node.catalogue.read(|view| view.incoming().announced().is_some())
    }

    /// Puts both ages into the metrics, and how far this node knows itself behind.
    pub fn note_ages(&self) {
        let now = self.clock().now();
        let (version, heard) = self.node.catalogue.read(|view| (view.version(), view.incoming().announced()));
        self.metrics.heard_version.set(heard.map_or(version, |heard| heard.version) as i64);
        self.metrics.behind.set(heard.map_or(0, |heard| now.since(heard.since).as_millis()) as i64);
        self.metrics.catalogue_age.set(self.catalogue_age().as_millis() as i64);
        self.metrics.configuration_age.observe(self.configuration_age().as_secs_f64());
    }

    /// Whether the configuration may well have been replaced without this node's knowing: the
    /// source fails, and did not confirm it of late.
    pub fn catalogue_is_old(&self) -> bool {
        const OLD: Micros = Micros::from_millis(1_500);
        self.source_fails.load(Ordering::Relaxed) && self.catalogue_age() > OLD
    }

    /// Looks whether the machine was suspended. Connections that rested meanwhile are closed: their other ends have
    /// forgotten them, or have passed their addresses on.
    pub fn look_for_suspension(&self) {
        let Some(slept) = self.node.suspension.detect(&self.clock()) else {
            return;
        };
        log::warn!(suspended_ms = slept.as_millis(), catalogue_age_ms = self.catalogue_age().as_millis(); "node: the machine was suspended; nothing is sent until the catalogue is confirmed.");
        for connections in self.connections.lock().values() {
            connections.close_idle();
        }
    }

    /// Whether what this node knows may be acted on: not after its machine was suspended, until the catalogue has
    /// been confirmed.
    pub fn is_confirmed(&self) -> bool {
        self.look_for_suspension();
        self.node.suspension.is_confirmed(self.node.catalogue.last_contact(), self.clock().now())
    }

    /// Notes that there was nothing newer at `at`, by an answer to what was asked at `asked_at`. One that may have
    /// waited here while the machine was suspended says nothing.
    pub fn note_contact(&self, asked_at: Micros, at: Micros) {
        self.look_for_suspension();
        if !self.node.suspension.resumed_since(asked_at) {
            self.node.catalogue.record_contact(at);
        }
    }

    /// The same by an answer of the source, which is no word of what was there before its last return.
    pub fn confirm_by_source(&self, asked_at: Micros, bound: Micros) {
        if self.node.catalogue.read(CatalogueView::source_confirms) {
            self.confirm_configuration(asked_at, bound);
        }
    }

    /// Notes that the configuration known here is the newest up to `bound` at the least, by such an answer. Not while
    /// one is known of that could not be read.
    pub fn confirm_configuration(&self, asked_at: Micros, bound: Micros) {
        self.look_for_suspension();
        let newest = self.node.catalogue.read(CatalogueView::has_newest_configuration);
        if newest && !self.node.suspension.resumed_since(asked_at) {
            self.node.catalogue.confirm(bound);
        }
    }
}
