//! The node's clocks. The only place where the shell reads them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, Timespec, clock_gettime};

use sablebay_model::{Micros, WallMillis};

/// What a clock is read from. The two differ by the time that the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct ClockSource {
    /// Time since the machine was started, without what it was suspended for: tokio's timers go by this.
    pub running: fn() -> Duration,
    /// The same with it.
    pub elapsed: fn() -> Duration,
}

fn read(id: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(id);
    Duration::new(tv_sec.unsigned_abs(), tv_nsec.unsigned_abs() as u32)
}

impl ClockSource {
    /// The machine's.
    const SYSTEM: Self = Self { running: || read(ClockId::Monotonic), elapsed: || read(ClockId::Boottime) };
}

/// A monotonic clock, and a wall clock that never steps back within a life of the node.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: ClockSource,
    started_running: Duration,
    started: Duration,
    started_wall_ms: u64,
}

/// Offset of the monotonic clock's start, so that "long before the start" can be expressed.
const START: Micros = Micros::from_secs(3_600);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self::start_from(ClockSource::SYSTEM)
    }

    /// A clock that starts now and goes by another source; for tests.
    pub fn start_from(source: ClockSource) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            source,
            started_running: (source.running)(),
            started: (source.elapsed)(),
            started_wall_ms: since_epoch.as_millis() as u64,
        }
    }

    /// Now, on the monotonic clock.
    pub fn now(&self) -> Micros {
        START.plus(Micros::from(self.running_for()))
    }

    /// How long the clock has run: since the start of the node. The time that the machine was suspended counts:
    /// callers waited meanwhile, replicas left, and leases ran out.
    pub fn running_for(&self) -> Duration {
        (self.source.elapsed)().saturating_sub(self.started)
    }

    /// How long the machine was suspended since the start of the node.
    pub fn suspended_for(&self) -> Duration {
        self.running_for().saturating_sub((self.source.running)().saturating_sub(self.started_running))
    }

    /// Now, on the wall clock: its reading at the start, plus what the monotonic clock went on.
    ///
    /// Holders of claims rely on this not stepping back when somebody sets the clock.
    pub fn wall(&self) -> WallMillis {
        WallMillis(self.started_wall_ms + self.running_for().as_millis() as u64)
    }

    /// The instant for tokio's timers at a point of the monotonic clock.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let left = at.since(self.now()).0.min(u64::from(u32::MAX) * 1_000);
        tokio::time::Instant::now() + Micros(left).as_duration()
    }
}
