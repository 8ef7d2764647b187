//! Adoption and distribution of configurations.

use std::net::SocketAddr;
use std::sync::Arc;

use sablebay_config::{Configuration, Delta, Finding, Version};
use sablebay_model::{InstanceKey, Micros};

use super::spreading::Source;
use super::{FleetNode, FleetOutput};
use crate::floor::{OfferOutcome, Rejection};
use crate::message::{ConfigurationPart, FleetMessage};
use crate::rumour::Rumour;
use crate::transfer::{Assembly, parts_of};

/// Maximum size of a pushed delta, in bytes. For larger deltas only the version is announced.
const MAXIMUM_PUSHED_BYTES: usize = 32 * 1024;
/// How long to wait for the response to a configuration request before another peer is asked.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(1_000);
/// Maximum number of findings of a rejected revision sent to other nodes.
const MAXIMUM_SHARED_FINDINGS: usize = 10;

impl FleetNode {
    /// Offers a validated configuration read from the platform.
    pub fn offer_from_platform(
        &mut self,
        configuration: Arc<Configuration>,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) -> OfferOutcome {
        self.offer(configuration, now, outputs)
    }

    /// Records that the platform has no newer configuration. Renews the freshness lease if no other member is
    /// present.
    pub fn platform_confirmed(&mut self, asked_at: Micros) {
        if self.is_alone() {
            self.lease.confirm(asked_at);
        }
    }

    /// Records and announces the rejection of a revision read from the platform.
    pub fn reject(&mut self, version: Version, findings: Vec<Finding>, outputs: &mut Vec<FleetOutput>) {
        let by = self.info.key.clone();
        let rejection = Rejection { version, by: by.to_string(), findings };
        self.apply_rejection(rejection, by, outputs);
    }

    pub(super) fn apply_rejection(
        &mut self,
        rejection: Rejection,
        by: InstanceKey,
        outputs: &mut Vec<FleetOutput>,
    ) {
        let version = rejection.version;
        let shared = rejection.findings.iter().take(MAXIMUM_SHARED_FINDINGS).cloned().collect();
        if !self.floor.reject(rejection) {
            return;
        }
        outputs.push(FleetOutput::Rejected(version));
        let source = if by == self.info.key { Source::Local } else { Source::Received };
        self.spread(Rumour::Rejected { version, by, findings: shared }, source, outputs);
    }

    fn offer(
        &mut self,
        configuration: Arc<Configuration>,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) -> OfferOutcome {
        let offer = self.floor.offer(configuration, now);
        self.after_offer(&offer, outputs);
        offer
    }

    fn after_offer(&mut self, offer: &OfferOutcome, outputs: &mut Vec<FleetOutput>) {
        let OfferOutcome::Adopted { .. } = offer else {
            return;
        };
        self.update_caught_up();
        if let Some(configuration) = self.floor.in_force() {
            outputs.push(FleetOutput::Adopted(configuration.clone()));
        }
        if !self.floor.lags() {
            self.requested_at = None;
            self.assembly = None;
        }
        if self.settings.mechanisms.push {
            self.push_configuration(outputs);
        }
    }

    /// Sends the adopted configuration to random peers, which forward it in turn.
    fn push_configuration(&mut self, outputs: &mut Vec<FleetOutput>) {
        let small = |delta: &&Arc<Delta>| delta.content_bytes() <= MAXIMUM_PUSHED_BYTES;
        let message = match self.floor.last_delta().filter(small) {
            Some(delta) => FleetMessage::ConfigurationDelta { delta: delta.clone() },
            None => FleetMessage::ConfigurationAnnounced { version: self.floor.version() },
        };
        for to in self.random_peers(self.settings.push_fan_out) {
            self.send(to, message.clone(), outputs);
        }
    }

    /// Processes a version known to a peer, and requests it if newer.
    pub(super) fn on_peer_version(
        &mut self,
        from: SocketAddr,
        version: Version,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) {
        if !self.floor.observe_version(version) {
            return;
        }
        let request_pending = self.requested_at.is_some_and(|at| now.since(at) < REQUEST_TIMEOUT);
        if !request_pending {
            self.request_from(from, now, outputs);
        }
    }

    fn request_from(&mut self, from: SocketAddr, now: Micros, outputs: &mut Vec<FleetOutput>) {
        self.requested_at = Some(now);
        let have = self.floor.version();
        self.send(from, FleetMessage::ConfigurationRequest { have }, outputs);
    }

    /// Requests a missing configuration from another peer after a timeout.
    pub(super) fn tick_configuration(&mut self, now: Micros, outputs: &mut Vec<FleetOutput>) {
        if !self.floor.lags() {
            return;
        }
        let is_receiving = self.assembly.as_ref().is_some_and(|assembly| !assembly.is_stalled(now));
        let request_pending = self.requested_at.is_some_and(|at| now.since(at) < REQUEST_TIMEOUT);
        if is_receiving || request_pending {
            return;
        }
        for to in self.random_peers(1) {
            self.request_from(to, now, outputs);
        }
    }

    pub(super) fn on_configuration_request(
        &mut self,
        to: SocketAddr,
        have: Version,
        outputs: &mut Vec<FleetOutput>,
    ) {
        let version = self.floor.version();
        if have >= version {
            return;
        }
        if let Some(deltas) = self.floor.deltas_since(have) {
            for delta in deltas {
                self.send(to, FleetMessage::ConfigurationDelta { delta }, outputs);
            }
            return;
        }
        let Some(configuration) = self.floor.in_force() else {
            return;
        };
        for part in parts_of(&configuration.document) {
            self.send(to, part, outputs);
        }
    }

    pub(super) fn on_delta(
        &mut self,
        from: SocketAddr,
        delta: Arc<Delta>,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) {
        let target = delta.to;
        match self.floor.offer_delta(&delta, now) {
            Some(offer) => self.after_offer(&offer, outputs),
            None => self.on_peer_version(from, target, now, outputs),
        }
    }

    pub(super) fn on_part(&mut self, part: ConfigurationPart, now: Micros, outputs: &mut Vec<FleetOutput>) {
        let version = part.version;
        self.floor.observe_version(version);
        if version <= self.floor.version() {
            return;
        }
        let newer = self.assembly.as_ref().is_none_or(|assembly| assembly.version() < version);
        if newer {
            self.assembly = Some(Assembly::new(version, part.parts, now));
        }
        let Some(assembly) = self.assembly.as_mut().filter(|assembly| assembly.version() == version) else {
            return;
        };
        let Some(document) = assembly.add(part.part, part.entries, now) else {
            return;
        };
        self.assembly = None;
        if let Ok(configuration) = Configuration::from_document(document) {
            self.offer(Arc::new(configuration), now, outputs);
        }
    }
}
