//! Guards against crash-inducing requests spreading over the back ends, and against quarantining innocent
//! requests, also when notices between nodes are lost.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use sablebay_catalogue::{ReplicaId, ServiceName};
use sablebay_dispatch::{
    Audience, CrashHistory, CrashedRun, FIRST_HOLD, KEPT_CRASHES, LONGEST_HOLD, LeaseRequest,
    MAXIMUM_REQUESTS, NOTICES_PER_MESSAGE, ObserverId, QUARANTINE_STRIKES, Quarantine, QuarantineNotice,
    QuarantineStatus, RunId, RunPermit, lease_duration,
};
use sablebay_model::{Micros, RequestDigest};

const START: Micros = Micros::from_secs(3_600);
const ROUTE: &str = "search";

fn at(milliseconds: u64) -> Micros {
    START.plus(Micros::from_millis(milliseconds))
}

fn service(number: u64) -> ServiceName {
    ServiceName::new(format!("shard-{number}"))
}

fn digest(number: u64) -> RequestDigest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    RequestDigest(bytes)
}

fn crash(replica: u64, started_ms: u64, ended_ms: u64) -> CrashedRun {
    CrashedRun {
        replica: ReplicaId::new(format!("i-{replica}")),
        service: service(replica % 4),
        observer: ObserverId(1),
        started_at: at(started_ms),
        ended_at: at(ended_ms),
        known_at: at(ended_ms),
        is_remote: false,
    }
}

/// The same run as reported by another node, whose clock is one hour behind, after `delay_ms`.
fn remote(run: CrashedRun, observer: u64, delay_ms: u64) -> CrashedRun {
    let behind = |moment: Micros| moment.since(Micros::from_secs(3_600));
    CrashedRun {
        observer: ObserverId(observer),
        started_at: behind(run.started_at),
        ended_at: behind(run.ended_at),
        known_at: run.known_at.plus(Micros::from_millis(delay_ms)),
        is_remote: true,
        ..run
    }
}

fn history(runs: &[CrashedRun]) -> CrashHistory {
    let mut history = CrashHistory::default();
    for run in runs {
        history.record_crash(run.clone());
    }
    history
}

/// A table with `strikes` sequential crashes of one request, 100 ms apart.
fn with_strikes(strikes: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for strike in 0..strikes {
        quarantine.record_crash(
            digest(1),
            ROUTE,
            crash(strike, strike * 100, strike * 100 + 50),
            at(strike * 100 + 50),
        );
    }
    quarantine
}

#[test]
fn back_ends_that_end_together_are_never_enough() {
    let pair: Vec<CrashedRun> = (0..2).map(|replica| crash(replica, 0, 40 + replica)).collect();
    assert_eq!(history(&pair).strikes(), 1);
    let together: Vec<CrashedRun> = (0..40).map(|replica| crash(replica, 0, 40 + replica)).collect();
    assert!(history(&together).strikes() < QUARANTINE_STRIKES);
    assert_eq!(history(&together).crash_count(), 40);
}

#[test]
fn back_ends_that_end_one_after_the_other_are_a_strike_each() {
    let in_a_row = [crash(0, 0, 40), crash(1, 41, 60), crash(2, 75, 80)];
    assert_eq!(history(&in_a_row).strikes(), 3);
}

#[test]
fn what_another_node_saw_one_after_the_other_counts_so_however_close() {
    let in_a_row = [crash(0, 0, 4), crash(1, 5, 8), crash(2, 9, 12)];
    let heard: Vec<CrashedRun> = in_a_row.into_iter().map(|run| remote(run, 2, 30)).collect();
    assert_eq!(history(&heard).strikes(), 3);
}

#[test]
fn word_that_comes_late_does_not_make_runs_follow_one_another() {
    let early = remote(crash(0, 0, 40), 2, 1);
    let late = remote(crash(1, 30, 60), 2, 200);
    assert_eq!(history(&[early.clone(), late.clone()]).strikes(), 1, "same observer");
    let of_another = remote(crash(1, 30, 60), 3, 200);
    assert_eq!(history(&[early, of_another]).strikes(), 1, "different observers");
}

#[test]
fn what_two_nodes_saw_well_apart_counts_as_one_after_the_other() {
    let first = remote(crash(0, 0, 40), 2, 1);
    let second = remote(crash(1, 400, 440), 3, 1);
    assert_eq!(history(&[first, second]).strikes(), 2);
}

