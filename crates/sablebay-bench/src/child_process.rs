//! Child processes: signals, exit and resource usage.

use std::process::{Child, ExitStatus};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

/// A child process; killed when dropped. Signals cannot reach an unrelated process, because the
/// pid is not reused before the child is reaped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl From<Child> for ChildProcess {
    fn from(child: Child) -> Self {
        Self { child }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl ChildProcess {
    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // Fails only if the process has exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Stops the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        if self.exited().is_none() {
            self.signal(Signal::KILL);
        }
        // The child has exited in either case.
        let _ = self.child.wait();
    }

    /// Kills the process without waiting for its exit.
    pub fn kill_without_waiting(&self) {
        self.signal(Signal::KILL);
    }

    /// Requests a planned stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns the exit status if the process has exited.
    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the process to exit; returns false on timeout.
    pub async fn wait_ended(&mut self, limit: Duration) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let waiting = async {
            while self.exited().is_none() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(limit, waiting).await.is_ok()
    }

    /// CPU time used by the process so far.
    pub fn cpu_time(&self) -> Duration {
        cpu_time_of(self.child.id())
    }

    /// Resident memory of the process in bytes.
    pub fn resident_bytes(&self) -> u64 {
        resident_bytes_of(self.child.id())
    }
}

/// CPU time used by the process so far.
fn cpu_time_of(process: u32) -> Duration {
    const TICKS_PER_SECOND: u64 = 100;
    const USER_TIME_FIELD: usize = 11;
    let text = std::fs::read_to_string(format!("/proc/{}/stat", process)).unwrap_or_default();
    // The second field is the program name in parentheses, which may contain spaces.
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> = after_name.split_whitespace().map(|field| field.parse().unwrap_or(0)).collect();
    let ticks: u64 = fields.iter().skip(USER_TIME_FIELD).take(2).sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
}

/// Resident memory of the process in bytes.
fn resident_bytes_of(process: u32) -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string(format!("/proc/{}/statm", process)).unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}
