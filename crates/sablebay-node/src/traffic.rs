//! Counts bytes exchanged with other machines, by purpose and by whether they cross zones, which may be billed.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use sablebay_fleet::FleetMessage;
use sablebay_model::ZoneName;
use sablebay_protocol::peer::{PeerMessage, PeerRequest, PeerResponse};

/// The purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrafficKind {
    /// Nonces and greetings of new connections.
    Greeting,
    /// Probes and acknowledgements without rumours.
    Probe,
    /// Rumours, and probes that carry them.
    Rumour,
    /// Member lists and requests for them.
    MemberList,
    /// Configurations of leaf services.
    Configuration,
    /// Requests for catalogue updates.
    CatalogueRequest,
    /// Catalogue updates.
    CatalogueAnswer,
    /// Chunks of large catalogue updates and requests for them.
    CatalogueChunk,
    /// Quarantine notices and leases.
    Quarantine,
    /// Requests to gather shards, and their cancellation.
    GatherRequest,
    /// Merged results and heartbeats of gatherers.
    MergedPart,
    /// First calls to replicas of a shard.
    FirstCall,
    /// Hedges and retries.
    ExtraCall,
    /// Requests to quota accounts and their answers.
    Quota,
    /// Everything else: searches, claims and reports.
    Other,
}

impl TrafficKind {
    const ALL: [Self; 15] = [
        Self::Greeting,
        Self::Probe,
        Self::Rumour,
        Self::MemberList,
        Self::Configuration,
        Self::CatalogueRequest,
        Self::CatalogueAnswer,
        Self::CatalogueChunk,
        Self::Quarantine,
        Self::GatherRequest,
        Self::MergedPart,
        Self::FirstCall,
        Self::ExtraCall,
        Self::Quota,
        Self::Other,
    ];

    fn label(self) -> &'static str {
        match self {
            Self::Greeting => "greeting",
            Self::Probe => "probe",
            Self::Rumour => "rumour",
            Self::MemberList => "member_list",
            Self::Configuration => "configuration",
            Self::CatalogueRequest => "catalogue_question",
            Self::CatalogueAnswer => "catalogue_answer",
            Self::CatalogueChunk => "catalogue_chunk",
            Self::Quarantine => "quarantine",
            Self::GatherRequest => "gather_request",
            Self::MergedPart => "merged_part",
            Self::FirstCall => "first_call",
            Self::ExtraCall => "extra_call",
            Self::Quota => "quota",
            Self::Other => "other",
        }
    }

    /// Whether messages of this kind are control traffic, independent of any request.
    pub fn is_control(self) -> bool {
        match self {
            Self::Greeting | Self::Probe | Self::Rumour | Self::MemberList | Self::Configuration => true,
            Self::CatalogueRequest | Self::CatalogueAnswer | Self::CatalogueChunk => true,
            Self::Quarantine | Self::GatherRequest | Self::MergedPart => false,
            Self::FirstCall | Self::ExtraCall | Self::Quota | Self::Other => false,
        }
    }

    /// The kind of a message between nodes.
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Greeting(_) => Self::Greeting,
            PeerMessage::Fleet(message) => Self::of_fleet(message),
            PeerMessage::Request { request, .. } => Self::of_request(request),
            PeerMessage::Response { response, .. } => Self::of_response(response),
            PeerMessage::Cancel { .. } => Self::GatherRequest,
            PeerMessage::Progress { .. } => Self::MergedPart,
        }
    }

    fn of_fleet(message: &FleetMessage) -> Self {
        match message {
            FleetMessage::Probe(probe) if probe.rumours.is_empty() => Self::Probe,
            FleetMessage::ProbeAck { rumours, .. } if rumours.is_empty() => Self::Probe,
            FleetMessage::IndirectProbe { .. } | FleetMessage::IndirectAck { .. } => Self::Probe,
            FleetMessage::Probe(_) | FleetMessage::ProbeAck { .. } | FleetMessage::Gossip { .. } => {
                Self::Rumour
            }
            FleetMessage::MembersRequest | FleetMessage::Members { .. } => Self::MemberList,
            FleetMessage::ConfigurationDelta { .. }
            | FleetMessage::ConfigurationAnnounced { .. }
            | FleetMessage::ConfigurationRequest { .. }
            | FleetMessage::ConfigurationPart(_) => Self::Configuration,
        }
    }

    fn of_request(request: &PeerRequest) -> Self {
        match request {
            PeerRequest::Catalogue { .. } => Self::CatalogueRequest,
            PeerRequest::DocumentChunk { .. } => Self::CatalogueChunk,
            PeerRequest::PartialGather(_) => Self::GatherRequest,
            PeerRequest::Quarantine { .. }
            | PeerRequest::QuarantineLease { .. }
            | PeerRequest::QuarantineLeaseEnd { .. } => Self::Quarantine,
            PeerRequest::Quota(_) => Self::Quota,
            _ => Self::Other,
        }
    }

    fn of_response(response: &PeerResponse) -> Self {
        match response {
            PeerResponse::Catalogue(_) => Self::CatalogueAnswer,
            PeerResponse::DocumentChunk { .. } | PeerResponse::NoDocumentChunk => Self::CatalogueChunk,
            PeerResponse::Gathered(_) => Self::MergedPart,
            PeerResponse::Quarantine(_) | PeerResponse::QuarantineLease { .. } => Self::Quarantine,
            PeerResponse::Quota(_) => Self::Quota,
            _ => Self::Other,
        }
    }
}