#[test]
fn a_back_end_ends_once() {
    let told_twice = [crash(0, 0, 40), crash(0, 45, 90)];
    assert_eq!(history(&told_twice).strikes(), 1);
    assert_eq!(history(&told_twice).crash_count(), 1);
}

#[test]
fn a_good_run_that_was_begun_later_takes_back_what_was_held_against_the_request_at_its_service() {
    let mut known = history(&[crash(0, 0, 40), crash(1, 50, 90)]);
    assert!(!known.record_success(&service(0), at(39)), "the run was in progress during the crash");
    assert_eq!(known.strikes(), 2);
    assert!(known.record_success(&service(0), at(95)));
    assert!(!known.has_crash_at(&service(0)));
    assert!(known.has_crash_at(&service(1)), "the crash at the other service still counts");
    assert!(known.succeeded_since_last_crash());
    assert!(known.record_success(&service(1), at(95)));
    assert_eq!(known.strikes(), 0);
    assert!(!known.record_crash(crash(0, 0, 40)), "a late notice of a cleared crash is ignored");
}

#[test]
fn ends_at_several_services_are_not_in_a_row_when_a_run_between_them_ended_well() {
    let mut known = history(&[crash(0, 0, 40)]);
    assert!(known.record_success(&service(3), at(50)));
    known.record_crash(crash(1, 60, 90));
    known.record_crash(crash(2, 100, 120));
    assert_eq!(known.strikes(), 2);
}

#[test]
fn a_request_that_is_fatal_to_one_service_alone_is_found_out() {
    let mut known = CrashHistory::default();
    for attempt in 0..5 {
        let began = attempt * 100;
        known.record_success(&service(1), at(began));
        known.record_crash(CrashedRun { service: service(0), ..crash(attempt, began + 10, began + 50) });
    }
    assert_eq!(known.strikes(), QUARANTINE_STRIKES);
}

fn run(node: u64, call: u64) -> RunId {
    RunId { node: ObserverId(node), call }
}

/// A lease request for a route whose calls usually take 12 ms.
fn wanted(run: RunId) -> LeaseRequest {
    LeaseRequest { run, duration: lease_duration(Micros::from_millis(12)) }
}

#[test]
fn several_that_end_beside_those_in_a_row_count_once_more() {
    let mut known = history(&(0..3).map(|replica| crash(replica, 0, 40 + replica)).collect::<Vec<_>>());
    assert_eq!(known.strikes(), 2);
    assert!(known.record_success(&service(3), at(50)), "a later run succeeded");
    known.record_crash(crash(7, 60, 90));
    assert_eq!(known.strikes(), 1, "concurrent crashes before the success no longer count");
}

#[test]
fn a_suspect_goes_to_one_back_end_at_a_time_until_a_run_ends_well() {
    let mut quarantine = with_strikes(1);
    let now = at(60);
    for shard in 0..4 {
        assert_eq!(quarantine.permit(&digest(1), &service(shard), now), RunPermit::NeedsLease);
    }
    assert!(quarantine.grant(&digest(1), wanted(run(1, 1)), now));
    assert!(!quarantine.grant(&digest(1), wanted(run(1, 2)), now), "another run of the same node");
    assert!(!quarantine.grant(&digest(1), wanted(run(2, 1)), now), "a run of another node");
    assert!(quarantine.release_lease(&digest(1), run(1, 1)));
    assert!(quarantine.grant(&digest(1), wanted(run(2, 1)), now));
    assert!(quarantine.record_success(&digest(1), &service(3), now));
    for shard in 0..4 {
        assert_eq!(quarantine.permit(&digest(1), &service(shard), at(70)), RunPermit::Free);
    }
}

#[test]
fn a_service_that_struck_several_times_is_tried_by_itself() {
    let mut quarantine = Quarantine::default();
    for attempt in 0..4 {
        let began = attempt * 100;
        let run = CrashedRun { service: service(0), ..crash(attempt, began, began + 50) };
        quarantine.record_success(&digest(1), &service(3), at(began));
        quarantine.record_crash(digest(1), ROUTE, run, at(began + 50));
    }
    assert!(quarantine.record_success(&digest(1), &service(3), at(360)));
    assert_eq!(quarantine.permit(&digest(1), &service(2), at(370)), RunPermit::Free);
    assert_eq!(quarantine.permit(&digest(1), &service(0), at(370)), RunPermit::NeedsLease);
}

