//! Unit tests of quota accounting.

use sablebay_model::{Micros, NodeId};
use sablebay_tenants::quota::{
    AccountEvent, AccountId, Accounts, Arrival, OwnerStatus, QuotaGrant, QuotaRequest, QuotaRequester,
    QuotaRule, ReturnedTokens, SeedPlace, TokenBucket, UnresponsiveNodes, WindowCount, allowance_by_uptime,
    local_allowance, retry_after,
};
use sablebay_tenants::{Quota, TenantName};

const RULE: QuotaRule = QuotaRule { window: Micros::from_secs(5), overage: 0.25, slack: 20.0 };
const QUOTA: Quota = Quota { rate_per_s: 10.0, burst: 10.0 };
const START: Micros = Micros::from_secs(3_600);
const FIRST: OwnerStatus = OwnerStatus { is_first: true, share: 1.0, running_for: Micros::from_secs(600) };
const STANDBY: OwnerStatus = OwnerStatus { is_first: false, ..FIRST };

fn at(milliseconds: u64) -> Micros {
    START.plus(Micros::from_millis(milliseconds))
}

fn question(wanted: u32) -> QuotaRequest {
    QuotaRequest {
        tenant: TenantName::new("tenant"),
        version: 1,
        quota: QUOTA,
        wanted,
        lenders: Vec::new(),
        returned: None,
        starting: false,
    }
}

fn ask(
    accounts: &mut Accounts,
    question: &QuotaRequest,
    owner_status: &OwnerStatus,
    now: Micros,
) -> QuotaGrant {
    accounts.answer(question, None, &RULE, owner_status, now).0
}

/// Returns an account that has been idle until full.
fn full_account() -> Accounts {
    let mut accounts = Accounts::new(1);
    ask(&mut accounts, &question(1), &FIRST, at(0));
    ask(&mut accounts, &question(0), &FIRST, at(60_000));
    accounts
}

#[test]
fn a_bucket_lends_whole_tokens_and_says_when_the_next_comes() {
    let mut bucket = TokenBucket::new(2.5, at(0));
    assert_eq!(bucket.take(5), 2);
    assert_eq!(bucket.next_token_in(10.0), Micros::from_millis(50));
    bucket.refill(10.0, 4.0, at(50));
    assert_eq!(bucket.take(1), 1);
    bucket.refill(10.0, 4.0, at(10_000));
    assert_eq!(bucket.take(9), 4, "refill stops at the capacity");
    assert_eq!(TokenBucket::new(0.0, at(0)).next_token_in(0.0), Micros::MAX);
}

#[test]
fn a_bucket_is_not_refilled_by_a_clock_that_is_behind() {
    let mut bucket = TokenBucket::new(0.0, at(1_000));
    bucket.refill(10.0, 4.0, at(500));
    bucket.refill(10.0, 4.0, at(1_000));
    assert_eq!(bucket.take(1), 0);
}

#[test]
fn a_window_counts_what_passed_in_it() {
    let mut count = WindowCount::default();
    assert_eq!(count.take(3, RULE.window, 2, at(0)), 2);
    assert_eq!(count.take(3, RULE.window, 2, at(4_999)), 1);
    assert_eq!(count.next_leave_in(RULE.window, at(4_999)), Micros::from_millis(1));
    assert_eq!(count.take(3, RULE.window, 9, at(5_000)), 2);
}

#[test]
fn own_parts_are_whole_requests_and_sum_up_to_no_more_than_all() {
    for (all, nodes) in [(0.9, 3), (7.9, 3), (5.0, 77), (160.0, 77), (3.0, 1)] {
        let sum: u32 = (0..nodes).map(|place| local_allowance(all, nodes, Some(place))).sum();
        assert_eq!(sum, all as u32, "{all} over {nodes}");
    }
    assert_eq!(local_allowance(5.0, 77, Some(4)), 1);
    assert_eq!(local_allowance(5.0, 77, Some(5)), 0);
    assert_eq!(local_allowance(5.0, 77, None), 0, "a node without a place gets no remainder");
}

