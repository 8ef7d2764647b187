//! Tests that tenants share the retry budget fairly without exceeding it.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_dispatch::{BudgetShare, RetryAllowance, RetryWindow};
use sablebay_model::Micros;
use sablebay_tenants::TenantName;

fn allowance() -> RetryAllowance {
    RetryAllowance { ratio: 0.2, fixed: 20.0, window: Micros::from_secs(10), nodes: 1 }
}

fn tenant(number: usize) -> TenantName {
    TenantName::new(format!("tenant-{number}"))
}

/// Extra calls requested by and granted to a group of tenants.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    asked: u32,
    granted: u32,
}

/// Simulates more demand than the budget covers: one hot tenant with about ten extra calls per second, and
/// five small ones with one every two seconds each. A denied request asks again while it is open.
fn shortage(mut ask: impl FnMut(&TenantName, Micros) -> bool) -> (Calls, Calls) {
    const OPEN_FOR: Micros = Micros::from_millis(500);
    let (mut hot, mut small) = (Calls::default(), Calls::default());
    let mut open: Vec<(usize, Micros)> = Vec::new();
    for tick in 0..4_000u64 {
        let now = Micros::from_millis(tick * 15);
        if tick % 7 == 0 {
            open.push((0, now));
            hot.asked += 1;
        }
        if tick % 27 == 0 {
            open.push((1 + (tick / 27 % 5) as usize, now));
            small.asked += 1;
        }
        open.retain(|(who, since)| {
            let granted = ask(&tenant(*who), now);
            let calls = if *who == 0 { &mut hot } else { &mut small };
            calls.granted += u32::from(granted);
            !granted && now.since(*since) < OPEN_FOR
        });
    }
    (hot, small)
}

#[test]
fn a_tenant_that_asks_for_most_extra_calls_does_not_take_them_from_the_others() {
    let (mut plain, mut fair) = (RetryWindow::default(), RetryWindow::default());
    let (plain_hot, plain_small) = shortage(|_, now| plain.spend(&allowance(), BudgetShare::All, now));
    let (hot, small) = shortage(|who, now| fair.spend_for(Some(who), &allowance(), BudgetShare::All, now));
    println!("plain: hot {plain_hot:?} small {plain_small:?}; fair: hot {hot:?} small {small:?}");
    assert!(small.granted > plain_small.granted * 3 / 2);
    let (all, all_plain) = (hot.granted + small.granted, plain_hot.granted + plain_small.granted);
    assert!(all * 20 >= all_plain * 19, "fair sharing leaves budget unused: {all} granted of {all_plain}");
    assert!(hot.granted > 0);
}

#[test]
fn one_tenant_alone_gets_the_whole_budget() {
    let (mut plain, mut fair) = (RetryWindow::default(), RetryWindow::default());
    for tick in 0..2_000u64 {
        let now = Micros::from_millis(tick * 15);
        let expected = plain.spend(&allowance(), BudgetShare::All, now);
        assert_eq!(fair.spend_for(Some(&tenant(0)), &allowance(), BudgetShare::All, now), expected);
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Request,
    Ask(usize),
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![Just(Event::Request), (0usize..6).prop_map(Event::Ask)];
    proptest::collection::vec((0u64..400, event), 1..400)
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), ..Config::default() })]

    /// Guards against exceeding the budget in any window, whichever tenants ask.
    #[test]
    fn the_bound_of_all_holds_whoever_asks(events in events()) {
        let allowance = allowance();
        let mut window = RetryWindow::default();
        let mut now = Micros(0);
        let (mut requests, mut granted) = (Vec::new(), Vec::new());
        for (gap_ms, event) in events {
            now = now.plus(Micros::from_millis(gap_ms));
            match event {
                Event::Request => {
                    window.count_request(&allowance, now);
                    requests.push(now);
                }
                Event::Ask(who) => {
                    if window.spend_for(Some(&tenant(who)), &allowance, BudgetShare::All, now) {
                        granted.push(now);
                        let within = |at: &&Micros| now.since(**at) < allowance.window;
                        let extra = granted.iter().filter(within).count() as f64;
                        // Requests count for one slot longer than the window in which extra calls are
                        // bounded.
                        let longest = Micros(allowance.window.0 * 21 / 20);
                        let earning = requests.iter().filter(|at| now.since(**at) <= longest).count() as f64;
                        prop_assert!(extra <= allowance.ratio * earning + allowance.fixed);
                    }
                }
            }
        }
    }

    /// Guards against denying a tenant with the fewest granted calls while budget is left.
    #[test]
    fn nobody_gives_way_to_who_got_as_much(asks in proptest::collection::vec((0usize..4, 0u64..100), 1..300)) {
        let allowance = allowance();
        let (mut fair, mut total) = (RetryWindow::default(), RetryWindow::default());
        let mut now = Micros(0);
        let mut got = [0u32; 4];
        for (who, gap_ms) in asks {
            now = now.plus(Micros::from_millis(gap_ms));
            // Stays within one window, so that no granted call expires.
            if now >= allowance.window {
                break;
            }
            let granted = fair.spend_for(Some(&tenant(who)), &allowance, BudgetShare::All, now);
            if granted {
                got[who] += 1;
                prop_assert!(total.spend(&allowance, BudgetShare::All, now));
            } else if got[who] == got.iter().copied().min().unwrap_or_default() {
                prop_assert!(!total.clone().spend(&allowance, BudgetShare::All, now));
            }
        }
    }
}
