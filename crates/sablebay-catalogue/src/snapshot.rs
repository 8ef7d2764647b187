//! What one node knows of the catalogue, as it passes it on to another.

use musli::{Decode, Encode};

use sablebay_model::Micros;

use crate::configuration::RoutingConfiguration;
use crate::configuration_step::ConfigurationStep;
use crate::confirmation::{ConfigurationRevisions, PeerConfirmation};
use crate::document::DocumentOffer;
use crate::evacuation::ZoneNotice;
use crate::replica::{Replica, ReplicaEntry, ReplicaId};
use crate::revision::{CataloguePosition, CatalogueRevision, Era, EraStage};

/// More of an entry that went, for nodes that know lives and eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RemovedIncarnation {
    /// The era of the revision at which it went.
    era: Era,
    /// The start of the life that it was of; 0 when that is not known.
    started_ms: u64,
}

/// What one node knows, with the revisions that order it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct CatalogueSnapshot {
    /// The configuration, when the receiver had an older one that no steps are known from.
    pub configuration: Option<RoutingConfiguration>,
    /// The steps to the newest configuration from the one that the receiver had.
    #[musli(default)]
    pub steps: Vec<ConfigurationStep>,
    /// Where there is more that the receiver is missing: too much for one answer.
    #[musli(default)]
    pub offer: Option<DocumentOffer>,
    /// The number of the revision up to which the replicas are known; 0 when nothing is known. `stage` tells its era.
    pub number: u64,
    /// How long ago the sender last heard that its knowledge is the newest, in milliseconds; nothing when it never
    /// did. No bound of anything: see [`CatalogueSnapshot::confirmation`].
    pub heard_ms_ago: Option<u64>,
    /// The number of nodes that the sender has met, when it has run for long enough to know.
    pub nodes_met: Option<u64>,
    /// Whether `replicas` are all that there are; otherwise they are those that changed since the
    /// revision that the receiver knew.
    pub full: bool,
    /// The replicas with the numbers of the revisions of their entries, which tell their eras.
    pub replicas: Vec<(ReplicaEntry, u64)>,
    /// The names of the replicas whose entries went since the revision that the receiver knew, with the
    /// numbers of the revisions at which they went.
    pub removed: Vec<(ReplicaId, u64)>,
    /// What operators said of zones, all of it. Nothing from a node of an earlier release, which takes
    /// the catalogue for confirmed without having read this.
    #[musli(default)]
    pub zones: Option<Vec<ZoneNotice>>,
    /// Up to when the sender's configuration is the newest; nothing when it knows of no such moment. Nothing from a
    /// node of an earlier release as well: what that one takes for the age of its knowledge is less than it is.
    #[musli(default)]
    pub confirmation: Option<PeerConfirmation>,
    /// Which configurations the sender could read, and could not.
    #[musli(default)]
    pub revisions: ConfigurationRevisions,
    /// The rest of what `number` says; nothing from a node of an earlier release, which knows no eras.
    #[musli(default)]
    pub stage: Option<EraStage>,
    /// More of what is `gone`, in the same order.
    #[musli(default)]
    pub removed_incarnations: Vec<RemovedIncarnation>,
    /// The lowest number that was heard of in the source's era.
    #[musli(default)]
    pub first_number: u64,
    /// How long the sender has known of the era; nothing when it says nothing of it.
    #[musli(default)]
    pub era_age: Option<Micros>,
    /// Whether the sender knows what the fleet knew before it started, or before the source's last return.
    #[musli(default)]
    pub caught_up: bool,
    /// Up to where the sender knew the catalogue before the source's era.
    #[musli(default)]
    pub known_before: CataloguePosition,
}

impl CatalogueSnapshot {
    /// The version of the newest configuration that it holds; nothing when it holds none.
    pub fn version(&self) -> Option<u64> {
        let steps = self.steps.last().map(|step| step.version);
        self.configuration.as_ref().map(|configuration| configuration.version).max(steps)
    }

    /// One that tells how far the sender knows the replicas.
    pub fn at(position: CataloguePosition) -> Self {
        Self { number: position.revision().number(), stage: Some(position.stage()), ..Self::default() }
    }

    /// How far the sender knows the replicas.
    pub fn replicas_at(&self) -> CataloguePosition {
        match self.number {
            0 => CataloguePosition::NOTHING,
            number => self.stage.unwrap_or(EraStage::UNNAMED).at(number),
        }
    }

    /// Tells of a replica.
    pub fn push_replica(&mut self, replica: &Replica, revision: CatalogueRevision) {
        let mut entry = ReplicaEntry::from(replica);
        entry.era = revision.era();
        self.replicas.push((entry, revision.number()));
    }

    /// Tells that the entry of a replica went, of a life where that is known.
    pub fn push_removed(&mut self, id: ReplicaId, revision: CatalogueRevision) {
        self.removed_incarnations
            .push(RemovedIncarnation { era: revision.era(), started_ms: id.started_ms() });
        self.removed.push((id.without_incarnation(), revision.number()));
    }

    /// Takes out the replicas that are told of, with the revisions of their entries.
    pub fn take_replicas(&mut self) -> Vec<(Replica, CatalogueRevision)> {
        let told = std::mem::take(&mut self.replicas).into_iter();
        told.map(|(entry, number)| {
            let revision = CatalogueRevision::new(entry.era, number);
            (Replica::from(entry), revision)
        })
        .collect()
    }

    /// Takes out those whose entries went, with the revisions at which they did.
    pub fn take_removed(&mut self) -> Vec<(ReplicaId, CatalogueRevision)> {
        let ended = std::mem::take(&mut self.removed_incarnations)
            .into_iter()
            .chain(std::iter::repeat(RemovedIncarnation::default()));
        let told = std::mem::take(&mut self.removed).into_iter().zip(ended);
        told.map(|((id, number), ended)| {
            let revision = CatalogueRevision::new(ended.era, number);
            (ReplicaId::with_incarnation(id.name(), ended.started_ms), revision)
        })
        .collect()
    }

    /// As a document. Nothing when it cannot be encoded.
    pub fn to_document(&self) -> Option<Vec<u8>> {
        musli::wire::to_vec(self).ok()
    }

    /// Out of a document. Nothing when it is none.
    pub fn from_document(content: &[u8]) -> Option<Self> {
        musli::wire::from_slice(content).ok()
    }
}
