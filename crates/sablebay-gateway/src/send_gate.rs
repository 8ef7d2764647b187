//! Decides for one call between sending it and withdrawing it.

use std::sync::atomic::{AtomicU8, Ordering};

const PENDING: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Passed once, either by the task that sends the call or by the request that withdraws it.
#[derive(Debug, Default)]
pub struct SendGate {
    state: AtomicU8,
}

impl SendGate {
    /// Returns whether the call may be sent. It can no longer be withdrawn then.
    pub fn try_send(&self) -> bool {
        self.pass(SENT)
    }

    /// Returns whether the call was withdrawn: it has not been sent and never will be.
    pub fn try_withdraw(&self) -> bool {
        self.pass(WITHDRAWN)
    }

    /// Whether the call was neither sent nor withdrawn.
    pub fn is_pending(&self) -> bool {
        self.state.load(Ordering::Acquire) == PENDING
    }

    fn pass(&self, state: u8) -> bool {
        self.state.compare_exchange(PENDING, state, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}