#[test]
fn requests_that_come_while_a_question_is_on_its_way_share_the_next() {
    let mut asker = QuotaRequester::default();
    assert_eq!(asker.arrive('a', at(0)), Arrival::Ask(vec!['a']));
    assert_eq!(asker.arrive('b', at(1)), Arrival::Queued);
    assert_eq!(asker.arrive('c', at(1)), Arrival::Queued);
    assert_eq!(asker.answered(Micros::default(), at(2)), vec!['b', 'c']);
    assert!(asker.is_asking());
    assert_eq!(asker.answered(Micros::default(), at(3)), Vec::<char>::new());
    assert!(!asker.is_asking());
}

#[test]
fn while_an_account_is_known_to_be_empty_nothing_is_asked() {
    let mut asker = QuotaRequester::default();
    assert_eq!(asker.arrive('a', at(0)), Arrival::Ask(vec!['a']));
    assert_eq!(asker.arrive('b', at(1)), Arrival::Queued);
    assert_eq!(
        asker.answered(Micros::from_millis(100), at(2)),
        vec!['b'],
        "the queued request is refused as well"
    );
    assert!(!asker.is_asking());
    assert_eq!(asker.arrive('c', at(52)), Arrival::Refused('c', Micros::from_millis(50)));
    assert_eq!(asker.arrive('d', at(102)), Arrival::Ask(vec!['d']));
}

#[test]
fn a_long_refusal_is_looked_at_again_within_a_second() {
    let mut asker = QuotaRequester::default();
    asker.arrive('a', at(0));
    asker.answered(Micros::MAX, at(0));
    assert_eq!(asker.arrive('b', at(1_000)), Arrival::Ask(vec!['b']));
}

#[test]
fn refused_callers_come_back_spread_out() {
    let empty_for = Micros::from_millis(300);
    assert_eq!(retry_after(empty_for, RULE.window, 0.0), empty_for);
    assert!(retry_after(empty_for, RULE.window, 0.9) > empty_for);
    assert!(retry_after(Micros::MAX, RULE.window, 0.5) <= RULE.window.plus(Micros::from_secs(1)));
}

#[test]
fn tokens_come_back_to_the_account_that_lent_them_and_not_late() {
    let mut accounts = full_account();
    let lent = ask(&mut accounts, &question(100), &FIRST, at(60_000));
    let back =
        |account, tokens| QuotaRequest { returned: Some(ReturnedTokens { account, tokens }), ..question(3) };
    let other = AccountId(lent.account.0 + 1);
    assert_eq!(ask(&mut accounts, &back(other, 3), &FIRST, at(60_000)).granted, 0);
    assert_eq!(ask(&mut accounts, &back(lent.account, 3), &FIRST, at(60_000)).granted, 3);
    let mut asker = QuotaRequester::<char>::default();
    asker.give_back(lent.account, at(0), at(600));
    assert_eq!(asker.take_returned(at(600)), None, "the token was lent too long ago");
    asker.give_back(lent.account, at(600), at(700));
    asker.give_back(lent.account, at(600), at(700));
    assert_eq!(asker.take_returned(at(800)), Some(ReturnedTokens { account: lent.account, tokens: 2 }));
    assert_eq!(asker.take_returned(at(800)), None);
}

#[test]
fn a_full_account_lends_the_burst_and_then_the_rate() {
    let mut accounts = full_account();
    let burst = ask(&mut accounts, &question(1_000), &FIRST, at(60_000));
    assert_eq!(burst.granted, RULE.capacity(&QUOTA) as u32);
    assert!(burst.empty_for > Micros::default());
    let second = ask(&mut accounts, &question(1_000), &FIRST, at(61_000));
    assert_eq!(second.granted, 10);
}

#[test]
fn a_tenant_that_never_pauses_gets_the_burst_of_each_window_evenly() {
    let mut accounts = full_account();
    let granted = |accounts: &mut Accounts, from: u64, to: u64| -> u32 {
        (from..to).step_by(20).map(|ms| ask(accounts, &question(100), &FIRST, at(ms)).granted).sum()
    };
    granted(&mut accounts, 60_000, 65_100);
    let window = granted(&mut accounts, 65_100, 70_100);
    assert!((58..=61).contains(&window), "{window} in a window of 60");
}

