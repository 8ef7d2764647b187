//! Counts the bytes between this node and others, by what they are for and by whether they stay in
//! its zone: bytes that cross between zones are paid for.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use sablebay_model::ZoneName;
use sablebay_protocol::peer::{PeerMessage, PeerRequest, PeerResponse};

/// What bytes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrafficKind {
    /// Greetings, probes and rumours between nodes.
    Membership,
    /// Catalogue and configuration, from node to node.
    Catalogue,
    /// Requests to gather shards, and their cancellation.
    GatherRequest,
    /// Merged parts and signs of life of those who gather.
    MergedPart,
    /// The first call of a shard at a replica.
    FirstCall,
    /// A further call of a shard: hedges and retries.
    ExtraCall,
    /// Everything else.
    Other,
}

impl TrafficKind {
    fn label(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Catalogue => "catalogue",
            Self::GatherRequest => "gather_request",
            Self::MergedPart => "merged_part",
            Self::FirstCall => "first_call",
            Self::ExtraCall => "extra_call",
            Self::Other => "other",
        }
    }

    /// What a message between nodes is for.
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Greeting(_) | PeerMessage::Fleet(_) => Self::Membership,
            PeerMessage::Request { request: PeerRequest::Catalogue { .. }, .. }
            | PeerMessage::Response { response: PeerResponse::Catalogue(_), .. } => Self::Catalogue,
            PeerMessage::Request { request: PeerRequest::PartialGather(_), .. }
            | PeerMessage::Cancel { .. } => Self::GatherRequest,
            PeerMessage::Response { response: PeerResponse::Gathered(_), .. }
            | PeerMessage::Progress { .. } => Self::MergedPart,
            PeerMessage::Request { .. } | PeerMessage::Response { .. } => Self::Other,
        }
    }
}

/// Whether the other end is in this node's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrafficSpan {
    /// It is.
    OwnZone,
    /// It is in another.
    OtherZone,
}

impl TrafficSpan {
    const ALL: [Self; 2] = [Self::OwnZone, Self::OtherZone];

    fn label(self) -> &'static str {
        match self {
            Self::OwnZone => "own",
            Self::OtherZone => "other",
        }
    }

    /// Of a node in zone `own` and an end in zone `other`.
    pub fn between(own: &ZoneName, other: &ZoneName) -> Self {
        if own == other { Self::OwnZone } else { Self::OtherZone }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    kind: &'static str,
    zone: &'static str,
}

fn labels(kind: TrafficKind, span: TrafficSpan) -> TrafficLabels {
    TrafficLabels { kind: kind.label(), zone: span.label() }
}

/// Bytes sent and received since the start, without the headers of TCP and IP.
#[derive(Clone, Debug, Default)]
pub struct TrafficLedger {
    sent: Family<TrafficLabels, Counter>,
    received: Family<TrafficLabels, Counter>,
}

impl TrafficLedger {
    /// Counts bytes that were sent.
    pub fn sent(&self, kind: TrafficKind, span: TrafficSpan, bytes: u64) {
        self.sent.get_or_create(&labels(kind, span)).inc_by(bytes);
    }

    /// Counts bytes that came in.
    pub fn received(&self, kind: TrafficKind, span: TrafficSpan, bytes: u64) {
        self.received.get_or_create(&labels(kind, span)).inc_by(bytes);
    }

    /// Bytes sent of a kind, to all zones.
    pub fn total_sent(&self, kind: TrafficKind) -> u64 {
        TrafficSpan::ALL.iter().map(|span| self.sent.get_or_create(&labels(kind, *span)).get()).sum()
    }

    /// Adds the counts to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("traffic_sent_bytes", "Bytes sent, by kind and zone", self.sent.clone());
        registry.register(
            "traffic_received_bytes",
            "Bytes received, by kind and zone",
            self.received.clone(),
        );
    }
}
