//! Guards against operations that run twice, or are reported as not run although they ran.
//!
//! An exhaustive search over message orders, message losses and holder restarts, with competing
//! submissions of one ticket.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use sablebay_fleet::{
    CLAIM_HOLDERS, ClaimAnswer, ClaimHolder, ClaimRequest, Claimant, HolderReply, Submission, SubmissionStep,
    Ticket, TicketId, TicketState,
};
use sablebay_model::{Incarnation, InstanceKey, NodeId, Reason, ServiceId, WallMillis};

const NOW: WallMillis = WallMillis(10_000);

fn key(node: usize, incarnation: u64) -> InstanceKey {
    InstanceKey { node: NodeId::new(format!("node-{node}")), incarnation: Incarnation(incarnation) }
}

fn ticket() -> Ticket {
    Ticket {
        id: TicketId(1),
        minted_at: NOW,
        lifetime_ms: 1_000,
        service: ServiceId::new("orders"),
        holders: (0..CLAIM_HOLDERS).map(|node| key(node, 1)).collect(),
    }
}

fn claimant(node: usize) -> Claimant {
    Claimant { key: key(node, 1), attempt: 7 }
}

#[derive(Clone, Debug)]
enum Message {
    Claim { submission: usize, holder: usize },
    Reply { submission: usize, holder: usize, reply: HolderReply },
}

/// Fault budget of one run.
#[derive(Clone, Copy)]
struct Faults {
    losses: usize,
    replacements: usize,
}

/// System state. States with equal `Debug` output behave equally.
#[derive(Clone, Debug)]
struct Model {
    holders: Vec<ClaimHolder>,
    submissions: Vec<Submission>,
    messages: Vec<Message>,
    replacements_left: usize,
    losses_left: usize,
    dispatches: usize,
    never_runs: bool,
}

impl Model {
    fn new(write_once: bool, submissions: usize, faults: Faults) -> Self {
        let holder = |node: usize| {
            let mut holder = ClaimHolder::new(key(node, 1));
            if !write_once {
                holder.turn_off_write_once();
            }
            holder
        };
        let mut model = Self {
            holders: (0..CLAIM_HOLDERS).map(holder).collect(),
            submissions: (0..submissions).map(|node| Submission::new(&ticket(), claimant(node))).collect(),
            messages: Vec::new(),
            replacements_left: faults.replacements,
            losses_left: faults.losses,
            dispatches: 0,
            never_runs: false,
        };
        for submission in 0..submissions {
            let step = model.submissions[submission].start();
            model.step(submission, step);
        }
        model
    }

    /// Whether the operation ran twice, or ran although reported as never running.
    fn violates_invariant(&self) -> bool {
        self.dispatches > 1 || (self.never_runs && self.dispatches > 0)
    }

    fn fingerprint(&self) -> u64 {
        let mut messages: Vec<String> = self.messages.iter().map(|message| format!("{message:?}")).collect();
        messages.sort_unstable();
        let rest = Model { messages: Vec::new(), ..self.clone() };
        let mut hasher = DefaultHasher::new();
        format!("{messages:?}{rest:?}").hash(&mut hasher);
        hasher.finish()
    }

    fn step(&mut self, submission: usize, step: SubmissionStep) {
        match step {
            SubmissionStep::Ask(holders) => {
                let claims = holders.into_iter().map(|holder| Message::Claim { submission, holder });
                self.messages.extend(claims);
            }
            SubmissionStep::Dispatch => self.dispatches += 1,
            SubmissionStep::NeverRuns => self.never_runs = true,
            _ => {}
        }
    }

    /// Number of possible actions: deliver or lose each message, or restart a holder.
    fn options(&self) -> usize {
        let losses = if self.losses_left > 0 { self.messages.len() } else { 0 };
        let replacements = if self.replacements_left > 0 { CLAIM_HOLDERS } else { 0 };
        self.messages.len() + losses + replacements
    }

    fn act(&mut self, choice: usize) {
        let messages = self.messages.len();
        if choice < messages {
            let message = self.messages.remove(choice);
            self.deliver(message);
        } else if self.losses_left > 0 && choice < 2 * messages {
            self.losses_left -= 1;
            let message = self.messages.remove(choice - messages);
            self.lose(message);
        } else {
            let before = if self.losses_left > 0 { 2 * messages } else { messages };
            self.replacements_left -= 1;
            // A new incarnation has no records and is not among the ticket's holders.
            self.holders[choice - before] = ClaimHolder::new(key(choice - before, 2));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Claim { submission, holder } => {
                let claimant = self.submissions[submission].claimant().clone();
                let request = ClaimRequest { ticket: ticket(), claimant };
                let answer = self.holders[holder].claim(&request, NOW);
                let reply = HolderReply::Answer(answer);
                self.messages.push(Message::Reply { submission, holder, reply });
            }
            Message::Reply { submission, holder, reply } => {
                let step = self.submissions[submission].on_reply(holder, reply);
                self.step(submission, step);
            }
        }
    }