#[test]
fn slow_routes_keep_others_waiting_for_longer_and_none_for_ever() {
    assert!(lease_duration(Micros::from_millis(90)) >= Micros::from_millis(360), "allows for a cold replica");
    assert!(lease_duration(Micros::from_secs(60)) <= Micros::from_secs(2));
    assert!(lease_duration(Micros(0)) > Micros(0));
}

#[test]
fn a_silent_run_does_not_keep_others_waiting_for_ever() {
    let mut quarantine = with_strikes(1);
    assert!(quarantine.grant(&digest(1), wanted(run(1, 1)), at(60)));
    assert!(quarantine.grant(&digest(1), wanted(run(1, 2)), at(60).plus(wanted(run(1, 1)).duration)));
    assert!(!quarantine.release_lease(&digest(1), run(1, 1)), "the second run holds the lease");
}

#[test]
fn from_the_third_strike_on_nothing_is_sent_until_the_quarantine_is_over() {
    let quarantine = with_strikes(u64::from(QUARANTINE_STRIKES));
    let ended = at(250);
    let until = ended.plus(FIRST_HOLD);
    assert_eq!(quarantine.status(&digest(1), ended), QuarantineStatus::Quarantined { until });
    for shard in 0..4 {
        let permit = quarantine.permit(&digest(1), &service(shard), ended);
        assert_eq!(permit, RunPermit::Refused { retry_after: FIRST_HOLD });
    }
    assert_eq!(quarantine.status(&digest(2), ended), QuarantineStatus::Clear);
}

#[test]
fn after_the_quarantine_one_run_tells_and_another_strike_makes_it_longer() {
    let mut quarantine = with_strikes(u64::from(QUARANTINE_STRIKES));
    let until = at(250).plus(FIRST_HOLD);
    assert_eq!(quarantine.status(&digest(1), until), QuarantineStatus::Probation);
    assert_eq!(quarantine.permit(&digest(1), &service(0), until), RunPermit::NeedsLease);
    assert!(quarantine.grant(&digest(1), wanted(run(1, 1)), until));
    assert!(!quarantine.grant(&digest(1), wanted(run(2, 1)), until));
    let ended_at = until.plus(Micros::from_millis(20));
    let again = CrashedRun { started_at: until, ended_at, known_at: ended_at, ..crash(99, 0, 0) };
    quarantine.record_crash(digest(1), ROUTE, again, ended_at);
    match quarantine.status(&digest(1), ended_at) {
        QuarantineStatus::Quarantined { until } => assert!(until.since(ended_at) > FIRST_HOLD),
        status => panic!("{status}"),
    }
}

#[test]
fn no_quarantine_is_longer_than_the_longest() {
    let quarantine = with_strikes(40);
    let ended = at(39 * 100 + 50);
    match quarantine.status(&digest(1), ended) {
        QuarantineStatus::Quarantined { until } => assert_eq!(until.since(ended), LONGEST_HOLD),
        status => panic!("{status}"),
    }
}

#[test]
fn an_operator_releases_a_request_on_all_nodes() {
    let mut quarantine = with_strikes(u64::from(QUARANTINE_STRIKES));
    let mut other = Quarantine::default();
    for (notice, audience) in quarantine.take_updates(at(300)) {
        assert_eq!(audience, Audience::AllNodes);
        other.merge_notice(&notice, true, at(300));
    }
    assert!(matches!(other.status(&digest(1), at(300)), QuarantineStatus::Quarantined { .. }));
    assert!(quarantine.release(&digest(1), at(400)));
    assert!(!quarantine.release(&digest(7), at(400)), "the request is not tracked");
    let news = quarantine.take_updates(at(400));
    assert_eq!(news.len(), 1);
    assert_eq!(news[0].1, Audience::AllNodes);
    other.merge_notice(&news[0].0, true, at(400));
    assert_eq!(other.status(&digest(1), at(400)), QuarantineStatus::Clear);
    let old = with_strikes(u64::from(QUARANTINE_STRIKES))
        .notice(&digest(1), at(500))
        .expect("the request is tracked");
    other.merge_notice(&old, false, at(500));
    assert_eq!(other.status(&digest(1), at(500)), QuarantineStatus::Clear, "an older notice is ignored");
}

