//! How the nodes of a simulated fleet ask one another.

use sablebay_model::Micros;
use sablebay_tenants::TenantName;
use sablebay_tenants::quota::{QuotaGrant, QuotaQuestion, is_starting, own_part, part_by_age};

use super::{Event, PATIENCE, Question, Simulation};

impl Simulation {
    pub(super) fn ask(&mut self, node: usize, batch: Vec<Micros>) {
        let now = self.now;
        let known = &mut self.nodes[node];
        let asks = QuotaQuestion {
            tenant: TenantName::new("tenant"),
            version: known.version,
            quota: known.quota,
            wanted: batch.len() as u32,
            lenders: known.asker.lenders(self.rule.window, now),
            returned: known.asker.take_returned(now),
        };
        let mut targets = self.views.order(node, now);
        targets.truncate(2);
        targets.reverse();
        self.next += 1;
        let number = self.next;
        self.questions.insert(number, Question { batch, asks, targets, node });
        self.ask_next(number);
    }

    pub(super) fn ask_next(&mut self, number: u64) {
        let question = self.questions.get_mut(&number).expect("an open question");
        let node = question.node;
        while let Some(&target) = question.targets.last() {
            if target == node || self.nodes[node].silent.may_ask(self.views.name(target), self.now) {
                break;
            }
            question.targets.pop();
        }
        match question.targets.last().copied() {
            None => self.use_own_part(number),
            Some(target) if target == node => {
                let grant = self.lend(node, number);
                self.answer(number, grant);
            }
            Some(target) => {
                self.send(node, target, Event::Question { to: target, from: node, number });
                self.push(self.now.plus(PATIENCE), Event::Timeout { at: node, number });
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, event: Event) {
        /// Frames that come late, or twice, of those that are lost.
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

    pub(super) fn lend(&mut self, keeper: usize, number: u64) -> QuotaGrant {
        let known = &mut self.nodes[keeper];
        let standing = self.views.standing(keeper, self.now.since(known.awake_since), self.now);
        let asks = &self.questions[&number].asks;
        known.accounts.answer(asks, Some((known.version, known.quota)), &self.rule, &standing, self.now).0
    }

    pub(super) fn question(&mut self, to: usize, from: usize, number: u64) {
        if !self.nodes[to].up || !self.questions.contains_key(&number) {
            return;
        }
        let grant = self.lend(to, number);
        self.send(to, from, Event::Answer { to: from, number, grant });
    }

    pub(super) fn answer(&mut self, number: u64, mut grant: QuotaGrant) {
        let Some(question) = self.questions.remove(&number) else { return };
        if !self.nodes[question.node].up {
            return;
        }
        if grant.granted > 0 {
            self.nodes[question.node].asker.note_lender(grant.account, self.now);
        }
        let missing = question.asks.wanted.saturating_sub(grant.granted);
        let started_ago = self.now.since(self.nodes[question.node].started_at);
        if (grant.stands_in || is_starting(started_ago)) && missing > 0 {
            grant.granted += self.take_own_part(question.node, missing);
        }
        self.finish(question, grant.granted, grant.empty_for);
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
        self.nodes[question.node].silent.note(silent, self.now);
        self.ask_next(number);
    }

    pub(super) fn use_own_part(&mut self, number: u64) {
        let question = self.questions.remove(&number).expect("an open question");
        let granted = self.take_own_part(question.node, question.asks.wanted);
        self.finish(question, granted, Micros::default());
    }

    pub(super) fn take_own_part(&mut self, node: usize, wanted: u32) -> u32 {
        let known = &mut self.nodes[node];
        let (nodes, place) = self.views.place(node, self.now.since(known.awake_since), self.now);
        let rule = self.rule;
        let settled = own_part(rule.own_parts(&known.quota), nodes, place);
        let started_ago = self.now.since(known.started_at);
        let part = part_by_age(settled, started_ago, self.now.since(known.awake_since), rule.window);
        known.own.take(part, rule.window, wanted, self.now)
    }
}
