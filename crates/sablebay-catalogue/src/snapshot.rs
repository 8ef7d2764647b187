//! Catalogue updates that nodes exchange.

use musli::{Decode, Encode};

use sablebay_model::Micros;

use crate::configuration::RoutingConfiguration;
use crate::configuration_step::ConfigurationStep;
use crate::confirmation::{ConfigurationRevisions, PeerConfirmation};
use crate::document::DocumentOffer;
use crate::evacuation::ZoneNotice;
use crate::replica::{Replica, ReplicaEntry, ReplicaId};
use crate::revision::{CataloguePosition, CatalogueRevision, Era, EraStage};

/// Additional fields of a removed entry, separate for compatibility with releases without incarnations and
/// eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RemovedIncarnation {
    /// Era of the revision of the removal.
    era: Era,
    /// Start time of the removed incarnation; 0 if unknown.
    started_ms: u64,
}

/// A node's catalogue, or its difference from the receiver's.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct CatalogueSnapshot {
    /// The full configuration, if the sender has no steps from the receiver's version.
    pub configuration: Option<RoutingConfiguration>,
    /// Steps from the receiver's configuration to the newest one.
    #[musli(default)]
    pub steps: Vec<ConfigurationStep>,
    /// Offer of a document with the rest of the update, if too large for one response.
    #[musli(default)]
    pub offer: Option<DocumentOffer>,
    /// Revision number up to which the replicas are known; 0 if nothing is known. `stage` holds the era.
    pub number: u64,
    /// Milliseconds since the sender's catalogue was last confirmed; `None` if never. Not a bound on its age:
    /// see [`CatalogueSnapshot::confirmation`].
    pub heard_ms_ago: Option<u64>,
    /// Number of nodes that the sender has contacted, once it has run long enough.
    pub nodes_met: Option<u64>,
    /// Whether `replicas` is the full list rather than the changes since the receiver's revision.
    pub full: bool,
    /// Replicas with the revision numbers of their entries; the entries hold the eras.
    pub replicas: Vec<(ReplicaEntry, u64)>,
    /// Names of replicas removed since the receiver's revision, with the revision numbers of the removals.
    pub removed: Vec<(ReplicaId, u64)>,
    /// All evacuation settings. `None` from releases without evacuations, whose confirmation does not cover
    /// them.
    #[musli(default)]
    pub zones: Option<Vec<ZoneNotice>>,
    /// Time up to which the sender's configuration is known to be the newest; `None` if unknown or from an
    /// earlier release, which underestimates the age.
    #[musli(default)]
    pub confirmation: Option<PeerConfirmation>,
    /// Revisions of the newest readable and unreadable configurations known to the sender.
    #[musli(default)]
    pub revisions: ConfigurationRevisions,
    /// Era part of the position; `None` from releases without eras.
    #[musli(default)]
    pub stage: Option<EraStage>,
    /// Additional fields of `removed`, in the same order.
    #[musli(default)]
    pub removed_incarnations: Vec<RemovedIncarnation>,
    /// Lowest revision number observed in the source's era.
    #[musli(default)]
    pub first_number: u64,
    /// Time since the sender learned of the era; `None` if not reported.
    #[musli(default)]
    pub era_age: Option<Micros>,
    /// Whether the sender has caught up with what the fleet knew before it started or before the source's
    /// last restore.
    #[musli(default)]
    pub caught_up: bool,
    /// Position of the sender before the source's era.
    #[musli(default)]
    pub known_before: CataloguePosition,
}

impl CatalogueSnapshot {
    /// Version of the newest configuration in the snapshot, if any.
    pub fn version(&self) -> Option<u64> {
        let steps = self.steps.last().map(|step| step.version);
        self.configuration.as_ref().map(|configuration| configuration.version).max(steps)
    }

    /// An empty snapshot at `position`.
    pub fn at(position: CataloguePosition) -> Self {
        Self { number: position.revision().number(), stage: Some(position.stage()), ..Self::default() }
    }

    pub fn replicas_at(&self) -> CataloguePosition {
        match self.number {
            0 => CataloguePosition::NOTHING,
            number => self.stage.unwrap_or(EraStage::UNNAMED).at(number),
        }
    }

    pub fn push_replica(&mut self, replica: &Replica, revision: CatalogueRevision) {
        let mut entry = ReplicaEntry::from(replica);
        entry.era = revision.era();
        self.replicas.push((entry, revision.number()));
    }

    /// Adds a removal; `id` includes the incarnation if known.
    pub fn push_removed(&mut self, id: ReplicaId, revision: CatalogueRevision) {
        self.removed_incarnations
            .push(RemovedIncarnation { era: revision.era(), started_ms: id.started_ms() });
        self.removed.push((id.without_incarnation(), revision.number()));
    }

    /// Takes the replicas with the revisions of their entries.
    pub fn take_replicas(&mut self) -> Vec<(Replica, CatalogueRevision)> {
        let entries = std::mem::take(&mut self.replicas).into_iter();
        entries
            .map(|(entry, number)| {
                let revision = CatalogueRevision::new(entry.era, number);
                (Replica::from(entry), revision)
            })
            .collect()
    }

    /// Takes the removed replicas with the revisions of the removals.
    pub fn take_removed(&mut self) -> Vec<(ReplicaId, CatalogueRevision)> {
        let ended = std::mem::take(&mut self.removed_incarnations)
            .into_iter()
            .chain(std::iter::repeat(RemovedIncarnation::default()));
        let entries = std::mem::take(&mut self.removed).into_iter().zip(ended);
        entries
            .map(|((id, number), ended)| {
                let revision = CatalogueRevision::new(ended.era, number);
                (ReplicaId::with_incarnation(id.name(), ended.started_ms), revision)
            })
            .collect()
    }

    /// Encodes the snapshot; `None` on failure.
    pub fn to_document(&self) -> Option<Vec<u8>> {
        musli::wire::to_vec(self).ok()
    }

    /// Decodes a snapshot; `None` if malformed.
    pub fn from_document(content: &[u8]) -> Option<Self> {
        musli::wire::from_slice(content).ok()
    }
}
