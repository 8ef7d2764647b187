//! Answers to peers that ask what is new in the catalogue.

use std::time::Duration;

use sablebay_catalogue::{CatalogueSnapshot, CatalogueView, DocumentOffer, PeerPosition};
use sablebay_model::{InstanceKey, Micros};
use sablebay_protocol::peer::RequesterPosition;

use crate::catalogue_store::LargeNews;
use crate::shared::Shared;

/// The longest that a question is held.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// What a peer asks for.
#[derive(Clone, Copy, Debug)]
pub struct CatalogueQuestion {
    /// The version of the configuration that it has, or is fetching; 0 when none.
    pub version: u64,
    /// The number of the revision up to which it knows the replicas; 0 when none.
    pub number: u64,
    /// The rest of where it stands; nothing from a node of an earlier release, which knows numbers alone.
    pub requester: Option<RequesterPosition>,
    /// How long it waits until there is something new.
    pub wait: Duration,
    /// Whether it takes steps between configurations, and fetches large answers in chunks.
    pub takes_documents: bool,
}

impl CatalogueQuestion {
    /// Whether this node knows what the asker has yet to learn: it is answered at once.
    fn is_taught(&self, view: &CatalogueView, now: Micros) -> bool {
        self.requester.is_some_and(|requester| requester.catch_up_from.is_some()) && view.has_caught_up(now)
    }

    /// From where on the asker is told.
    fn position(&self, view: &CatalogueView, now: Micros) -> PeerPosition {
        let Some(requester) = self.requester else {
            // Its number is taken for one of the era that this node knows: it would be told again and again for an era that it
            // does not name.
            return view.replicas_at().stage().at(self.number).into();
        };
        let at = requester.stage.at(self.number);
        let at = requester.catch_up_from.filter(|_| view.has_caught_up(now)).unwrap_or(at);
        PeerPosition { at, known_before: requester.known_before }
    }
}

/// What a peer is missing, as soon as there is anything or its time is over.
pub async fn answer_catalogue(
    shared: &Shared,
    from: &InstanceKey,
    question: CatalogueQuestion,
) -> CatalogueSnapshot {
    let CatalogueQuestion { version, wait, takes_documents, .. } = question;
    let asked_at = shared.clock.now();
    shared.catalogue.hear_of(version, asked_at);
    let (peer, is_taught) =
        shared.catalogue.read(|view| (question.position(view, asked_at), question.is_taught(view, asked_at)));
    if !is_taught {
        shared.catalogue.wait_for_newer(version, peer.at, wait.min(LONGEST_WAIT)).await;
    }
    let now = shared.clock.now();
    shared.catalogue.documents.expire(now);
    let held = now.since(asked_at);
    if !takes_documents {
        return shared.catalogue.snapshot(version, peer, held, now);
    }
    let (answer, large) = shared.catalogue.news(version, peer, held, now);
    CatalogueSnapshot { offer: large.map(|large| offer_to(shared, from, large)), ..answer }
}

/// Tells a peer where it gets a document: from here, or from a peer beside it that asked before.
fn offer_to(shared: &Shared, from: &InstanceKey, large: LargeNews) -> DocumentOffer {
    let asker = shared.fleet.lock().members().get(&from.node).map(|member| member.info.clone());
    let source = asker.and_then(|asker| {
        let is_own_zone = asker.zone == shared.info.zone;
        let documents = &shared.catalogue.documents;
        documents.source_for(large.digest, asker.peer_address, &asker.zone, is_own_zone)
    });
    DocumentOffer {
        digest: large.digest,
        version: large.version,
        lists_replicas: large.lists_replicas,
        source,
    }
}
