//! State machine that claims a ticket from its holders before running the operation.
//!
//! The first holder is asked alone, so that competing claims are resolved there rather than split
//! across holders. The others are asked once the first has replied or is lost.

use crate::claims::{ClaimAnswer, Claimant, TicketState};
use crate::ticket::Ticket;

/// The result of asking a holder.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderReply {
    Answer(ClaimAnswer),
    /// The holder is unreachable: dead, restarted, or refusing connections.
    Lost,
}

/// The next action of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmissionStep {
    /// Ask the holders at these positions.
    Ask(Vec<usize>),
    /// Wait for more replies.
    Wait,
    /// Run the operation. Returned at most once.
    Dispatch,
    /// Another claimant holds the claim.
    ClaimedElsewhere(TicketState),
    /// No claimant can reach a majority, so the operation was not executed and never will be.
    NeverRuns,
    /// Too few holders replied to decide.
    HoldersLost,
    /// The ticket expired, and the operation was not executed.
    ExpiredNotRun,
    /// The ticket expired, and whether the operation was executed is unknown.
    ExpiredUnknown,
}

/// One attempt to claim a ticket.
#[derive(Clone, Debug)]
pub struct Submission {
    claimant: Claimant,
    quorum: usize,
    replies: Vec<Option<HolderReply>>,
    asked: Vec<bool>,
    decided: bool,
}

impl Submission {
    /// Creates an attempt by `claimant`. No holder is asked before [`Submission::start`].
    pub fn new(ticket: &Ticket, claimant: Claimant) -> Self {
        let holders = ticket.holders.len();
        Self {
            claimant,
            quorum: ticket.quorum(),
            replies: vec![None; holders],
            asked: vec![false; holders],
            decided: false,
        }
    }

    pub fn claimant(&self) -> &Claimant {
        &self.claimant
    }

    /// Returns the first holder to ask.
    pub fn start(&mut self) -> SubmissionStep {
        self.ask_first(1)
    }

    fn ask_first(&mut self, count: usize) -> SubmissionStep {
        let positions: Vec<usize> =
            (0..self.asked.len().min(count)).filter(|position| !self.asked[*position]).collect();
        for position in &positions {
            self.asked[*position] = true;
        }
        if positions.is_empty() { SubmissionStep::Wait } else { SubmissionStep::Ask(positions) }
    }

    /// Processes a holder's reply. Replies after a decision return [`SubmissionStep::Wait`].
    pub fn on_reply(&mut self, holder: usize, reply: HolderReply) -> SubmissionStep {
        if self.decided || holder >= self.replies.len() || self.replies[holder].is_some() {
            return SubmissionStep::Wait;
        }
        self.replies[holder] = Some(reply);
        let step = self.decide();
        match step {
            SubmissionStep::Wait => self.ask_first(self.asked.len()),
            decision => {
                self.decided = true;
                decision
            }
        }
    }

    fn decide(&self) -> SubmissionStep {
        if self.granted() >= self.quorum {
            return SubmissionStep::Dispatch;
        }
        if let Some(state) = self.final_state_elsewhere() {
            return SubmissionStep::ClaimedElsewhere(state);
        }
        let open = self.replies.iter().filter(|reply| reply.is_none()).count();
        if self.granted() + open >= self.quorum {
            return SubmissionStep::Wait;
        }
        if open > 0 && self.held_by_others() < self.quorum {
            return SubmissionStep::Wait;
        }
        self.step_without_quorum()
    }

    fn step_without_quorum(&self) -> SubmissionStep {
        let expired = self.count(&ClaimAnswer::ExpiredUnclaimed);
        if expired >= self.quorum {
            return SubmissionStep::ExpiredNotRun;
        }
        if self.largest_other_claim() >= self.quorum {
            return SubmissionStep::ClaimedElsewhere(TicketState::Claimed);
        }
        let settled = self.granted() + self.held_by_others() + expired;
        if settled == self.replies.len() {
            return SubmissionStep::NeverRuns;
        }
        if expired + self.count(&ClaimAnswer::Forgotten) > 0 {
            return SubmissionStep::ExpiredUnknown;
        }
        if self.held_by_others() > 0 {
            return SubmissionStep::ClaimedElsewhere(TicketState::Claimed);
        }
        SubmissionStep::HoldersLost
    }

    fn answers(&self) -> impl Iterator<Item = &ClaimAnswer> {
        self.replies.iter().flatten().filter_map(|reply| match reply {
            HolderReply::Answer(answer) => Some(answer),
            HolderReply::Lost => None,
        })
    }

    fn count(&self, wanted: &ClaimAnswer) -> usize {
        self.answers().filter(|answer| *answer == wanted).count()
    }

    fn granted(&self) -> usize {
        self.count(&ClaimAnswer::Granted)
    }

    fn other_claims(&self) -> impl Iterator<Item = (&Claimant, &TicketState)> {
        self.answers().filter_map(|answer| match answer {
            ClaimAnswer::HeldBy { claimant, state } => Some((claimant, state)),
            _ => None,
        })
    }

    fn held_by_others(&self) -> usize {
        self.other_claims().count()
    }

    fn largest_other_claim(&self) -> usize {
        let claims: Vec<&Claimant> = self.other_claims().map(|(claimant, _)| claimant).collect();
        let same = |claimant: &&Claimant| claims.iter().filter(|other| *other == claimant).count();
        claims.iter().map(same).max().unwrap_or(0)
    }

    /// A final state recorded by any holder for another claimant. Prefers [`TicketState::Done`].
    fn final_state_elsewhere(&self) -> Option<TicketState> {
        let recorded = self.other_claims().map(|(_, state)| state).filter(|state| state.is_final());
        recorded.max_by_key(|state| matches!(state, TicketState::Done { .. })).cloned()
    }
}
