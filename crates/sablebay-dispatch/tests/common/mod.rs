//! Shared fixtures of the tests of the request state machine.

use std::sync::Arc;

use sablebay_catalogue::{Replica, ReplicaId, ReplicaPhase, RoutableReplica, ServiceName};
use sablebay_dispatch::ShardTargets;
use sablebay_model::{Micros, ZoneName};

/// Shards named `s0`, `s1` and so on, each with warm replicas in zone `z`.
pub fn targets(shards: usize, replicas: usize) -> Vec<ShardTargets> {
    let replica = |shard: usize, index: usize| RoutableReplica {
        replica: Arc::new(Replica {
            id: ReplicaId::new(format!("{shard}-{index}")),
            service: ServiceName::new(format!("s{shard}")),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: ZoneName::new("z"),
            slots: 2,
            phase: ReplicaPhase::Ready,
            warm_up_left_ms: 0,
            sequence: 0,
        }),
        last_resort: false,
        beyond_share: false,
        warm_at: Micros(0),
        cold_calls_per_s: None,
    };
    let shard = |shard: usize| ShardTargets {
        service: ServiceName::new(format!("s{shard}")),
        replicas: (0..replicas).map(|index| replica(shard, index)).collect(),
    };
    (0..shards).map(shard).collect()
}
