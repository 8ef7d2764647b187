//! Token requests between simulated nodes.

use sablebay_model::Micros;
use sablebay_tenants::TenantName;
use sablebay_tenants::quota::{QuotaGrant, QuotaRequest, allowance_by_uptime, is_starting, local_allowance};

use super::{ANSWER_TIMEOUT, Event, Question, Simulation};

/// Time for which a starting node is refused after its seeds lent too little.
const STARTING_EMPTY: Micros = Micros::from_millis(25);

impl Simulation {
    pub(super) fn ask(&mut self, node: usize, batch: Vec<Micros>) {
        let now = self.now;
        let known = &mut self.nodes[node];
        let awake_for = now.since(known.awake_since);
        let starting =
            is_starting(now.since(known.started_at)) && !self.views.knows_fleet(node, awake_for, now);
        let asks = QuotaRequest {
            tenant: TenantName::new("tenant"),
            version: known.version,
            quota: known.quota,
            wanted: batch.len() as u32,
            lenders: known.asker.lenders(self.rule.window, now),
            returned: known.asker.take_returned(now),
            starting,
        };
        let mut targets = if starting { self.views.seeds() } else { self.owners(node) };
        targets.reverse();
        self.next += 1;
        let number = self.next;
        self.questions.insert(number, Question { batch, asks, targets, node, lent: 0 });
        self.ask_next(number);
    }

    /// Returns the present owner and its standby.
    fn owners(&self, node: usize) -> Vec<usize> {
        let mut owners = self.views.order(node, self.now);
        owners.truncate(2);
        owners
    }

