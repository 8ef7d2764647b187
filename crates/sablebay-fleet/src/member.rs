//! Member metadata, and the state machine of a member's status as seen by another node.

use std::net::SocketAddr;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use statig::prelude::*;

use sablebay_model::{InstanceKey, Micros, RegionName, ZoneName};

/// Metadata that a member announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct MemberInfo {
    /// Node name and incarnation.
    pub key: InstanceKey,
    pub zone: ZoneName,
    pub region: RegionName,
    /// Address for peer connections.
    pub peer_address: SocketAddr,
    /// Address for caller connections.
    pub caller_address: SocketAddr,
    /// Address for operator connections.
    pub admin_address: SocketAddr,
    /// Whether the member gathers shards for other nodes. Absent in messages from releases without this feature.
    #[musli(default)]
    #[serde(default)]
    pub gathers: bool,
    /// Whether the member can take over from another gatherer. Absent in messages from releases without
    /// this feature.
    #[musli(default)]
    #[serde(default)]
    pub takes_over: bool,
    /// Whether the member exchanges notices about requests during which back ends terminated. Absent in messages
    /// from releases without this feature.
    #[musli(default)]
    #[serde(default)]
    pub shares_quarantine: bool,
    /// Whether the member keeps quota accounts for tenants. Absent in messages from releases without this feature.
    #[musli(default)]
    #[serde(default)]
    pub keeps_accounts: bool,
    /// CPU allotment in percent of one core. 0 if the member's release does not report it.
    #[musli(default)]
    #[serde(default)]
    pub core_percent: u32,
}

/// A member's status as seen by another node.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// The member acknowledges probes.
    #[display("alive")]
    Alive,
    /// The member did not acknowledge a probe and may still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// The member announced that it is stopping.
    #[display("leaving")]
    Leaving,
    /// The suspicion was not refuted in time.
    #[display("dead")]
    Dead,
}

/// An event that may change a member's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A node claims a status, with the refutation count that it knows for the member.
    Claimed {
        status: MemberStatus,
        refutation: u32,
        /// Time of receipt.
        now: Micros,
    },
    /// A suspicion was not refuted by the given time.
    SuspicionExpired { now: Micros },
}

/// Status state machine of a member. A claim applies if its refutation count is higher than the known
/// count, or equal with a worse status, so only the member itself can clear a suspicion.
#[derive(Clone, Debug, Default)]
pub struct MemberLifecycle {
    /// The highest refutation count received.
    pub refutation: u32,
    /// When the current state began.
    pub since: Micros,
}

impl MemberLifecycle {
    fn next(&mut self, event: &MemberEvent, known: MemberStatus) -> Outcome<State> {
        match *event {
            MemberEvent::Claimed { status, refutation, now } => {
                let newer = refutation > self.refutation;
                let worse = refutation == self.refutation && status > known;
                if !newer && !worse {
                    return Handled;
                }
                self.refutation = refutation;
                if status == known {
                    return Handled;
                }
                self.since = now;
                Transition(state_for(status))
            }
            MemberEvent::SuspicionExpired { now } if known == MemberStatus::Suspect => {
                self.since = now;
                Transition(State::dead())
            }
            MemberEvent::SuspicionExpired { .. } => Handled,
        }
    }
}

fn state_for(status: MemberStatus) -> State {
    match status {
        MemberStatus::Alive => State::alive(),
        MemberStatus::Suspect => State::suspect(),
        MemberStatus::Leaving => State::leaving(),
        MemberStatus::Dead => State::dead(),
    }
}

#[state_machine(initial = "State::alive()", state(derive(Clone, Debug, PartialEq, Eq)))]
impl MemberLifecycle {
    #[state]
    fn alive(&mut self, event: &MemberEvent) -> Outcome<State> {
        self.next(event, MemberStatus::Alive)
    }

    #[state]
    fn suspect(&mut self, event: &MemberEvent) -> Outcome<State> {
        self.next(event, MemberStatus::Suspect)
    }

    /// A leaving member is not suspected. Only the member itself can return to `alive`, by
    /// announcing a higher refutation count.
    #[state]
    fn leaving(&mut self, event: &MemberEvent) -> Outcome<State> {
        self.next(event, MemberStatus::Leaving)
    }

    #[state]
    fn dead(&mut self, event: &MemberEvent) -> Outcome<State> {
        self.next(event, MemberStatus::Dead)
    }
}

impl State {
    pub fn status(&self) -> MemberStatus {
        match self {
            State::Alive { .. } => MemberStatus::Alive,
            State::Suspect { .. } => MemberStatus::Suspect,
            State::Leaving { .. } => MemberStatus::Leaving,
            State::Dead { .. } => MemberStatus::Dead,
        }
    }
}
