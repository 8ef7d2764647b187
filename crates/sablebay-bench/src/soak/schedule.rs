//! Storms: randomly drawn sequences of faults.

use std::time::Duration;

use rand::{Rng, RngExt};

use sablebay_platform_standin::{LeafBehaviour, SOUND_HEAD, StoreMode, UNPROVEN_HEADS};
use sablebay_standin::Faults;

use super::deployment::{LEAVES, Link, NODES, SoakDeployment};
use super::routes::SHARDS;
use crate::error::BenchError;

/// One fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Pauses a process for a time.
    Pause(usize, Duration),
    /// Kills a process and restarts it after a time.
    Kill(usize, Duration),
    /// Stops a process gracefully and restarts it after a time.
    Terminate(usize, Duration),
    /// Injects network faults into a link for a time.
    Disturb(Link, Faults, Duration),
    /// Resets every connection of a link.
    Reset(Link),
    /// Sets a fault mode of the store for a time.
    Store(StoreMode, Duration),
    /// The store drops its history.
    ForgetHistory,
    /// The store makes a copy of its contents.
    BackUpStore,
    /// The store is down for a time and restored from the copy; lost keys are rewritten gradually.
    RestoreStore(Duration),
    /// Sets a faulty behaviour of a back end for a time.
    Leaf(usize, LeafBehaviour, Duration),
    /// Sets a faulty behaviour of all back ends of a shard for a time; `None` means the single
    /// service.
    Service(Option<u8>, LeafBehaviour, Duration),
    /// Publishes a configuration.
    Publish,
    /// Publishes a configuration with the other shard set.
    Reshard,
}

/// Faults with their start times relative to the start of the storm.
#[derive(Clone, Debug)]
pub struct Storm {
    /// The faults in order of time.
    pub faults: Vec<(Duration, Fault)>,
}

/// Period in which faults start.
const STORM_DURATION: Duration = Duration::from_secs(6);
/// Range of the interval between faults.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..600;

