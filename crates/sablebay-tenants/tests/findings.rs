//! Tests of tenant validation. Errors identify keys by position and never show their text.

use sablebay_tenants::{ApiKey, TenantDraft, TenantFinding, TenantName, check_tenants};

fn draft(name: &str, keys: &[&str]) -> TenantDraft {
    TenantDraft {
        name: TenantName::new(name),
        keys: keys.iter().map(ApiKey::new).collect(),
        rate_per_s: 5.0,
        burst: 0.0,
    }
}

#[test]
fn right_tenants_are_fine() {
    assert_eq!(
        check_tenants(&[draft("a", &["a 1", "a-2", "a-2"]), draft("b", &["b,1"]), draft("c", &[])]),
        []
    );
}

#[test]
fn a_key_of_two_tenants_is_named_by_its_place() {
    let findings = check_tenants(&[draft("a", &["x", "shared-SECRET"]), draft("b", &["shared-SECRET"])]);
    let (name, other) = (TenantName::new("b"), TenantName::new("a"));
    assert_eq!(findings, [TenantFinding::SharedKey { name, key: 1, other }]);
    let text = findings[0].to_string();
    assert_eq!(text, "tenant b: its key 1 is a key of tenant a too; it stands for neither");
    assert!(!format!("{findings:?}{text}").contains("SECRET"));
}

#[test]
fn names_and_keys_that_no_header_carries_are_found() {
    let findings =
        check_tenants(&[draft("", &[]), draft("a", &["ok", "", "x\r\ny", " led"]), draft("a", &[])]);
    let name = || TenantName::new("a");
    assert_eq!(
        findings,
        [
            TenantFinding::Name { position: 1 },
            TenantFinding::Key { name: name(), key: 2 },
            TenantFinding::Key { name: name(), key: 3 },
            TenantFinding::Key { name: name(), key: 4 },
            TenantFinding::SameName { name: name() },
        ]
    );
}

#[test]
fn amounts_that_are_none_are_found() {
    for wrong in [-0.5, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        let name = || TenantName::new("a");
        let rate = TenantDraft { rate_per_s: wrong, ..draft("a", &[]) };
        assert_eq!(check_tenants(&[rate]), [TenantFinding::Rate { name: name() }]);
        let burst = TenantDraft { burst: wrong, ..draft("a", &[]) };
        assert_eq!(check_tenants(&[burst]), [TenantFinding::Burst { name: name() }]);
    }
}