/// Whether the remote end is in this node's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrafficSpan {
    OwnZone,
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

/// Bytes sent and received since the start and bytes queued for sending, without TCP and IP headers.
#[derive(Clone, Debug, Default)]
pub struct TrafficLedger {
    sent: Family<TrafficLabels, Counter>,
    received: Family<TrafficLabels, Counter>,
    queued: Family<TrafficLabels, Gauge>,
}

impl TrafficLedger {
    pub fn sent(&self, kind: TrafficKind, span: TrafficSpan, bytes: u64) {
        self.sent.get_or_create(&labels(kind, span)).inc_by(bytes);
    }

    pub fn received(&self, kind: TrafficKind, span: TrafficSpan, bytes: u64) {
        self.received.get_or_create(&labels(kind, span)).inc_by(bytes);
    }

    /// Adds bytes that are queued for sending.
    pub fn queued(&self, kind: TrafficKind, span: TrafficSpan, bytes: u64) {
        self.queued.get_or_create(&labels(kind, span)).inc_by(bytes as i64);
    }

    /// Removes bytes that are no longer queued.
    pub fn unqueued(&self, kind: TrafficKind, span: TrafficSpan, bytes: u64) {
        self.queued.get_or_create(&labels(kind, span)).dec_by(bytes as i64);
    }

    pub fn total_sent(&self, kind: TrafficKind) -> u64 {
        TrafficSpan::ALL.iter().map(|span| self.sent.get_or_create(&labels(kind, *span)).get()).sum()
    }

    /// Bytes of control traffic sent to all zones.
    pub fn control_sent(&self) -> u64 {
        TrafficKind::ALL.into_iter().filter(|kind| kind.is_control()).map(|kind| self.total_sent(kind)).sum()
    }

    /// A log line with the bytes sent and received of each kind, within the zone and across zones. Kinds without traffic
    /// are omitted.
    pub fn summary(&self) -> String {
        let rows = TrafficKind::ALL.iter().filter_map(|kind| {
            let cell = |span| {
                let labels = labels(*kind, span);
                (self.sent.get_or_create(&labels).get(), self.received.get_or_create(&labels).get())
            };
            let (own, other) = (cell(TrafficSpan::OwnZone), cell(TrafficSpan::OtherZone));
            let any = own.0 + own.1 + other.0 + other.1 > 0;
            any.then(|| format!("{} {}/{} {}/{}", kind.label(), own.0, own.1, other.0, other.1))
        });
        rows.collect::<Vec<String>>().join(", ")
    }

    pub fn register(&self, registry: &mut Registry) {
        registry.register("traffic_sent_bytes", "Bytes sent, by kind and zone", self.sent.clone());
        registry.register(
            "traffic_queued_bytes",
            "Bytes that wait to be sent, by kind and zone",
            self.queued.clone(),
        );
        registry.register(
            "traffic_received_bytes",
            "Bytes received, by kind and zone",
            self.received.clone(),
        );
    }
}
