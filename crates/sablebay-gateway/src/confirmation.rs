//! Whether what this node knows of routes and replicas may be acted on.

use std::sync::atomic::Ordering;

use sablebay_model::Micros;

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// Since when the catalogue was not confirmed; since long before the start when it never was.
    pub fn catalogue_age(&self) -> Micros {
        let now = self.clock().now();
        self.node.catalogue.confirmed_ago(now).unwrap_or(now)
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
        let Some(slept) = self.node.suspension.look(&self.clock()) else {
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
        self.node.suspension.is_confirmed(self.node.catalogue.confirmed_at(), self.clock().now())
    }

    /// Notes that the catalogue was as it is known at some moment after `at`, by an answer to what was asked at
    /// `asked_at`. One that may have waited here while the machine was suspended confirms nothing.
    pub fn confirm_catalogue(&self, asked_at: Micros, at: Micros) {
        self.look_for_suspension();
        if !self.node.suspension.woke_since(asked_at) {
            self.node.catalogue.confirm(at);
        }
    }
}