    pub(super) fn ask_next(&mut self, number: u64) {
        let question = self.questions.get_mut(&number).expect("an open question");
        let node = question.node;
        while let Some(&target) = question.targets.last() {
            let known = &self.nodes[node];
            let silent = if question.asks.starting { &known.silent_seeds } else { &known.silent };
            if target == node || silent.may_ask(self.views.name(target), self.now) {
                break;
            }
            question.targets.pop();
        }
        match question.targets.last().copied() {
            None if question.asks.starting => self.refuse_starting(number),
            None => self.use_local_allowance(number),
            Some(target) if target == node => {
                let grant = self.lend(node, number);
                self.answer(number, grant);
            }
            Some(target) => {
                self.send(node, target, Event::Question { to: target, from: node, number });
                self.push(self.now.plus(ANSWER_TIMEOUT), Event::Timeout { at: node, number });
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, event: Event) {
        /// Fraction of the loss rate at which messages are delayed or duplicated.
        const ODD: f64 = 0.5;
        self.frames += 1;
        if !self.views.reaches(from, to) || self.draw() < self.loss {
            return;
        }
        let copies = if self.draw() < self.loss * ODD { 2 } else { 1 };
        for _ in 0..copies {
            let late = if self.draw() < self.loss * ODD { 80_000.0 } else { 1_500.0 };
            let delay = 300.0 + late * self.draw();
            self.push(self.now.plus(Micros(delay as u64)), event.clone());
        }
    }

    pub(super) fn lend(&mut self, owner: usize, number: u64) -> QuotaGrant {
        let (rule, now) = (self.rule, self.now);
        let known = &mut self.nodes[owner];
        let asks = &self.questions[&number].asks;
        let configured = Some((known.version, known.quota));
        let awake_for = now.since(known.awake_since);
        if asks.starting {
            let place = self.views.seed_place(owner, awake_for, now);
            return known.accounts.answer_starting(asks, configured, &rule, place, now);
        }
        let owner_status = self.views.owner_status(owner, awake_for, now);
        known.accounts.answer(asks, configured, &rule, &owner_status, now).0
    }

    pub(super) fn question(&mut self, to: usize, from: usize, number: u64) {
        if !self.nodes[to].up || !self.questions.contains_key(&number) {
            return;
        }
        let grant = self.lend(to, number);
        self.send(to, from, Event::Answer { to: from, number, grant });
    }

    pub(super) fn answer(&mut self, number: u64, mut grant: QuotaGrant) {
        let Some(question) = self.questions.get_mut(&number) else { return };
        let node = question.node;
        if !self.nodes[node].up {
            self.questions.remove(&number);
            return;
        }
        if question.asks.starting {
            return self.answer_of_seed(number, grant);
        }
        let question = self.questions.remove(&number).expect("an open question");
        if grant.granted > 0 {
            self.nodes[node].asker.note_lender(grant.account, self.now);
        }
        let missing = question.asks.wanted.saturating_sub(grant.granted);
        if grant.from_standby && missing > 0 {
            grant.granted += self.take_local_allowance(node, missing);
        }
        let lent = question.lent + grant.granted;
        self.finish(question, lent, grant.empty_for);
    }

    /// Continues with the next seed if tokens are missing; a seed that knows the fleet refers the
    /// requester to the owner.
    fn answer_of_seed(&mut self, number: u64, grant: QuotaGrant) {
        let mut question = self.questions.remove(&number).expect("an open question");
        if grant.granted == 0 && grant.empty_for == Micros::default() {
            question.asks.starting = false;
            question.targets = self.owners(question.node);
            question.targets.reverse();
            return self.ask_anew(question);
        }
        question.lent += grant.granted;
        question.asks.wanted -= grant.granted;
        question.targets.pop();
        if question.asks.wanted == 0 {
            let lent = question.lent;
            return self.finish(question, lent, Micros::default());
        }
        self.ask_anew(question);
    }

    /// Continues a request under a new number, so that late answers to the previous number are
    /// dropped.
    fn ask_anew(&mut self, question: Question) {
        self.next += 1;
        self.questions.insert(self.next, question);
        self.ask_next(self.next);
    }

    fn refuse_starting(&mut self, number: u64) {
        let question = self.questions.remove(&number).expect("an open question");
        let lent = question.lent;
        self.finish(question, lent, STARTING_EMPTY);
    }

    pub(super) fn finish(&mut self, question: Question, granted: u32, empty_for: Micros) {
        for (place, sent_at) in question.batch.into_iter().enumerate() {
            self.settle(sent_at, place < granted as usize);
        }
        let next = self.nodes[question.node].asker.answered(empty_for, self.now);
        if self.nodes[question.node].asker.is_asking() {
            self.ask(question.node, next);
        } else {
            next.into_iter().for_each(|sent_at| self.settle(sent_at, false));
        }
    }

    pub(super) fn timeout(&mut self, number: u64) {
        let Some(question) = self.questions.get_mut(&number) else { return };
        let Some(silent) = question.targets.pop() else { return };
        let silent = self.views.name(silent).clone();
        let known = &mut self.nodes[question.node];
        let of_role = if question.asks.starting { &mut known.silent_seeds } else { &mut known.silent };
        of_role.note(silent, self.now);
        if question.asks.starting {
            let question = self.questions.remove(&number).expect("an open question");
            return self.ask_anew(question);
        }
        self.ask_next(number);
    }

    pub(super) fn use_local_allowance(&mut self, number: u64) {
        let question = self.questions.remove(&number).expect("an open question");
        let granted = question.lent + self.take_local_allowance(question.node, question.asks.wanted);
        self.finish(question, granted, Micros::default());
    }

    pub(super) fn take_local_allowance(&mut self, node: usize, wanted: u32) -> u32 {
        let known = &mut self.nodes[node];
        let rule = self.rule;
        let awake_for = self.now.since(known.awake_since);
        let (nodes, place) = self.views.place(node, awake_for, self.now);
        let part = allowance_by_uptime(
            local_allowance(rule.total_local_allowance(&known.quota), nodes, place),
            awake_for,
            rule.window,
        );
        known.own.take(part, rule.window, wanted, self.now)
    }
}