    /// A lost claim and a lost reply both appear to the submission as a lost holder.
    fn lose(&mut self, message: Message) {
        let (Message::Claim { submission, holder } | Message::Reply { submission, holder, .. }) = message;
        let step = self.submissions[submission].on_reply(holder, HolderReply::Lost);
        self.step(submission, step);
    }
}

/// Visits all reachable states. Returns the number of states, and of those that violate an invariant.
fn explore(write_once: bool, submissions: usize, faults: Faults) -> (usize, usize) {
    let first = Model::new(write_once, submissions, faults);
    let mut seen = HashSet::from([first.fingerprint()]);
    let mut open = vec![first];
    let mut violations = 0;
    while let Some(model) = open.pop() {
        violations += usize::from(model.violates_invariant());
        for choice in 0..model.options() {
            let mut next = model.clone();
            next.act(choice);
            if seen.insert(next.fingerprint()) {
                open.push(next);
            }
        }
    }
    (seen.len(), violations)
}

#[test]
fn no_interleaving_runs_an_operation_twice_or_calls_it_not_run_falsely() {
    let many = Faults { losses: 2, replacements: 1 };
    let few = Faults { losses: 1, replacements: 0 };
    for (submissions, faults) in [(2, many), (3, few)] {
        let (states, violations) = explore(true, submissions, faults);
        println!("{states} states of {submissions} submissions explored");
        assert!(states > 1_000, "only {states} states explored: the model delivers too few messages");
        assert_eq!(violations, 0);
    }
}

#[test]
fn the_search_finds_the_fault_when_write_once_is_off() {
    let (_, violations) = explore(false, 2, Faults { losses: 2, replacements: 1 });
    assert!(violations > 0);
}

#[test]
fn a_new_life_of_a_holder_vouches_for_nothing() {
    let mut holder = ClaimHolder::new(key(0, 2));
    let request = ClaimRequest { ticket: ticket(), claimant: claimant(0) };
    assert_eq!(holder.claim(&request, NOW), ClaimAnswer::NotHolder);
}

#[test]
fn a_final_outcome_stays_and_only_the_claimant_sets_it() {
    let mut holder = ClaimHolder::new(key(0, 1));
    let request = ClaimRequest { ticket: ticket(), claimant: claimant(0) };
    assert_eq!(holder.claim(&request, NOW), ClaimAnswer::Granted);
    let done = TicketState::Done { result: "1".to_string() };
    assert!(!holder.record(TicketId(1), &claimant(1), done.clone()));
    assert!(holder.record(TicketId(1), &claimant(0), done.clone()));
    assert!(!holder.record(TicketId(1), &claimant(0), TicketState::NotRun { reason: Reason::Overloaded }));
    let expected = ClaimAnswer::HeldBy { claimant: claimant(0), state: done };
    assert_eq!(holder.lookup(&ticket(), NOW), expected);
}

#[test]
fn an_expired_ticket_is_not_granted() {
    let mut holder = ClaimHolder::new(key(0, 1));
    let request = ClaimRequest { ticket: ticket(), claimant: claimant(0) };
    assert_eq!(holder.claim(&request, WallMillis(11_001)), ClaimAnswer::ExpiredUnclaimed);
    assert_eq!(holder.claim(&request, WallMillis(1_000_000)), ClaimAnswer::Forgotten);
}

#[test]
fn a_ticket_survives_its_way_through_text() {
    let original = ticket();
    let read: Ticket = original.to_string().parse().unwrap();
    assert_eq!(read, original);
    let texts = [
        "",
        "t1",
        "t2.1.1.1.s.a@1",
        "t1.x.1.1.s.a@1",
        "t1.1.1.zz.s.a@1",
        "t1.1.1.1.s.a",
        "t1.1.1.1.s.a@1.b@1.c@1.d@1",
    ];
    let errors: HashSet<String> =
        texts.iter().map(|text| text.parse::<Ticket>().unwrap_err().to_string()).collect();
    assert!(errors.len() >= 5, "{errors:?}");
}
