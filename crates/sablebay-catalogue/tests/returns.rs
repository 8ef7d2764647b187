//! Restores of the source from an older copy: known state never regresses, and all nodes converge.
//!
//! The simulated source reuses revision numbers after a restore. Writers rewrite their entries in any order,
//! and entries of replicas that left expire. Nodes list, watch, exchange updates and restart.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_catalogue::{
    CataloguePosition, CatalogueRevision, CatalogueView, Era, Listing, PeerPosition, Replica, ReplicaChange,
    ReplicaId, ReplicaPhase, SETTLE_PERIOD, ServiceName, ZoneNotice,
};
use sablebay_model::{Micros, ZoneName};

const START: Micros = Micros::from_secs(100);
const REPLICAS: u8 = 3;
const NODES: usize = 3;
/// Simulated time between two steps.
const STEP: Micros = Micros::from_millis(20);
const ZONE: &str = "z";

/// A replica's entry: start time of the incarnation, sequence, and whether it is ready.
type Announcement = (u64, u64, bool);

fn replica(id: u8, (started_ms, sequence, ready): Announcement) -> Replica {
    Replica {
        id: ReplicaId::with_incarnation(format!("r{id}"), started_ms),
        service: ServiceName::new("s"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        zone: ZoneName::new(ZONE),
        slots: 2,
        phase: if ready { ReplicaPhase::Ready } else { ReplicaPhase::Draining },
        warm_up_left_ms: 0,
        sequence,
    }
}

/// Key of an entry at the source.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Key {
    Replica(u8),
    Evacuation,
}

#[derive(Clone, Debug, Default)]
struct Contents {
    number: u64,
    replicas: BTreeMap<u8, (Announcement, u64)>,
    evacuated: Option<u64>,
    changes: Vec<(u64, Key, Option<Announcement>)>,
}

/// The source, and the latest state of its writers.
#[derive(Clone, Debug)]
struct Source {
    era: Era,
    eras: u64,
    contents: Contents,
    copy: Contents,
    /// `None` for replicas that have left.
    announcements: BTreeMap<u8, Option<Announcement>>,
    incarnations: u64,
    evacuated: bool,
}

impl Source {
    fn new() -> Self {
        let mut source = Self {
            era: Era::new(1),
            eras: 1,
            contents: Contents { number: 10, ..Contents::default() },
            copy: Contents::default(),
            announcements: BTreeMap::new(),
            incarnations: 0,
            evacuated: false,
        };
        for id in 0..REPLICAS {
            source.start(id);
        }
        source.copy = source.contents.clone();
        source
    }

    fn revision(&self, number: u64) -> CatalogueRevision {
        CatalogueRevision::new(self.era, number)
    }

    fn put(&mut self, key: Key, announcement: Option<Announcement>) {
        self.contents.number += 1;
        let number = self.contents.number;
        match (key, announcement) {
            (Key::Replica(id), Some(announcement)) => {
                self.contents.replicas.insert(id, (announcement, number));
            }
            (Key::Replica(id), None) => {
                self.contents.replicas.remove(&id);
            }
            (Key::Evacuation, announcement) => self.contents.evacuated = announcement.map(|_| number),
        }
        self.contents.changes.push((number, key, announcement));
    }

    fn start(&mut self, id: u8) {
        self.incarnations += 1;
        self.announce(id, Some((self.incarnations, 1, true)));
    }

    fn announce(&mut self, id: u8, announcement: Option<Announcement>) {
        self.announcements.insert(id, announcement);
        self.put(Key::Replica(id), announcement);
    }

    /// Toggles between ready and draining, or restarts a replica that has left.
    fn change(&mut self, id: u8) {
        match self.announcements[&id] {
            Some((life, count, ready)) => self.announce(id, Some((life, count + 1, !ready))),
            None => self.start(id),
        }
    }

    fn leave(&mut self, id: u8) {
        if self.announcements[&id].is_some() {
            self.announce(id, None);
        }
    }

