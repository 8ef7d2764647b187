//! Simulated fleet that accounts for the requests of one tenant over a network that loses, delays
//! and duplicates messages. Nodes run the production state machines and are numbered in the order
//! of the tenant.

mod asking;
mod measures;
mod views;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use sablebay_model::Micros;
use sablebay_tenants::Quota;
use sablebay_tenants::quota::{
    Accounts, Arrival, LocalAllowance, QuotaGrant, QuotaRequest, QuotaRequester, QuotaRule, UnresponsiveNodes,
};

use views::Views;

/// Time to wait for an answer of an owner.
const ANSWER_TIMEOUT: Micros = Micros::from_millis(30);

/// Method of counting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheme {
    /// Token accounts held by owners.
    Accounts,
    /// A fixed equal share per node, without messages.
    EqualShares,
}

/// A fault or configuration change.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Wake(usize),
    /// Splits the network into groups; nodes reach only their own group.
    Cut(Vec<usize>),
    Heal,
    /// Applies the quota on every node within five seconds.
    Limit(Quota),
}

#[derive(Clone, Debug)]
enum Event {
    Request,
    Fault(Fault),
    Question { to: usize, from: usize, number: u64 },
    Answer { to: usize, number: u64, grant: QuotaGrant },
    Timeout { at: usize, number: u64 },
    Configured { node: usize, version: u64, quota: Quota },
}

struct Node {
    up: bool,
    frozen: bool,
    /// When the node started or resumed.
    awake_since: Micros,
    started_at: Micros,
    asker: QuotaRequester<Micros>,
    accounts: Accounts,
    own: LocalAllowance,
    silent: UnresponsiveNodes,
    silent_seeds: UnresponsiveNodes,
    version: u64,
    quota: Quota,
    /// Events received while the node was frozen.
    held: Vec<Event>,
}

struct Question {
    batch: Vec<Micros>,
    asks: QuotaRequest,
    targets: Vec<usize>,
    node: usize,
    /// Tokens lent by seeds so far.
    lent: u32,
}

/// A request and whether it was allowed.
#[derive(Clone, Copy, Debug)]
pub struct RequestOutcome {
    pub sent_at: Micros,
    pub ran: bool,
}

pub struct Simulation {
    pub rule: QuotaRule,
    pub outcomes: Vec<RequestOutcome>,
    pub frames: u64,
    pub loss: f64,
    scheme: Scheme,
    rate: f64,
    now: Micros,
    random: u64,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    pending: HashMap<u64, Event>,
    questions: HashMap<u64, Question>,
    next: u64,
    nodes: Vec<Node>,
    views: Views,
}

