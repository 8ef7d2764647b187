//! Answers catalogue requests of peers.

use std::time::Duration;

use sablebay_catalogue::{CatalogueSnapshot, CatalogueView, DocumentOffer, PeerPosition};
use sablebay_model::{InstanceKey, Micros};
use sablebay_protocol::peer::RequesterPosition;

use crate::catalogue_store::LargeUpdate;
use crate::shared::Shared;

/// The longest time for which a request is held open.
const MAXIMUM_WAIT: Duration = Duration::from_secs(5);

/// A long-polling request of a peer for catalogue updates.
#[derive(Clone, Copy, Debug)]
pub struct CatalogueRequest {
    /// Version of the configuration that the peer has or is fetching; 0 when none.
    pub version: u64,
    /// Number of the revision up to which the peer knows the replicas; 0 when none.
    pub number: u64,
    /// The rest of the peer's position; absent from older releases, which send revision numbers only.
    pub requester: Option<RequesterPosition>,
    /// How long the peer waits for an update.
    pub wait: Duration,
    /// Whether the peer accepts configuration steps and fetches large updates in chunks.
    pub takes_documents: bool,
}

impl CatalogueRequest {
    /// Whether the peer is catching up and this node has caught up: the peer is answered at once.
    fn is_catch_up_ready(&self, view: &CatalogueView, now: Micros) -> bool {
        self.requester.is_some_and(|requester| requester.catch_up_from.is_some()) && view.has_caught_up(now)
    }

    /// The position from which the peer needs updates.
    fn position(&self, view: &CatalogueView, now: Micros) -> PeerPosition {
        let Some(requester) = self.requester else {
            // An older release names no era. Assuming the current one avoids sending the full listing each time.
            return view.replicas_at().stage().at(self.number).into();
        };
        let at = requester.stage.at(self.number);
        let at = requester.catch_up_from.filter(|_| view.has_caught_up(now)).unwrap_or(at);
        PeerPosition { at, known_before: requester.known_before }
    }
}

/// Answers with the updates for a peer once there are any, or when its wait is over.
pub async fn answer_catalogue(
    shared: &Shared,
    from: &InstanceKey,
    request: CatalogueRequest,
) -> CatalogueSnapshot {
    let CatalogueRequest { version, wait, takes_documents, .. } = request;
    let asked_at = shared.clock.now();
    shared.catalogue.note_version(version, asked_at);
    let (peer, is_catch_up_ready) = shared
        .catalogue
        .read(|view| (request.position(view, asked_at), request.is_catch_up_ready(view, asked_at)));
    if !is_catch_up_ready {
        shared.catalogue.wait_for_newer(version, peer.at, wait.min(MAXIMUM_WAIT)).await;
    }
    let now = shared.clock.now();
    shared.catalogue.documents.expire(now);
    let held = now.since(asked_at);
    if !takes_documents {
        return shared.catalogue.snapshot(version, peer, held, now);
    }
    let (answer, large) = shared.catalogue.snapshot_or_document(version, peer, held, now);
    CatalogueSnapshot { offer: large.map(|large| offer_to(shared, from, large)), ..answer }
}

/// Offers a document, to be fetched from this node or from a peer in the requester's zone.
fn offer_to(shared: &Shared, from: &InstanceKey, large: LargeUpdate) -> DocumentOffer {
    let requester = shared.fleet.lock().members().get(&from.node).map(|member| member.info.clone());
    let source = requester.and_then(|requester| {
        let is_own_zone = requester.zone == shared.info.zone;
        let documents = &shared.catalogue.documents;
        documents.source_for(large.digest, requester.peer_address, &requester.zone, is_own_zone)
    });
    DocumentOffer {
        digest: large.digest,
        version: large.version,
        lists_replicas: large.lists_replicas,
        source,
    }
}