#[test]
fn an_account_that_is_begun_anew_lends_its_part_of_the_overage_and_the_rate() {
    let mut accounts = Accounts::new(1);
    let (grant, event) = accounts.answer(&question(1_000), None, &RULE, &FIRST, at(0));
    assert_eq!(event, AccountEvent::Created);
    let begun_with = RULE.takeover_tokens(&QUOTA).min(RULE.capacity(&QUOTA));
    assert_eq!(grant.granted, begun_with as u32);
    assert_eq!(ask(&mut accounts, &question(1_000), &FIRST, at(1_000)).granted, 10);
}

#[test]
fn an_owner_that_has_just_started_lends_less() {
    let young = OwnerStatus { running_for: Micros::from_millis(100), ..FIRST };
    assert_eq!(ask(&mut Accounts::new(1), &question(1_000), &young, at(0)).granted, 1);
    let older = OwnerStatus { running_for: Micros::from_secs(4), ..FIRST };
    let granted = ask(&mut Accounts::new(1), &question(1_000), &older, at(0)).granted;
    assert_eq!(granted, RULE.restart_tokens(&QUOTA) as u32);
}

#[test]
fn who_stands_in_lends_a_part_of_the_overage_in_each_window() {
    let mut accounts = Accounts::new(1);
    let (grant, event) = accounts.answer(&question(1_000), None, &RULE, &STANDBY, at(0));
    assert_eq!(event, AccountEvent::CreatedByStandby);
    assert!(grant.from_standby);
    assert_eq!(grant.granted, RULE.takeover_tokens(&QUOTA) as u32);
    assert_eq!(ask(&mut accounts, &question(9), &STANDBY, at(4_900)).granted, 0);
    let first = ask(&mut accounts, &question(9), &FIRST, at(4_950));
    assert_eq!(first.granted, 0, "tokens lent as standby count after a takeover");
    assert!(
        ask(&mut accounts, &question(9), &FIRST, at(5_950)).granted >= 9,
        "then it lends at the full rate"
    );
}

#[test]
fn an_owner_that_hands_over_lends_nothing_for_a_window() {
    let mut accounts = full_account();
    assert_eq!(ask(&mut accounts, &question(1), &STANDBY, at(60_000)).granted, 0);
    assert_eq!(ask(&mut accounts, &question(1), &STANDBY, at(64_900)).granted, 0);
    assert_eq!(ask(&mut accounts, &question(1), &STANDBY, at(65_000)).granted, 1);
}

#[test]
fn the_second_change_of_the_owner_in_a_window_lends_less() {
    let after_two = QuotaRequest { lenders: vec![AccountId(90), AccountId(91)], ..question(1_000) };
    let granted = ask(&mut Accounts::new(1), &after_two, &FIRST, at(0)).granted;
    assert!(f64::from(granted) <= RULE.takeover_tokens(&QUOTA) / 3.0, "{granted}");
    let granted = ask(&mut Accounts::new(1), &after_two, &STANDBY, at(0)).granted;
    assert!(f64::from(granted) <= RULE.takeover_tokens(&QUOTA) / 3.0, "{granted}");
}

#[test]
fn both_parts_of_a_cut_fleet_lend_the_rate_together() {
    let half = OwnerStatus { share: 0.5, ..FIRST };
    let mut accounts = Accounts::new(1);
    ask(&mut accounts, &question(1_000), &half, at(0));
    assert_eq!(ask(&mut accounts, &question(1_000), &half, at(1_000)).granted, 5);
}

#[test]
fn the_newer_limit_of_asker_and_owner_counts() {
    let lowered = Quota { rate_per_s: 1.0, burst: 1.0 };
    let mut accounts = full_account();
    let newer = QuotaRequest { version: 2, quota: lowered, ..question(1_000) };
    let granted = ask(&mut accounts, &newer, &FIRST, at(60_000)).granted;
    assert_eq!(granted, RULE.capacity(&lowered) as u32);
    ask(&mut accounts, &question(1_000), &FIRST, at(60_000));
    assert_eq!(
        ask(&mut accounts, &question(1_000), &FIRST, at(62_000)).granted,
        2,
        "an older request does not raise the limit"
    );
    let mut accounts = full_account();
    let known = Some((3, lowered));
    let granted = accounts.answer(&question(1_000), known, &RULE, &FIRST, at(60_000)).0.granted;
    assert_eq!(granted, RULE.capacity(&lowered) as u32, "the owner knows a newer limit");
}