    fn evacuate(&mut self, evacuated: bool) {
        if self.evacuated != evacuated {
            self.evacuated = evacuated;
            self.put(Key::Evacuation, evacuated.then_some((0, 0, false)));
        }
    }

    fn restore(&mut self) {
        self.eras += 1;
        self.era = Era::new(self.eras);
        self.contents = self.copy.clone();
    }

    /// Brings a replica's entry in line with its writer's state.
    fn rewrite(&mut self, id: u8) {
        let stored = self.contents.replicas.get(&id).map(|(announcement, _)| *announcement);
        if stored != self.announcements[&id] {
            self.put(Key::Replica(id), self.announcements[&id]);
        }
    }

    fn rewrite_evacuation(&mut self) {
        if self.contents.evacuated.is_some() != self.evacuated {
            self.put(Key::Evacuation, self.evacuated.then_some((0, 0, false)));
        }
    }

    fn rewrite_all(&mut self) {
        (0..REPLICAS).for_each(|id| self.rewrite(id));
        self.rewrite_evacuation();
    }

    fn list(&self) -> Listing {
        let at = |number| self.revision(number);
        let replicas = self.contents.replicas.iter();
        let evacuated = self.contents.evacuated.iter();
        Listing {
            at: at(self.contents.number),
            replicas: replicas
                .map(|(id, (announcement, number))| (replica(*id, *announcement), at(*number)))
                .collect(),
            evacuated: evacuated.map(|number| (ZoneName::new(ZONE), at(*number))).collect(),
        }
    }

    /// Applies the changes since the view's position; returns whether the source has them.
    fn apply_changes(&self, view: &mut CatalogueView, now: Micros) -> bool {
        let after = view.replicas_at().revision();
        if after.era() != self.era || after > self.revision(self.contents.number) {
            return false;
        }
        for (number, key, announcement) in &self.contents.changes {
            let revision = self.revision(*number);
            if revision <= after {
                continue;
            }
            match (key, announcement) {
                (Key::Replica(id), Some(announcement)) => {
                    view.apply(ReplicaChange::Written(replica(*id, *announcement)), revision, now);
                }
                (Key::Replica(id), None) => {
                    view.apply(ReplicaChange::Removed(ReplicaId::new(format!("r{id}"))), revision, now);
                }
                (Key::Evacuation, announcement) => {
                    let notice = ZoneNotice::new(ZoneName::new(ZONE), announcement.is_some(), revision);
                    view.apply_notice(&notice, now);
                }
            }
        }
        view.advance(self.revision(self.contents.number));
        true
    }
}

fn read(source: &Source, view: &mut CatalogueView, now: Micros) {
    if view.must_settle(now) || !source.apply_changes(view, now) {
        view.replace(source.list(), now);
    }
}

/// Requests an update from `peer`.
fn ask(asker: &mut CatalogueView, peer: &CatalogueView, now: Micros) {
    let catch_up_from = asker.catch_up_from(now).filter(|_| peer.has_caught_up(now));
    let position = asker.position();
    let from = PeerPosition { at: catch_up_from.unwrap_or(position.at), ..position };
    asker.merge(peer.snapshot(0, from, now), now);
}

