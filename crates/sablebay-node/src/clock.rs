//! The node's clocks. The only place where the shell reads them.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use sablebay_model::{Micros, WallMillis};

/// A monotonic clock, and a wall clock that never steps back within a life of the node.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_wall_ms: u64,
}

/// Offset of the monotonic clock's start, so that "long before the start" can be expressed.
const START: Micros = Micros::from_secs(3_600);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), started_wall_ms: since_epoch.as_millis() as u64 }
    }

    /// Now, on the monotonic clock.
    pub fn now(&self) -> Micros {
        START.plus(Micros::from(self.started.elapsed()))
    }

    /// How long the clock has run: since the start of the node.
    pub fn running_for(&self) -> std::time::Duration {
        self.started.elapsed()
    }

    /// Now, on the wall clock: its reading at the start, plus what the monotonic clock went on.
    ///
    /// Holders of claims rely on this not stepping back when somebody sets the clock.
    pub fn wall(&self) -> WallMillis {
        WallMillis(self.started_wall_ms + self.started.elapsed().as_millis() as u64)
    }

    /// The instant for tokio's timers at a point of the monotonic clock.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let offset = at.since(START).0.min(u64::from(u32::MAX) * 1_000);
        tokio::time::Instant::from_std(self.started + Micros(offset).as_duration())
    }
}
