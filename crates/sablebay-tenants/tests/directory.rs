//! Tests of the lookup of tenants by API key.

use proptest::prelude::*;

use sablebay_model::FleetName;
use sablebay_tenants::{ApiKey, KeyDigest, KeyDigester, Quota, Tenant, TenantDirectory, TenantName};

fn digest(key: &str) -> KeyDigest {
    KeyDigester::new(&FleetName::new("fleet"), Some("secret")).digest(&ApiKey::new(key))
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        keys: keys.iter().map(|key| digest(key)).collect(),
        priority: None,
        quota: Quota::default(),
    }
}

fn name_of(directory: &TenantDirectory, key: &str) -> Option<String> {
    directory.tenant_of(&digest(key)).map(|tenant| tenant.name.to_string())
}

#[test]
fn each_of_a_tenants_keys_stands_for_it() {
    let directory = TenantDirectory::new(&[tenant("a", &["a-1", "a-2"]), tenant("b", &["b-1"])]);
    assert_eq!(name_of(&directory, "a-1").as_deref(), Some("a"));
    assert_eq!(name_of(&directory, "a-2").as_deref(), Some("a"));
    assert_eq!(name_of(&directory, "b-1").as_deref(), Some("b"));
    assert_eq!((directory.keys(), directory.tenants().count()), (3, 2));
}

#[test]
fn what_is_like_a_key_stands_for_nobody() {
    let directory = TenantDirectory::new(&[tenant("a", &["a-1"])]);
    for near in ["", "a", "A-1", "a-1 ", " a-1", "a-1\0", "a-11", "a-1,a-1"] {
        assert_eq!(name_of(&directory, near), None, "{near:?}");
    }
    assert_eq!(name_of(&TenantDirectory::new(&[]), ""), None);
}

/// Guards against attributing a request to the wrong tenant when two tenants share a key, in either
/// order.
#[test]
fn a_key_of_two_tenants_stands_for_neither_and_the_rest_holds() {
    let (a, b) = (tenant("a", &["shared", "a-1"]), tenant("b", &["b-1", "shared"]));
    for tenants in [[a.clone(), b.clone()], [b, a]] {
        let directory = TenantDirectory::new(&tenants);
        assert_eq!(name_of(&directory, "shared"), None);
        assert_eq!(name_of(&directory, "a-1").as_deref(), Some("a"));
        assert_eq!(name_of(&directory, "b-1").as_deref(), Some("b"));
        assert_eq!((directory.keys(), directory.disputed_keys()), (2, 1));
    }
}

#[test]
fn a_key_that_one_tenant_has_twice_is_its_key() {
    let directory = TenantDirectory::new(&[tenant("a", &["a-1", "a-1"])]);
    assert_eq!(name_of(&directory, "a-1").as_deref(), Some("a"));
    assert_eq!(directory.disputed_keys(), 0);
}

#[test]
fn of_two_tenants_of_one_name_the_first_ones_settings_hold() {
    let first = Tenant { priority: Some(0), ..tenant("a", &["a-1"]) };
    let second = Tenant { priority: Some(7), ..tenant("a", &["a-2", "a-1"]) };
    let directory = TenantDirectory::new(&[first, second]);
    for key in ["a-1", "a-2"] {
        let known = directory.tenant_of(&digest(key)).expect("a tenant");
        assert_eq!((known.name.as_str(), known.priority), ("a", Some(0)), "{key}");
    }
    assert_eq!(directory.disputed_keys(), 0);
}

/// Guards against requests that back ends would treat as anonymous.
#[test]
fn a_tenant_whose_name_no_header_carries_has_no_keys() {
    for name in ["", " a", "a\r\nX-Forged: 1", "a\0"] {
        let directory = TenantDirectory::new(&[tenant(name, &["a-1"])]);
        assert_eq!(name_of(&directory, "a-1"), None, "{name:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(16), ..ProptestConfig::default() })]

    /// Compares the directory with a model: a key maps to a tenant only if no other tenant name has
    /// it.
    #[test]
    fn a_key_stands_for_the_only_name_that_has_it(
        entries in proptest::collection::vec((0..5usize, 0..12usize), 0..30),
        rotation in 0..30usize,
    ) {
        let mut tenants: Vec<Tenant> =
            entries.iter().map(|(name, key)| tenant(&format!("t{name}"), &[&format!("k{key}")])).collect();
        let by = rotation.min(tenants.len());
        tenants.rotate_left(by);
        let directory = TenantDirectory::new(&tenants);
        for key in 0..12 {
            let mut names: Vec<usize> = entries.iter().filter(|entry| entry.1 == key).map(|entry| entry.0).collect();
            names.sort_unstable();
            names.dedup();
            let expected = if let [only] = names[..] { Some(format!("t{only}")) } else { None };
            prop_assert_eq!(name_of(&directory, &format!("k{key}")), expected);
        }
    }
}