/// Replicas in use, except last resorts, with incarnation and sequence.
fn in_use(view: &CatalogueView, now: Micros) -> BTreeMap<String, (u64, u64)> {
    let services = view.routable(now);
    let replicas = services.get(&ServiceName::new("s")).map(Vec::as_slice).unwrap_or_default();
    let in_use = replicas.iter().filter(|known| !known.last_resort);
    let announcement = |replica: &Replica| (replica.id.started_ms(), replica.sequence);
    in_use.map(|known| (known.replica.id.name().to_string(), announcement(&known.replica))).collect()
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Change(u8),
    Leave(u8),
    Evacuate(bool),
    Copy,
    Restore,
    Rewrite(u8),
    RewriteEvacuation,
    Settle,
    Read(usize),
    Ask(usize, usize),
    Start(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..NODES;
    prop_oneof![
        3 => (0..REPLICAS).prop_map(Step::Change),
        1 => (0..REPLICAS).prop_map(Step::Leave),
        1 => any::<bool>().prop_map(Step::Evacuate),
        1 => Just(Step::Copy),
        2 => Just(Step::Restore),
        2 => (0..REPLICAS).prop_map(Step::Rewrite),
        1 => Just(Step::RewriteEvacuation),
        1 => Just(Step::Settle),
        5 => node().prop_map(Step::Read),
        4 => (node(), node()).prop_map(|(asker, peer)| Step::Ask(asker, peer)),
        1 => node().prop_map(Step::Start),
    ]
}

/// The latest announcement in use, and whether the replica has left use since.
type Seen = ((u64, u64), bool);

struct Simulation {
    source: Source,
    views: Vec<CatalogueView>,
    /// By node and replica name.
    seen: Vec<BTreeMap<String, Seen>>,
    now: Micros,
}

impl Simulation {
    fn new() -> Self {
        let views = (0..NODES).map(|_| CatalogueView::default()).collect();
        let mut simulation =
            Self { source: Source::new(), views, seen: vec![BTreeMap::new(); NODES], now: START };
        (0..NODES).for_each(|node| read(&simulation.source, &mut simulation.views[node], START));
        simulation.settle();
        simulation
    }

    /// All writers write again and the settle period passes.
    fn settle(&mut self) {
        self.source.rewrite_all();
        self.now = self.now.plus(SETTLE_PERIOD);
    }

    fn run(&mut self, step: Step) {
        self.now = self.now.plus(STEP);
        match step {
            Step::Change(id) => self.source.change(id),
            Step::Leave(id) => self.source.leave(id),
            Step::Evacuate(evacuated) => self.source.evacuate(evacuated),
            Step::Copy => self.source.copy = self.source.contents.clone(),
            Step::Restore => self.source.restore(),
            Step::Rewrite(id) => self.source.rewrite(id),
            Step::RewriteEvacuation => self.source.rewrite_evacuation(),
            Step::Settle => self.settle(),
            Step::Read(node) => read(&self.source, &mut self.views[node], self.now),
            Step::Ask(asker, peer) if asker != peer => {
                let mut view = std::mem::take(&mut self.views[asker]);
                ask(&mut view, &self.views[peer], self.now);
                self.views[asker] = view;
            }
            Step::Ask(..) => {}
            Step::Start(node) => {
                self.views[node] = CatalogueView::default();
                self.views[node].begin_catch_up(self.now);
                self.seen[node].clear();
            }
        }
    }

    /// No node goes back to an older announcement of a replica, or resumes one that left use.
    fn check_no_regression(&mut self) -> Result<(), TestCaseError> {
        for node in 0..NODES {
            if self.views[node].is_evacuated(&ZoneName::new(ZONE)) {
                continue;
            }
            let in_use = in_use(&self.views[node], self.now);
            for (name, (announcement, stopped)) in &mut self.seen[node] {
                match in_use.get(name) {
                    Some(now) if *stopped => {
                        prop_assert!(now > announcement, "node {node}: {name} in use again at {now:?}")
                    }
                    Some(now) => {
                        prop_assert!(now >= announcement, "node {node}: {name} went back to {now:?}")
                    }
                    None => *stopped = true,
                }
            }
            self.seen[node]
                .extend(in_use.into_iter().map(|(name, announcement)| (name, (announcement, false))));
        }
        Ok(())
    }

    /// Once all entries are rewritten and every node has read, all nodes agree with the source.
    fn check_convergence(&mut self) -> Result<(), TestCaseError> {
        // First read in the current era, then a read after it has settled, then expiry of removed entries.
        (0..NODES).for_each(|node| read(&self.source, &mut self.views[node], self.now));
        self.settle();
        (0..NODES).for_each(|node| read(&self.source, &mut self.views[node], self.now));
        self.now = self.now.plus(Micros::from_secs(2));
        let ready = |(id, announcement): (&u8, &Option<Announcement>)| {
            announcement
                .filter(|announcement| announcement.2 && !self.source.evacuated)
                .map(|announcement| (format!("r{id}"), (announcement.0, announcement.1)))
        };
        let expected: BTreeMap<String, (u64, u64)> =
            self.source.announcements.iter().filter_map(ready).collect();
        for view in &self.views {
            prop_assert_eq!(view.is_evacuated(&ZoneName::new(ZONE)), self.source.evacuated);
            prop_assert_eq!(in_use(view, self.now), expected.clone());
            prop_assert_eq!(view.retained(), 0);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(45), cases: 2_000, failure_persistence: None, ..Config::default()
    })]

    #[test]
    fn nothing_goes_back_and_all_end_equal(steps in prop::collection::vec(step(), 1..50)) {
        let mut simulation = Simulation::new();
        simulation.check_no_regression()?;
        for step in steps {
            simulation.run(step);
            simulation.check_no_regression()?;
        }
        simulation.check_convergence()?;
    }

    /// An evacuation known to one node holds at every node that has caught up, at any time during a restore.
    #[test]
    fn an_evacuation_outlasts_a_return(returns in 1..3_u32, rewritten in any::<bool>(), reads in any::<bool>()) {
        let mut simulation = Simulation::new();
        simulation.run(Step::Copy);
        simulation.run(Step::Evacuate(true));
        simulation.run(Step::Read(0));
        for _ in 0..returns {
            simulation.run(Step::Restore);
            simulation.run(Step::Read(0));
        }
        if rewritten {
            simulation.run(Step::RewriteEvacuation);
        }
        simulation.run(Step::Start(1));
        if reads {
            simulation.run(Step::Read(1));
        }
        simulation.run(Step::Ask(1, 0));
        for view in &simulation.views[..2] {
            prop_assert!(view.is_evacuated(&ZoneName::new(ZONE)));
        }
    }
}

