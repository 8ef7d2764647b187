//! Tests that no output shows an API key, and that digests depend on the fleet and its secret.

use sablebay_model::FleetName;
use sablebay_tenants::{ApiKey, KeyDigester, Quota, Tenant, TenantDirectory, TenantName};

const KEY: &str = "KEY-wl4o9x-SECRET";

fn digester(fleet: &str, secret: Option<&str>) -> KeyDigester {
    KeyDigester::new(&FleetName::new(fleet), secret)
}

#[test]
fn the_nodes_of_a_fleet_know_a_key_by_the_same_digest() {
    let key = ApiKey::new(KEY);
    assert_eq!(digester("f", Some("s")).digest(&key), digester("f", Some("s")).digest(&key));
}

#[test]
fn digests_differ_by_fleet_secret_and_key() {
    let key = ApiKey::new(KEY);
    let digest = digester("f", Some("s")).digest(&key);
    assert_ne!(digest, digester("g", Some("s")).digest(&key));
    assert_ne!(digest, digester("f", Some("t")).digest(&key));
    assert_ne!(digest, digester("f", None).digest(&key));
    assert_ne!(digest, digester("f", Some("s")).digest(&ApiKey::new(format!("{KEY}x"))));
    // Guards against digests that depend only on the concatenation of fleet name and key.
    assert_ne!(
        digester("f", Some("s")).digest(&ApiKey::new("xk")),
        digester("fx", Some("s")).digest(&ApiKey::new("k"))
    );
}

#[test]
fn no_text_form_shows_a_key_or_its_digest() {
    let key = ApiKey::new(KEY);
    let digest = digester("f", None).digest(&key);
    let tenant = Tenant {
        name: TenantName::new("tenant-a"),
        keys: vec![digest],
        priority: Some(1),
        quota: Quota { rate_per_s: 2.0, burst: 3.0 },
    };
    let directory = TenantDirectory::new(std::slice::from_ref(&tenant));
    let shown = [format!("{key:?}"), format!("{digest:?}"), format!("{tenant:#?}"), format!("{directory:?}")];
    let raw = musli::storage::to_vec(&digest).expect("a digest is encoded");
    let hex: String = raw.iter().map(|byte| format!("{byte:02x}")).collect();
    for text in shown {
        assert!(!text.contains("wl4o9x") && !text.contains("SECRET"), "{text}");
        assert!(!text.contains(&format!("{raw:?}")) && !text.contains(&hex), "{text}");
    }
}

#[test]
fn what_is_kept_of_a_key_does_not_hold_it() {
    let encoded = musli::storage::to_vec(&digester("f", None).digest(&ApiKey::new(KEY))).expect("encoded");
    assert!(!String::from_utf8_lossy(&encoded).contains(KEY));
    assert!(encoded.len() < KEY.len() + 8);
}
