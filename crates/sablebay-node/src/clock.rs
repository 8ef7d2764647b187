//! The node's monotonic and wall clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, Timespec, clock_gettime};

use sablebay_model::{Micros, WallMillis};

/// The source of a clock. The two readings differ by the time for which the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct ClockSource {
    /// Time since boot without suspension, as used by tokio's timers.
    pub running: fn() -> Duration,
    /// Time since boot, including suspension.
    pub elapsed: fn() -> Duration,
}

fn read(id: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(id);
    Duration::new(tv_sec.unsigned_abs(), tv_nsec.unsigned_abs() as u32)
}

impl ClockSource {
    /// The clocks of the operating system.
    const SYSTEM: Self = Self { running: || read(ClockId::Monotonic), elapsed: || read(ClockId::Boottime) };
}

/// A monotonic clock, and a wall clock that never goes back within one incarnation of the node.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: ClockSource,
    started_running: Duration,
    started: Duration,
    started_wall_ms: u64,
}

/// Reading of the monotonic clock at its start; nonzero so that earlier times can be expressed.
const START: Micros = Micros::from_secs(3_600);

impl Clock {
    pub fn start() -> Self {
        Self::start_from(ClockSource::SYSTEM)
    }

    /// A clock that starts now and reads `source`; for tests.
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

    /// Time since the start of the clock, including suspension, since deadlines and leases expire meanwhile.
    pub fn running_for(&self) -> Duration {
        (self.source.elapsed)().saturating_sub(self.started)
    }

    /// Total time for which the machine was suspended since the start of the clock.
    pub fn suspended_for(&self) -> Duration {
        self.running_for().saturating_sub((self.source.running)().saturating_sub(self.started_running))
    }

    /// Now, on the wall clock: its reading at the start plus the elapsed monotonic time.
    ///
    /// Claim holders rely on this not going back when the system clock is set.
    pub fn wall(&self) -> WallMillis {
        WallMillis(self.started_wall_ms + self.running_for().as_millis() as u64)
    }

    /// Converts a time of the monotonic clock to an instant for tokio's timers.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let left = at.since(self.now()).0.min(u64::from(u32::MAX) * 1_000);
        tokio::time::Instant::now() + Micros(left).as_duration()
    }
}
