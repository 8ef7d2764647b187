//! Answers to peers that ask what is new in the catalogue.

use std::time::Duration;

use sablebay_catalogue::{CataloguePosition, CatalogueSnapshot, CatalogueView, DocumentOffer, EraStage};
use sablebay_model::{InstanceKey, Micros};

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
    /// The stage of the era of that revision; nothing from a node of an earlier release, which knows no eras.
    pub stage: Option<EraStage>,
    /// Up to where it knew the replicas before it started, or before the source came back from an older copy, when it has
    /// yet to learn what others knew then.
    pub learns_from: Option<CataloguePosition>,
    /// How long it waits until there is something new.
    pub wait: Duration,
    /// Whether it takes steps between configurations, and fetches large answers in chunks.
    pub takes_documents: bool,
}

impl CatalogueQuestion {
    /// Whether this node knows what the asker has yet to learn: it is answered at once.
    fn teaches(&self, shared: &Shared, now: Micros) -> bool {
        self.learns_from.is_some() && shared.catalogue.read(|view| view.has_learnt(now))
    }

    /// From where on the asker is told.
    fn replicas_at(&self, view: &CatalogueView, now: Micros) -> CataloguePosition {
        match (self.learns_from, self.stage) {
            (Some(learns_from), _) if view.has_learnt(now) => learns_from,
            (_, Some(stage)) => stage.at(self.number),
            // Numbers are all that it knows: they are taken for the era's that this node knows. It is told at once where they
            // are lower, and not again and again for an era that it does not name.
            (_, None) => view.replicas_at().stage().at(self.number),
        }
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
    let replicas_at = shared.catalogue.read(|view| question.replicas_at(view, asked_at));
    if !question.teaches(shared, asked_at) {
        shared.catalogue.wait_for_newer(version, replicas_at, wait.min(LONGEST_WAIT)).await;
    }
    let now = shared.clock.now();
    shared.catalogue.documents.expire(now);
    let held = now.since(asked_at);
    if !takes_documents {
        return shared.catalogue.snapshot(version, replicas_at, held, now);
    }
    let (answer, large) = shared.catalogue.news(version, replicas_at, held, now);
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