/// A view right after the source was restored for the first time.
fn restored() -> (Source, CatalogueView, Micros) {
    let mut source = Source::new();
    let mut view = CatalogueView::default();
    read(&source, &mut view, START);
    let now = START.plus(SETTLE_PERIOD);
    read(&source, &mut view, now);
    source.change(0);
    source.change(1);
    read(&source, &mut view, now);
    source.restore();
    read(&source, &mut view, now);
    (source, view, now)
}

#[test]
fn what_the_copy_says_takes_nothing_back() {
    let (source, view, now) = restored();
    assert_eq!(source.contents.replicas[&0].0.1, 1, "the copy holds the entry as ready");
    assert_eq!(in_use(&view, now).into_keys().collect::<Vec<_>>(), ["r2"]);
    assert_eq!(view.retained(), 2);
    assert!(!view.replicas_at().is_settled());
    assert!(!view.source_confirms(), "a copy cannot confirm the configuration");
}

#[test]
fn what_is_never_written_again_goes_once_the_era_is_settled() {
    let mut source = Source::new();
    let mut view = CatalogueView::default();
    read(&source, &mut view, START);
    source.contents.replicas.remove(&2);
    source.copy = source.contents.clone();
    source.restore();
    read(&source, &mut view, START);
    assert_eq!(in_use(&view, START).len(), 3, "absence from the copy is not a removal");
    let settled = START.plus(SETTLE_PERIOD);
    assert!(view.must_settle(settled));
    read(&source, &mut view, settled);
    assert_eq!(in_use(&view, settled).into_keys().collect::<Vec<_>>(), ["r0", "r1"]);
    // A peer from the previous era reaches the settled position, though the revision number is the same.
    let mut peer = CatalogueView::default();
    read(&source, &mut peer, START);
    let mut behind = CatalogueView::default();
    behind.merge(peer.snapshot(0, CataloguePosition::NOTHING, START), START);
    ask(&mut behind, &view, settled);
    assert_eq!(behind.replicas_at(), view.replicas_at());
}