fn milliseconds(random: &mut impl Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

fn pick<T: Clone>(random: &mut impl Rng, choices: &[T]) -> T {
    choices[random.random_range(0..choices.len())].clone()
}

fn draw_link(random: &mut impl Rng) -> Link {
    let node = random.random_range(0..NODES);
    match random.random_range(0..4) {
        0 => Link::Callers(node),
        1 => Link::Store(node),
        2 => Link::Peers(node),
        _ => Link::Leaf(random.random_range(0..LEAVES)),
    }
}

fn draw_disturbance(random: &mut impl Rng) -> Faults {
    match random.random_range(0..5) {
        0 => Faults {
            delay: milliseconds(random, 5..120),
            jitter: milliseconds(random, 0..60),
            ..Faults::default()
        },
        1 => Faults { refuse: true, ..Faults::default() },
        2 => Faults { black_hole_forward: true, ..Faults::default() },
        3 => Faults { black_hole_back: true, ..Faults::default() },
        _ => Faults::cut(),
    }
}

fn draw_store_mode(random: &mut impl Rng) -> StoreMode {
    let slow = StoreMode::Slow(milliseconds(random, 100..900));
    let modes = [StoreMode::Refusing, StoreMode::Throttling, StoreMode::Silent, StoreMode::Garbling, slow];
    pick(random, &modes)
}

fn draw_behaviour(random: &mut impl Rng) -> LeafBehaviour {
    let slow = LeafBehaviour::Slow(milliseconds(random, 20..600));
    let flapping = LeafBehaviour::Flapping(milliseconds(random, 50..400));
    let forgetful = LeafBehaviour::ForgetIdle(milliseconds(random, 5..200));
    let behaviours = [
        slow,
        flapping,
        forgetful,
        LeafBehaviour::Grey,
        LeafBehaviour::Queued,
        LeafBehaviour::Silent,
        LeafBehaviour::LoseAnswer,
        LeafBehaviour::BreakOff,
        LeafBehaviour::Unframed,
        LeafBehaviour::Extra,
        LeafBehaviour::Foreign,
        LeafBehaviour::Garbage,
        LeafBehaviour::Shed,
        LeafBehaviour::Misdirected,
        LeafBehaviour::Fail,
        LeafBehaviour::CloseAfter,
    ];
    pick(random, &behaviours)
}

/// Number of bytes of a sound head that are sent; at most the whole head without a body.
const CUT_BYTES: std::ops::Range<usize> = 0..160;

/// Draws an answer whose head makes it none.
fn draw_unreliable_answer(random: &mut impl Rng) -> LeafBehaviour {
    let head = pick(random, &UNPROVEN_HEADS);
    match random.random_range(0..3) {
        0 => LeafBehaviour::HeadCut { head: SOUND_HEAD, bytes: random.random_range(CUT_BYTES) },
        _ => LeafBehaviour::Head(head),
    }
}

fn draw_fault(random: &mut impl Rng) -> Fault {
    let node = random.random_range(0..NODES);
    match random.random_range(0..20) {
        0 => Fault::Pause(node, milliseconds(random, 100..1_500)),
        1 => Fault::Kill(node, milliseconds(random, 50..800)),
        2 => Fault::Terminate(node, milliseconds(random, 50..400)),
        3..=5 => {
            Fault::Disturb(draw_link(random), draw_disturbance(random), milliseconds(random, 200..2_500))
        }
        6 => Fault::Reset(draw_link(random)),
        7..=9 => Fault::Store(draw_store_mode(random), milliseconds(random, 200..3_000)),
        10 => Fault::ForgetHistory,
        11..=12 => {
            let behaviour = draw_behaviour(random);
            let shard = random.random_range(0..SHARDS * 2);
            Fault::Service((shard < SHARDS).then_some(shard), behaviour, milliseconds(random, 200..2_000))
        }
        13..=16 => {
            let behaviour = draw_behaviour(random);
            Fault::Leaf(random.random_range(0..LEAVES), behaviour, milliseconds(random, 200..2_000))
        }
        17..=18 => Fault::Publish,
        _ => Fault::Reshard,
    }
}

impl Storm {
    pub fn draw(random: &mut impl Rng) -> Self {
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        while at < STORM_DURATION {
            faults.push((at, draw_fault(random)));
            at += milliseconds(random, FAULT_INTERVAL_MS);
        }
        Self { faults }
    }

    /// Adds up to four back ends or services whose answers report success without proving it.
    pub fn with_unreliable_answers(mut self, random: &mut impl Rng) -> Self {
        let storm_ms = STORM_DURATION.as_millis() as u64;
        for _ in 0..random.random_range(1..5) {
            let behaviour = draw_unreliable_answer(random);
            let lasts = milliseconds(random, 200..2_000);
            let shard = random.random_range(0..SHARDS * 2);
            let fault = match random.random_bool(0.5) {
                true => Fault::Leaf(random.random_range(0..LEAVES), behaviour, lasts),
                false => Fault::Service((shard < SHARDS).then_some(shard), behaviour, lasts),
            };
            self.faults.push((milliseconds(random, 0..storm_ms), fault));
        }
        self.faults.sort_by_key(|(at, _)| *at);
        self
    }

    /// Adds one or two restores of the store from an older copy.
    pub fn with_store_restores(mut self, random: &mut impl Rng) -> Self {
        let half = (STORM_DURATION / 2).as_millis() as u64;
        self.faults.push((Duration::ZERO, Fault::BackUpStore));
        let first = milliseconds(random, 1_000..half);
        self.faults.push((first, Fault::RestoreStore(milliseconds(random, 50..1_500))));
        if random.random_bool(0.5) {
            let second = milliseconds(random, half..2 * half);
            self.faults.push((second, Fault::RestoreStore(milliseconds(random, 50..1_500))));
        }
        self.faults.sort_by_key(|(at, _)| *at);
        self
    }
}

/// Plays a storm. Faults that outlast the storm end with [`SoakDeployment::heal`].
pub async fn play(storm: &Storm, deployment: &mut SoakDeployment) -> Result<(), BenchError> {
    let started = tokio::time::Instant::now();
    for (at, fault) in &storm.faults {
        tokio::time::sleep_until(started + *at).await;
        deployment.run_due_recoveries().await?;
        deployment.inject(fault).await?;
    }
    Ok(())
}