#[test]
fn a_first_strike_is_told_to_everyone_once() {
    let mut quarantine = with_strikes(1);
    let news = quarantine.take_updates(at(100));
    assert_eq!(news.iter().map(|(_, audience)| *audience).collect::<Vec<_>>(), [Audience::AllNodes]);
    assert!(quarantine.take_updates(at(100)).is_empty());
    assert!(quarantine.record_success(&digest(1), &service(0), at(110)));
    let taken_back = quarantine.take_updates(at(120));
    assert_eq!(taken_back.iter().map(|(_, audience)| *audience).collect::<Vec<_>>(), [Audience::AllNodes]);
}

#[test]
fn many_first_strikes_at_once_are_sent_to_owners_alone() {
    let mut quarantine = Quarantine::default();
    for number in 0..200 {
        let run = CrashedRun { replica: ReplicaId::new(format!("i-{number}")), ..crash(0, 0, 40) };
        quarantine.record_crash(digest(number), ROUTE, run, at(40));
    }
    let news = quarantine.take_updates(at(50));
    let everyone = news.iter().filter(|(_, audience)| *audience == Audience::AllNodes).count();
    assert_eq!(news.len(), 200);
    assert!(everyone > 0 && everyone <= 20, "{everyone}");
}

#[test]
fn a_flood_of_requests_neither_grows_the_table_nor_frees_one_that_is_held_back() {
    let mut quarantine = with_strikes(u64::from(QUARANTINE_STRIKES));
    for number in 0..20_000 {
        let now = at(300 + number / 100);
        let run = CrashedRun { started_at: now, ended_at: now, known_at: now, ..crash(1_000 + number, 0, 0) };
        quarantine.record_crash(digest(10 + number), ROUTE, run, now);
    }
    assert!(quarantine.len() <= MAXIMUM_REQUESTS);
    assert!(quarantine.notices(at(600)).len() <= NOTICES_PER_MESSAGE);
    assert!(matches!(quarantine.status(&digest(1), at(600)), QuarantineStatus::Quarantined { .. }));
}

#[test]
fn what_is_long_past_is_forgotten() {
    let mut quarantine = with_strikes(u64::from(QUARANTINE_STRIKES));
    quarantine.expire(at(250).plus(FIRST_HOLD));
    assert_eq!(quarantine.len(), 1);
    quarantine.expire(at(250).plus(FIRST_HOLD).plus(Micros::from_secs(601)));
    assert!(quarantine.is_empty());
}

#[test]
fn a_request_that_nothing_speaks_against_is_soon_forgotten() {
    let mut quarantine = with_strikes(1);
    assert!(quarantine.record_success(&digest(1), &service(0), at(60)));
    quarantine.expire(at(1_000));
    let late = with_strikes(1).notice(&digest(1), at(1_000)).expect("the request is tracked");
    quarantine.merge_notice(&late, false, at(1_000));
    assert_eq!(
        quarantine.status(&digest(1), at(1_000)),
        QuarantineStatus::Clear,
        "a late notice of a cleared crash is ignored"
    );
    quarantine.expire(at(40_000));
    assert!(quarantine.is_empty());
}

/// A simulated node.
#[derive(Default)]
struct Node {
    quarantine: Quarantine,
    /// Until this time the node loses every message.
    partitioned_until: u64,
    /// Start of the current period in which the node is running and reachable.
    connected_since: u64,
}

/// A message in flight.
struct Message {
    arrives_at: u64,
    to: usize,
    notices: Vec<QuarantineNotice>,
    is_broadcast: bool,
}

/// An attempt to run the request; every back end that runs it crashes.
struct Attempt {
    node: usize,
    began_at: u64,
    /// Pending calls; each shard has two.
    waiting: Vec<u64>,
    /// Running calls: call, start, crash time, and the run if it holds the lease.
    running: Vec<(u64, u64, u64, Option<RunId>)>,
    reached: bool,
}

/// A fleet with a lossy network, and the number of crashed back ends.
struct Fleet {
    nodes: Vec<Node>,
    loss_percent: u64,
    random: u64,
    ended: u64,
    calls: u64,
    messages: Vec<Message>,
}

/// The node that grants the lease of the request.
const FIRST_OWNER: usize = 0;
/// Timeout of an attempt.
const ATTEMPT_MS: u64 = 1_500;