#[test]
fn a_limit_that_was_taken_away_refuses_nothing() {
    let mut accounts = full_account();
    let unlimited = QuotaRequest { version: 2, quota: Quota::default(), ..question(1_000) };
    assert_eq!(ask(&mut accounts, &unlimited, &FIRST, at(60_000)).granted, 1_000);
}

#[test]
fn accounts_of_tenants_that_come_and_go_are_bounded() {
    let mut accounts = Accounts::new(1);
    for number in 0..10_000 {
        let asked = QuotaRequest { tenant: TenantName::new(format!("tenant-{number}")), ..question(1) };
        ask(&mut accounts, &asked, &FIRST, at(number));
    }
    assert!(accounts.len() <= 4_096);
}

#[test]
fn a_silent_owner_is_asked_again_after_a_second() {
    let mut silent = UnresponsiveNodes::for_owners();
    let owner = NodeId::new("node-1");
    assert!(silent.may_ask(&owner, at(0)));
    assert!(silent.note(owner.clone(), at(0)));
    assert!(!silent.note(owner.clone(), at(10)), "a repeated timeout is not new");
    assert!(!silent.may_ask(&owner, at(900)));
    assert!(silent.may_ask(&owner, at(1_010)));
}

#[test]
fn a_tenant_is_forgotten_only_after_the_window_of_what_it_did() {
    let (window, account) = (RULE.window, AccountId(7));
    let mut lent = QuotaRequester::<u32>::default();
    lent.note_lender(account, at(0));
    assert!(!lent.is_idle(window, at(4_999)));
    assert!(lent.is_idle(window, at(5_000)));
    let mut returned = QuotaRequester::<u32>::default();
    returned.give_back(account, at(0), at(10));
    assert!(!returned.is_idle(window, at(60_000)));
}

#[test]
fn after_a_lost_question_the_next_request_asks_anew() {
    let mut asker = QuotaRequester::default();
    assert_eq!(asker.arrive(1, at(0)), Arrival::Ask(vec![1]));
    assert_eq!(asker.arrive(2, at(1)), Arrival::Queued);
    assert_eq!(asker.lost(), [2]);
    assert_eq!(asker.arrive(3, at(2)), Arrival::Ask(vec![3]));
}

#[test]
fn a_repeated_takeover_is_forgotten_with_its_window() {
    let mut accounts = Accounts::new(1);
    let lenders = vec![AccountId(91), AccountId(92)];
    let repeated = QuotaRequest { lenders, ..question(1) };
    ask(&mut accounts, &repeated, &FIRST, at(0));
    let within_window = ask(&mut accounts, &question(1_000), &STANDBY, at(4_000)).granted;
    let mut later = Accounts::new(1);
    ask(&mut later, &repeated, &STANDBY, at(0));
    let after_window = ask(&mut later, &question(1_000), &STANDBY, at(60_000)).granted;
    assert!(after_window > within_window, "{after_window} after the window, {within_window} within");
}

#[test]
fn a_node_that_has_just_started_or_stood_still_has_no_part_of_its_own() {
    let window = RULE.window;
    let part = |awake_ms| allowance_by_uptime(7, Micros::from_millis(awake_ms), window);
    assert_eq!([part(0), part(999), part(4_999), part(5_000)], [0, 0, 0, 7]);
}

/// Guards against seeds that lend more than their limit after a restart of the whole fleet.
#[test]
fn what_seeds_lend_to_nodes_that_have_just_started_is_within_their_part() {
    for seeds in 1..=3 {
        let mut lent = 0;
        for place in 0..seeds {
            let mut accounts = Accounts::new(1);
            let place = Some(SeedPlace { place, seeds });
            for asker in 0..200 {
                let asked = QuotaRequest { starting: true, ..question(1) };
                lent += accounts.answer_starting(&asked, None, &RULE, place, at(asker)).granted;
            }
        }
        assert_eq!(lent, RULE.starting_tokens(&QUOTA) as u32, "{seeds} seeds");
    }
}

#[test]
fn a_seed_that_knows_the_fleet_neither_lends_nor_refuses() {
    let asked = QuotaRequest { starting: true, ..question(3) };
    let grant = Accounts::new(1).answer_starting(&asked, None, &RULE, None, at(0));
    assert_eq!((grant.granted, grant.empty_for), (0, Micros::default()));
}