/// After a restore, peers get only the entries that differ.
#[test]
fn a_return_is_told_by_its_differences() {
    let (mut source, view, now) = restored();
    let before = CataloguePosition::new(CatalogueRevision::new(Era::new(1), 15), true);
    let snapshot = view.snapshot(0, before, now);
    assert_eq!((snapshot.replicas.len(), snapshot.removed.len(), snapshot.full), (0, 0, false));
    source.change(2);
    let mut view = view;
    read(&source, &mut view, now);
    let snapshot = view.snapshot(0, before, now);
    assert_eq!((snapshot.replicas.len(), snapshot.removed.len(), snapshot.full), (1, 0, false));
}

/// A node that lists the new era before it received all changes of the old one catches up from a peer.
#[test]
fn a_node_that_was_cut_off_learns_what_the_source_has_lost() {
    let mut source = Source::new();
    let (mut behind, mut view) = (CatalogueView::default(), CatalogueView::default());
    read(&source, &mut behind, START);
    source.change(0);
    read(&source, &mut view, START);
    source.restore();
    read(&source, &mut behind, START);
    assert!(in_use(&behind, START).contains_key("r0"));
    ask(&mut behind, &view, START);
    assert!(!in_use(&behind, START).contains_key("r0"), "the replica is draining");
}

#[test]
fn a_listing_of_an_era_that_skips_some_is_one_of_a_later_era() {
    let (mut source, mut view, now) = restored();
    source.eras += 5;
    source.restore();
    read(&source, &mut view, now);
    assert_eq!(view.replicas_at().era(), Era::new(8));
    assert_eq!(in_use(&view, now).into_keys().collect::<Vec<_>>(), ["r2"]);
}

/// Regressions: interleavings on which the properties failed before.
#[test]
fn interleavings_that_once_failed() {
    use Step::*;
    let cases: &[&[Step]] = &[
        &[Evacuate(true), Copy, Read(0), Evacuate(false), Read(0), Evacuate(true), Restore],
        &[Evacuate(true), Read(1), Evacuate(false), Read(2), Ask(1, 2)],
        &[Change(2), Change(2), Restore, Read(2), Leave(2), Read(2), Read(1), Settle, Read(2), Ask(1, 2)],
        &[Leave(0), Start(1), Read(1), Settle, Read(1), Ask(2, 1)],
        &[Leave(0), Change(1), Read(1), Restore, Change(0), Read(2), Ask(2, 1), Settle, Read(2)],
        &[Change(0), Restore, Settle, Read(0), Restore, Read(0), Read(1), Settle, Read(0), Ask(1, 0)],
        &[Copy, Leave(0), Start(1), Read(1), Ask(1, 0), Start(2), Read(2), Settle, Read(2), Ask(1, 2)],
        &[
            Leave(0),
            Copy,
            Restore,
            Start(0),
            Read(1),
            Read(0),
            Restore,
            Read(0),
            Read(1),
            Settle,
            Read(0),
            Ask(1, 0),
        ],
        &[Start(0), Restore, Leave(0), Start(2), Read(1), Read(0), Ask(2, 1), Settle, Read(0), Ask(2, 0)],
        &[
            Evacuate(true),
            Read(0),
            Evacuate(false),
            Read(2),
            Restore,
            Evacuate(true),
            Read(1),
            Change(0),
            Read(0),
            Ask(2, 0),
            Ask(1, 2),
        ],
        &[
            Read(1),
            Evacuate(true),
            Evacuate(false),
            Read(1),
            Restore,
            Read(1),
            Evacuate(true),
            Read(2),
            Evacuate(false),
            Settle,
            Read(1),
            Ask(2, 1),
        ],
    ];
    for steps in cases {
        let mut simulation = Simulation::new();
        for step in *steps {
            simulation.run(*step);
            simulation.check_no_regression().unwrap_or_else(|error| panic!("{steps:?}: {error}"));
        }
        simulation.check_convergence().unwrap_or_else(|error| panic!("{steps:?}: {error}"));
    }
}