impl Fleet {
    fn new(nodes: usize, loss_percent: u64, seed: u64) -> Self {
        let nodes = (0..nodes).map(|_| Node::default()).collect();
        Self { nodes, loss_percent, random: seed | 1, ended: 0, calls: 0, messages: Vec::new() }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below.max(1)
    }

    fn arrives(&mut self, from: usize, to: usize, now: u64) -> bool {
        let cut = self.nodes[from].partitioned_until > now || self.nodes[to].partitioned_until > now;
        from == to || (!cut && self.draw(100) >= self.loss_percent)
    }

    fn send(&mut self, from: usize, to: usize, notices: Vec<QuarantineNotice>, is_broadcast: bool, now: u64) {
        if from != to && self.arrives(from, to, now) {
            let arrives_at = now + 1 + self.draw(40);
            self.messages.push(Message { arrives_at, to, notices, is_broadcast });
        }
    }

    fn send_updates(&mut self, from: usize, now: u64) {
        for (notice, audience) in self.nodes[from].quarantine.take_updates(at(now)) {
            let everyone = audience == Audience::AllNodes;
            let recipients = if everyone { self.nodes.len() } else { self.nodes.len().min(3) };
            for to in 0..recipients {
                self.send(from, to, vec![notice.clone()], everyone, now);
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|message| message.arrives_at <= now);
        self.messages = later;
        for message in due {
            for notice in &message.notices {
                self.nodes[message.to].quarantine.merge_notice(notice, message.is_broadcast, at(now));
            }
            self.send_updates(message.to, now);
        }
    }

    /// Anti-entropy: each node exchanges notices with one other node.
    fn compare(&mut self, now: u64) {
        for node in 0..self.nodes.len() {
            let other = self.draw(self.nodes.len() as u64) as usize;
            let sent = self.nodes[node].quarantine.notices(at(now));
            let answer = self.nodes[other].quarantine.notices(at(now));
            self.send(node, other, sent, false, now);
            self.send(other, node, answer, false, now);
        }
    }

    fn begin(&mut self, node: usize, shards: u64, now: u64) -> Attempt {
        Attempt {
            node,
            began_at: now,
            waiting: (0..shards * 2).collect(),
            running: Vec::new(),
            reached: false,
        }
    }

    /// Whether a run may start; the owner is asked over the lossy network. `None` means quarantined.
    fn may_run(&mut self, node: usize, shard: u64, run: RunId, now: u64) -> Option<bool> {
        match self.nodes[node].quarantine.permit(&digest(1), &service(shard), at(now)) {
            RunPermit::Free => Some(true),
            RunPermit::Refused { .. } => None,
            RunPermit::NeedsLease if !self.arrives(node, FIRST_OWNER, now) => Some(false),
            RunPermit::NeedsLease => {
                let notice =
                    self.nodes[node].quarantine.notice(&digest(1), at(now)).expect("the request is suspect");
                let owner = &mut self.nodes[FIRST_OWNER].quarantine;
                owner.merge_notice(&notice, false, at(now));
                let known = owner.notice(&digest(1), at(now)).expect("the notice was just merged");
                let granted = owner.grant(&digest(1), wanted(run), at(now));
                let own = &mut self.nodes[node].quarantine;
                own.merge_notice(&known, false, at(now));
                let held = matches!(own.status(&digest(1), at(now)), QuarantineStatus::Quarantined { .. });
                if held { None } else { Some(granted) }
            }
        }
    }

    /// Advances an attempt by one millisecond. Returns whether it is finished.
    fn step(&mut self, attempt: &mut Attempt, shards: u64, now: u64) -> bool {
        let node = attempt.node;
        let (over, running): (Vec<_>, Vec<_>) =
            attempt.running.drain(..).partition(|(_, _, ends_at, _)| *ends_at <= now);
        attempt.running = running;
        for (call, started_at, _, leased_run) in over {
            self.ended += 1;
            let crashed = CrashedRun {
                replica: ReplicaId::new(format!("i-{}", self.ended)),
                service: service(call % shards),
                observer: ObserverId(node as u64),
                started_at: at(started_at),
                ended_at: at(now),
                known_at: at(now),
                is_remote: false,
            };
            self.nodes[node].quarantine.record_crash(digest(1), ROUTE, crashed, at(now));
            if let Some(run) = leased_run
                && self.arrives(node, FIRST_OWNER, now)
            {
                let notice = self.nodes[node]
                    .quarantine
                    .notice(&digest(1), at(now))
                    .expect("the crash was just recorded");
                let owner = &mut self.nodes[FIRST_OWNER].quarantine;
                owner.merge_notice(&notice, false, at(now));
                owner.release_lease(&digest(1), run);
            }
        }
        self.send_updates(node, now);
        let first = now == attempt.began_at;
        let running: Vec<u64> = attempt.running.iter().map(|(call, ..)| call % shards).collect();
        for call in std::mem::take(&mut attempt.waiting) {
            // The second call of a shard starts after the first has failed.
            if (first && call >= shards) || running.contains(&(call % shards)) {
                attempt.waiting.push(call);
                continue;
            }
            self.calls += 1;
            let run = RunId { node: ObserverId(node as u64), call };
            match self.may_run(node, call % shards, run, now) {
                Some(true) => {
                    let clear =
                        self.nodes[node].quarantine.status(&digest(1), at(now)) == QuarantineStatus::Clear;
                    let ends_at = now + 2 + self.draw(90);
                    attempt.running.push((call, now, ends_at, (!clear).then_some(run)));
                    attempt.reached = true;
                }
                Some(false) => attempt.waiting.push(call),
                None => attempt.waiting.clear(),
            }
        }
        let held = matches!(
            self.nodes[node].quarantine.status(&digest(1), at(now)),
            QuarantineStatus::Quarantined { .. }
        );
        let late = now >= attempt.began_at + ATTEMPT_MS;
        (held || late || attempt.waiting.is_empty()) && attempt.running.is_empty()
    }

    /// Runs concurrent attempts. Returns which of them reached back ends, and the time at which all were
    /// finished.
    fn play(&mut self, mut begun: Vec<Attempt>, shards: u64, now: u64) -> (Vec<(usize, bool)>, u64) {
        let mut now = now;
        let mut done = Vec::new();
        while !begun.is_empty() {
            self.deliver(now);
            let mut open = Vec::new();
            for mut attempt in begun {
                if self.step(&mut attempt, shards, now) {
                    done.push((attempt.node, attempt.reached));
                } else {
                    open.push(attempt);
                }
            }
            begun = open;
            now += 1;
        }
        (done, now)
    }
}

fn settings() -> ProptestConfig {
    ProptestConfig { cases: 48, rng_seed: RngSeed::Fixed(33), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(settings())]

    /// Later than four seconds after the third crash, at most three attempts reach back ends through nodes
    /// that have been connected for four seconds, regardless of the number of concurrent attempts.
    #[test]
    fn a_request_that_ends_back_ends_is_contained(
        size in prop::sample::select(vec![8_usize, 64, 300]),
        shards in prop::sample::select(vec![1_u64, 4, 20, 90]),
        loss_percent in 0_u64..40,
        spells in prop::collection::vec((20_u64..9_000, 1_usize..7), 12),
        seed in any::<u64>(),
    ) {
        const CONNECTED_MS: u64 = 4_000;
        let mut fleet = Fleet::new(size, loss_percent, seed);
        let (mut now, mut compared, mut third_at, mut late) = (10_000, 9_000, None, 0);
        for (gap, attempts) in spells {
            let next = now + gap;
            while compared + 1_000 <= next {
                compared += 1_000;
                fleet.deliver(compared.max(now));
                fleet.compare(compared.max(now));
            }
            now = next;
            // Occasionally a node restarts or is partitioned.
            let unlucky = fleet.draw(size as u64) as usize;
            match fleet.draw(6) {
                0 => fleet.nodes[unlucky] = Node { connected_since: now, ..Node::default() },
                1 => {
                    fleet.nodes[unlucky].partitioned_until = now + 3_000;
                    fleet.nodes[unlucky].connected_since = now + 3_000;
                }
                _ => {}
            }
            let begun = (0..attempts).map(|_| {
                let node = fleet.draw(size as u64) as usize;
                fleet.begin(node, shards, now)
            });
            let begun = begun.collect::<Vec<_>>();
            let began_at = now;
            let (done, over_at) = fleet.play(begun, shards, now);
            now = over_at;
            for (node, reached) in done {
                let connected = began_at >= fleet.nodes[node].connected_since + CONNECTED_MS;
                let bound = third_at.is_some_and(|third_at| began_at > third_at + CONNECTED_MS);
                late += usize::from(reached && connected && bound);
            }
            if fleet.ended >= 3 {
                third_at.get_or_insert(now);
            }
        }
        prop_assert!(late <= 3, "{late} late attempts, {} crashes", fleet.ended);
        // Six attempts may each reach two back ends per shard before any crash is known.
        prop_assert!(fleet.ended <= shards * 12 + 40, "{} crashes", fleet.ended);
    }

    /// The number of strikes does not depend on the order in which notices arrive.
    #[test]
    fn strikes_do_not_depend_on_the_order_of_news(
        spans in prop::collection::vec((0_u64..500, 1_u64..60), 1..KEPT_CRASHES),
        order in any::<u64>(),
    ) {
        let spans = spans.iter().enumerate();
        let mut runs: Vec<CrashedRun> =
            spans.map(|(replica, (from, length))| crash(replica as u64, *from, from + length)).collect();
        let strikes = history(&runs).strikes();
        let mut state = order | 1;
        runs.sort_by_key(|run| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (state >> 20, run.replica.clone())
        });
        prop_assert_eq!(history(&runs).strikes(), strikes);
    }

