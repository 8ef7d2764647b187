//! A snapshot of the routes and replicas available for new work, and the check before a call is sent.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use derive_more::Display;

use sablebay_catalogue::{RoutableReplica, RouteTable, ServiceName};
use sablebay_dispatch::ShardTargets;
use sablebay_model::ZoneName;

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};

/// A snapshot of the routes and replicas available for new work.
#[derive(Debug, Default)]
pub struct RoutingView {
    /// The routes; none before the first configuration.
    pub routes: Option<Arc<RouteTable>>,
    /// The replicas by service, without those in evacuated zones.
    pub replicas: HashMap<ServiceName, Arc<[RoutableReplica]>>,
    /// The evacuated zones, whose replicas get no new work.
    pub evacuated: BTreeSet<ZoneName>,
}

impl RoutingView {
    /// A service with its available replicas.
    pub fn targets(&self, service: &ServiceName) -> ShardTargets {
        let replicas = self.replicas.get(service).cloned().unwrap_or_else(|| Arc::from([]));
        ShardTargets { service: service.clone(), replicas }
    }

    /// The current entry of a replica; `None` if it gets no new work.
    pub fn routable(&self, replica: &RoutableReplica) -> Option<&RoutableReplica> {
        let known = self.replicas.get(&replica.replica.service)?;
        known.iter().find(|known| known.replica.id == replica.replica.id)
    }
}

impl RoutingView {
    /// The current entry of a replica.
    ///
    /// # Errors
    /// Why it gets no new work.
    fn accepting(&self, replica: &RoutableReplica) -> Result<&RoutableReplica, Withheld> {
        let evacuated = self.evacuated.contains(&replica.replica.zone);
        self.routable(replica).ok_or(if evacuated { Withheld::Evacuated } else { Withheld::Leaving })
    }
}

/// Why a call is not sent to the replica chosen for it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Withheld {
    /// The machine was suspended and the catalogue has not been confirmed since.
    #[display("the machine was suspended, and the catalogue is not confirmed since")]
    Unconfirmed,
    /// The replica's zone has been evacuated.
    #[display("its zone is evacuated")]
    Evacuated,
    /// The replica is leaving, or its entry was removed.
    #[display("it takes no new work any more")]
    Leaving,
    /// The replica is cold, and this node's share of its capacity is used up.
    #[display("it is cold")]
    Cold,
}

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// Checks that a chosen replica still accepts work. Called for every call, including hedges, retries and
    /// delegated ones, after the wait for a connection.
    ///
    /// # Errors
    /// The reason why the call must not be sent.
    pub fn permit_sending(&self, replica: &RoutableReplica) -> Result<(), Withheld> {
        if !self.is_confirmed() {
            return Err(Withheld::Unconfirmed);
        }
        let view = self.view.load();
        let known = view.accepting(replica)?;
        let granted = self.dispatch.lock().table.take_cold_call(known, self.clock().now());
        if granted { Ok(()) } else { Err(Withheld::Cold) }
    }

    /// Waits until a replica gets no new work any more.
    pub async fn withheld(&self, replica: &RoutableReplica) -> Withheld {
        let mut installs = self.view_installs.subscribe();
        loop {
            if let Err(why) = self.view.load().accepting(replica) {
                return why;
            }
            if installs.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Whether the current view has this node keep connections to a replica.
    pub fn keeps_connections_to(&self, replica: &RoutableReplica) -> bool {
        self.view.load().routable(replica).is_some_and(|known| !known.beyond_share)
    }
}
