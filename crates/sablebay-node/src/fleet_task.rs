//! Drives the fleet state machine with time and messages and applies its outputs.

use std::sync::Arc;

use tokio::sync::mpsc;

use sablebay_fleet::{FleetNode, FleetOutput};
use sablebay_model::Micros;
use sablebay_query::Target;

use crate::peers::Incoming;
use crate::shared::Shared;

const TICKS_PER_PERIOD: u64 = 10;

/// Runs until the channel of incoming messages is closed.
pub async fn run_fleet(shared: Arc<Shared>, mut incoming: mpsc::Receiver<Incoming>) {
    let period = Micros::from_millis(shared.settings.probe_period_ms);
    let mut interval = tokio::time::interval(Micros(period.0 / TICKS_PER_PERIOD).as_duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            message = incoming.recv() => {
                let Some(message) = message else {
                    return;
                };
                step_fleet(&shared, |fleet, now, outputs| {
                    fleet.on_message(&message.from, message.address, message.message, now, outputs);
                });
            }
            _ = interval.tick() => {
                step_fleet(&shared, |fleet, now, outputs| fleet.on_tick(now, outputs));
            }
        }
    }
}

/// Runs one step of the fleet state machine and applies its outputs.
pub fn step_fleet<T>(
    shared: &Arc<Shared>,
    step: impl FnOnce(&mut FleetNode, Micros, &mut Vec<FleetOutput>) -> T,
) -> T {
    let mut outputs = Vec::new();
    let now = shared.clock.now();
    let result = {
        let mut fleet = shared.fleet.lock();
        let result = step(&mut fleet, now, &mut outputs);
        shared.freshness.publish(&fleet, now);
        let members_changed = outputs.iter().any(|output| matches!(output, FleetOutput::MemberChanged(..)));
        if members_changed {
            shared.update_view(|view| view.with_members(fleet.members()));
        }
        for output in &outputs {
            if let FleetOutput::Adopted(configuration) = output {
                shared.update_view(|view| view.with_configuration(configuration.clone()));
            }
        }
        result
    };
    for output in outputs {
        perform(shared, output);
    }
    result
}

fn perform(shared: &Arc<Shared>, output: FleetOutput) {
    match output {
        FleetOutput::Send { to, message } => shared.peers.send(to, message),
        FleetOutput::Adopted(configuration) => {
            let version = configuration.version;
            log::info!("configuration: revision {version} is in force.");
            shared.metrics.revision.set(version.revision.0 as i64);
        }
        FleetOutput::MemberChanged(member, status) => log::info!("fleet: {member} is {status}."),
        FleetOutput::LeafChanged(leaf, leaving) => {
            let word = if leaving { "is leaving" } else { "is back" };
            log::info!("fleet: leaf {leaf} {word}.");
            let target = Target::Leaf(leaf);
            for state in shared.service_states() {
                state.direct.lock().balancer.set_leaving(&target, leaving);
            }
        }
        FleetOutput::Rejected(version) => {
            log::warn!("configuration: revision {version} is rejected; see the admin API for its findings.");
        }
    }
}

/// Announces to the fleet that a leaf is leaving or is back, unless this is known already.
pub fn note_leaf(shared: &Arc<Shared>, leaf: &sablebay_model::LeafId, leaving: bool) {
    if shared.fleet.lock().leaving_leaves().is_leaving(leaf) == leaving {
        return;
    }
    let stamp = shared.clock.wall().0;
    step_fleet(shared, |fleet, _, outputs| fleet.note_leaf(leaf.clone(), leaving, stamp, outputs));
}