    /// Evicting crashes beyond the limit keeps the sequential ones.
    #[test]
    fn dropping_what_is_beyond_the_bound_loses_no_strike(
        beside in prop::collection::vec(0_u64..60, 0..40),
        row in 1_u64..KEPT_CRASHES as u64,
    ) {
        let mut runs: Vec<CrashedRun> = (0..row).map(|n| crash(n, n * 100, n * 100 + 50)).collect();
        runs.extend(beside.iter().enumerate().map(|(n, from)| crash(100 + n as u64, *from, 60 + from)));
        let known = history(&runs);
        prop_assert!(known.crashes().len() <= KEPT_CRASHES);
        prop_assert!(u64::from(known.strikes()) >= row, "{} of {row}", known.strikes());
    }

    /// A frequent request is not quarantined when back ends crash for other reasons, since its successful
    /// runs clear it.
    #[test]
    fn an_innocent_request_is_not_held_back(
        waves in prop::collection::vec((200_u64..3_000, 1_u64..40), 1..12),
        work_ms in 5_u64..120,
        seed in any::<u64>(),
    ) {
        const BACK_ENDS: u64 = 40;
        const STEP_MS: u64 = 10;
        let mut fleet = Fleet::new(3, 0, seed);
        let mut running: Vec<(usize, RunId, u64, u64)> = Vec::new();
        let (mut now, mut key, mut lives) = (1_000_u64, 0_u64, 0_u64);
        for (gap, killed) in waves {
            let kill_at = now + gap;
            while now < kill_at {
                now += STEP_MS;
                let kills = now >= kill_at;
                let (over, under_way): (Vec<_>, Vec<_>) = running.into_iter().partition(|(_, _, back_end, started)| {
                    now >= started + work_ms || (kills && *back_end < killed)
                });
                running = under_way;
                for (node, asked, back_end, started) in over {
                    let quarantine = &mut fleet.nodes[node].quarantine;
                    if now >= started + work_ms {
                        quarantine.record_success(&digest(1), &service(back_end % 4), at(started));
                    } else {
                        lives += 1;
                        let replica = ReplicaId::new(format!("i-{back_end}-{lives}"));
                        let observer = ObserverId(node as u64);
                        let run = CrashedRun { replica, observer, ..crash(back_end, started, now) };
                        quarantine.record_crash(digest(1), ROUTE, run, at(now));
                    }
                    if let Some(notice) = quarantine.notice(&digest(1), at(now)) {
                        fleet.nodes[FIRST_OWNER].quarantine.merge_notice(&notice, false, at(now));
                    }
                    fleet.nodes[FIRST_OWNER].quarantine.release_lease(&digest(1), asked);
                    fleet.send_updates(node, now);
                }
                // The request goes to one of 40 back ends through one of three nodes.
                key += 1;
                let (node, back_end) = (fleet.draw(3) as usize, fleet.draw(BACK_ENDS));
                let asks = RunId { node: ObserverId(node as u64), call: key };
                match fleet.may_run(node, back_end % 4, asks, now) {
                    Some(true) => running.push((node, asks, back_end, now)),
                    Some(false) => {}
                    None => prop_assert!(false, "quarantined at {now} ms"),
                }
                fleet.deliver(now);
            }
        }
    }
}