/// Random numbers for the initial state, independent of those of the run.
fn draws(seed: u64) -> impl FnMut() -> f64 {
    let mut state = seed ^ 0xD1B5_4A32_D192_ED03;
    move || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl Simulation {
    /// Creates a settled fleet whose tenant sends at the given rate.
    pub fn new(nodes: usize, quota: Quota, rate: f64, seed: u64, scheme: Scheme) -> Self {
        let rule = QuotaRule { window: Micros::from_secs(5), overage: 0.25, slack: 20.0 };
        let now = Micros::from_secs(3_600);
        let node = |number: usize| Node {
            up: true,
            frozen: false,
            awake_since: Micros::default(),
            started_at: Micros::default(),
            asker: QuotaRequester::default(),
            accounts: Accounts::new(number as u64 * 1_000_000),
            own: LocalAllowance::default(),
            silent: UnresponsiveNodes::for_owners(),
            silent_seeds: UnresponsiveNodes::for_seeds(),
            version: 1,
            quota,
            held: Vec::new(),
        };
        let mut simulation = Self {
            rule,
            outcomes: Vec::new(),
            frames: 0,
            loss: 0.0,
            scheme,
            rate,
            now,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            questions: HashMap::new(),
            next: 0,
            nodes: (0..nodes).map(node).collect(),
            views: Views::of_settled_fleet(nodes, now, draws(seed)),
        };
        simulation.push(now, Event::Request);
        simulation
    }

    /// A node is not there yet, and nobody has met it.
    pub fn exclude(&mut self, node: usize) {
        self.nodes[node].up = false;
        self.views.exclude(node, self.now);
    }

    /// Says which nodes are the seeds.
    pub fn place_seeds(&mut self, seeds: Vec<usize>) {
        self.views.place_seeds(seeds);
    }

    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.next += 1;
        self.pending.insert(self.next, event);
        self.events.push(Reverse((at, self.next)));
    }

    /// Schedules a fault after a delay.
    pub fn inject(&mut self, after: Micros, fault: Fault) {
        self.push(self.now.plus(after), Event::Fault(fault));
    }

    pub fn run_for(&mut self, span: Micros) {
        let until = self.now.plus(span);
        while self.events.peek().is_some_and(|Reverse((at, _))| *at <= until) {
            let Some(Reverse((at, number))) = self.events.pop() else { break };
            self.now = at;
            let event = self.pending.remove(&number).expect("each event is pending once");
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let owner = match &event {
            Event::Request | Event::Fault(_) => None,
            Event::Question { to, .. } | Event::Answer { to, .. } => Some(*to),
            Event::Timeout { at, .. } => Some(*at),
            Event::Configured { node, .. } => Some(*node),
        };
        if let Some(owner) = owner.map(|owner| &mut self.nodes[owner]).filter(|owner| owner.frozen) {
            owner.held.push(event);
            return;
        }
        match event {
            Event::Request => self.request(),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Question { to, from, number } => self.question(to, from, number),
            Event::Answer { number, grant, .. } => self.answer(number, grant),
            Event::Timeout { number, .. } => self.timeout(number),
            Event::Configured { node, version, quota } => {
                let node = &mut self.nodes[node];
                if node.version < version {
                    (node.version, node.quota) = (version, quota);
                }
            }
        }
    }

    fn request(&mut self) {
        let gap = -(1.0 - self.draw()).ln() / self.rate;
        self.push(self.now.plus(Micros((gap * 1e6) as u64)), Event::Request);
        let node = (self.draw() * self.nodes.len() as f64) as usize;
        if !self.nodes[node].up || self.nodes[node].frozen {
            return;
        }
        if self.scheme == Scheme::EqualShares {
            let passes = self.take_equal_share(node);
            return self.settle(self.now, passes);
        }
        match self.nodes[node].asker.arrive(self.now, self.now) {
            Arrival::Refused(sent_at, _) => self.settle(sent_at, false),
            Arrival::Ask(batch) => self.ask(node, batch),
            Arrival::Queued => {}
        }
    }

    fn settle(&mut self, sent_at: Micros, ran: bool) {
        self.outcomes.push(RequestOutcome { sent_at, ran });
    }

    fn take_equal_share(&mut self, node: usize) -> bool {
        let (rule, now, nodes) = (self.rule, self.now, self.nodes.len());
        let known = &mut self.nodes[node];
        // Rounding up is covered by the overage.
        let part = (rule.allowed(&known.quota) / nodes as f64).ceil();
        let most = ((rule.allowed(&known.quota) + rule.overage_of(&known.quota)) / nodes as f64).floor();
        known.own.take(part.min(most) as u32, rule.window, 1, now) > 0
    }

    fn apply_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill(node) => {
                self.nodes[node].up = false;
                self.questions.retain(|_, question| question.node != node);
            }
            Fault::Start(node) => self.restart(node),
            Fault::Freeze(node) => self.nodes[node].frozen = true,
            Fault::Wake(node) => {
                let known = &mut self.nodes[node];
                known.frozen = false;
                known.awake_since = now;
                known.accounts.clear();
                let held = std::mem::take(&mut known.held);
                held.into_iter().for_each(|event| self.push(now, event));
            }
            Fault::Cut(groups) => self.views.groups = groups,
            Fault::Heal => self.views.groups.fill(0),
            Fault::Limit(quota) => {
                let version = 1 + self.next;
                for node in 0..self.nodes.len() {
                    let after = Micros((self.draw() * 5e6) as u64);
                    self.push(now.plus(after), Event::Configured { node, version, quota });
                }
            }
        }
        let runs: Vec<bool> = self.nodes.iter().map(|node| node.up && !node.frozen).collect();
        self.views.update(&runs, now);
    }

    fn restart(&mut self, node: usize) {
        self.next += 1;
        let known = &mut self.nodes[node];
        if known.up {
            return;
        }
        *known = Node {
            up: true,
            frozen: false,
            awake_since: self.now,
            started_at: self.now,
            asker: QuotaRequester::default(),
            accounts: Accounts::new(self.next * 1_000_000),
            own: LocalAllowance::default(),
            silent: UnresponsiveNodes::for_owners(),
            silent_seeds: UnresponsiveNodes::for_seeds(),
            version: known.version,
            quota: known.quota,
            held: Vec::new(),
        };
        self.views.forget(node, self.now);
    }

    pub fn now(&self) -> Micros {
        self.now
    }
}
