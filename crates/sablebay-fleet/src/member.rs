//! One member of the fleet, and the state machine of its life as another node sees it.

use std::net::SocketAddr;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use statig::prelude::*;

use sablebay_model::{InstanceKey, Micros, RegionName, ZoneName};

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct MemberInfo {
    /// Name and life.
    pub key: InstanceKey,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// Whether it gathers shards for others. Nodes of releases that could not do it do not say so.
    #[musli(default)]
    #[serde(default)]
    pub gathers: bool,
    /// Whether it can take over from another gatherer. Nodes of releases that could not do it do not say
    /// so.
    #[musli(default)]
    #[serde(default)]
    pub takes_over: bool,
    /// Whether it hears and tells of requests that back ends ended under. Nodes of releases that could not do
    /// it do not say so.
    #[musli(default)]
    #[serde(default)]
    pub shares_quarantine: bool,
    /// Whether it keeps accounts of tenants' quotas. Nodes of releases that could not do it do not say so.
    #[musli(default)]
    #[serde(default)]
    pub keeps_accounts: bool,
    /// Its share of a processor core, in percent; 0 of releases that did not say it.
    #[musli(default)]
    #[serde(default)]
    pub core_percent: u32,
}

/// What is believed of a member.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// It answers probes.
    #[display("alive")]
    Alive,
    /// It did not answer; it has a while to say that it lives.
    #[display("suspect")]
    Suspect,
    /// It said that it stops.
    #[display("leaving")]
    Leaving,
    /// It is gone.
    #[display("dead")]
    Dead,
}

/// What one node hears about another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// Somebody claims a status, with the member's refutation count as they know it.
    Claimed {
        /// The status.
        status: MemberStatus,
        /// The member's refutation count.
        refutation: u32,
        /// When it was heard.
        now: Micros,
    },
    /// A suspicion lasted until the given time without being refuted.
    SuspicionExpired {
        /// When.
        now: Micros,
    },
}

/// The life of one member. A claim counts when its refutation count is higher than the known
/// one, or equal with a worse status: so only the member itself can take a suspicion back.
#[derive(Clone, Debug, Default)]
pub struct MemberLifecycle {
    /// The highest refutation count heard.
    pub refutation: u32,
    /// When the present state began.
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

    /// A leaving member is not suspected. It comes back by its own word alone, which has a
    /// higher refutation count.
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
    /// The status that this state stands for.
    pub fn status(&self) -> MemberStatus {
        match self {
            State::Alive { .. } => MemberStatus::Alive,
            State::Suspect { .. } => MemberStatus::Suspect,
            State::Leaving { .. } => MemberStatus::Leaving,
            State::Dead { .. } => MemberStatus::Dead,
        }
    }
}
