//! What one node knows of the catalogue, as it passes it on to another.

use musli::{Decode, Encode};

use crate::configuration::RoutingConfiguration;
use crate::configuration_step::ConfigurationStep;
use crate::confirmation::{ConfigurationRevisions, PeerConfirmation};
use crate::document::DocumentOffer;
use crate::evacuation::ZoneNotice;
use crate::replica::{ReplicaEntry, ReplicaId};

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
    /// The revision up to which the replicas are known; 0 when nothing is known.
    pub replicas_at: u64,
    /// How long ago the sender last heard that its knowledge is the newest, in milliseconds; nothing when it never
    /// did. No bound of anything: see [`CatalogueSnapshot::confirmation`].
    pub heard_ms_ago: Option<u64>,
    /// The number of nodes that the sender has met, when it has run for long enough to know.
    pub nodes_met: Option<u64>,
    /// Whether `replicas` are all that there are; otherwise they are those that changed since the
    /// revision that the receiver knew.
    pub whole: bool,
    /// The replicas with the revisions of their entries.
    pub replicas: Vec<(ReplicaEntry, u64)>,
    /// The names of the replicas whose entries went since the revision that the receiver knew, with the
    /// revisions at which they went.
    pub gone: Vec<(ReplicaId, u64)>,
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
}

impl CatalogueSnapshot {
    /// The version of the newest configuration that it holds; nothing when it holds none.
    pub fn version(&self) -> Option<u64> {
        let steps = self.steps.last().map(|step| step.version);
        self.configuration.as_ref().map(|configuration| configuration.version).max(steps)
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
