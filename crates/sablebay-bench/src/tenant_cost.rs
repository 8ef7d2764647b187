//! What tenants cost a node: reading them, making their directory, and finding a caller's tenant.

use std::hint::black_box;
use std::time::Duration;

use serde::Serialize;
use serde_json::json;

use sablebay_model::FleetName;
use sablebay_platform::parse_configuration;
use sablebay_tenants::{ApiKey, KeyDigester, TenantDirectory};

use crate::allocation::count_allocations;
use crate::error::BenchError;
use crate::usage::process_cpu_time;

/// Look-ups that are measured together.
const LOOKUPS: usize = 1_000_000;

/// What was measured.
#[derive(Debug, Serialize)]
pub struct TenantCost {
    /// Tenants.
    pub tenants: usize,
    /// Keys of each.
    pub keys_each: usize,
    /// Bytes of the configuration as the operator writes it.
    pub document_bytes: usize,
    /// Processor time to read it and digest its keys, in milliseconds.
    pub read_ms: f64,
    /// Processor time to make the directory, in milliseconds.
    pub build_ms: f64,
    /// Memory that the tenants as read keep, in KB.
    pub tenants_kb: f64,
    /// Memory that the directory keeps, in KB.
    pub directory_kb: f64,
    /// Processor time to digest a caller's key and find its tenant, in nanoseconds.
    pub known_ns: f64,
    /// The same for a key that stands for nobody.
    pub unknown_ns: f64,
}

fn key(tenant: usize, number: usize) -> String {
    format!("key-of-tenant-{tenant:06}-number-{number:02}")
}

/// A configuration of tenants alone.
fn document(tenants: usize, keys_each: usize) -> Vec<u8> {
    let tenant = |tenant: usize| {
        let keys: Vec<String> = (0..keys_each).map(|number| key(tenant, number)).collect();
        json!({"Name": format!("tenant-{tenant}"), "ApiKeys": keys, "RatePerS": 10.0, "Burst": 20.0})
    };
    let tenants: Vec<serde_json::Value> = (0..tenants).map(tenant).collect();
    json!({"Version": 1, "Tenants": tenants}).to_string().into_bytes()
}

/// Measures tenants with some keys each.
///
/// # Errors
/// When the measurement's own document cannot be read, or a look-up finds what it should not.
pub fn measure_tenant_cost(tenants: usize, keys_each: usize) -> Result<TenantCost, BenchError> {
    let digester = KeyDigester::new(&FleetName::new("cost"), Some("secret"));
    let document = document(tenants, keys_each);
    let cpu = process_cpu_time();
    let (read, read_allocated) = count_allocations(|| parse_configuration(&document, &digester));
    let read_time = process_cpu_time() - cpu;
    let configuration = read.map_err(std::io::Error::other)?;
    let known = configuration.tenants.unwrap_or_default();
    let cpu = process_cpu_time();
    let (directory, directory_allocated) = count_allocations(|| TenantDirectory::new(&known));
    let build_time = process_cpu_time() - cpu;
    let find = |name: &dyn Fn(usize) -> String| {
        let keys: Vec<ApiKey> = (0..LOOKUPS.min(tenants)).map(|number| ApiKey::new(name(number))).collect();
        let cpu = process_cpu_time();
        let is_known = |key: &ApiKey| black_box(directory.tenant_of(&digester.digest(key))).is_some();
        let found = keys.iter().cycle().take(LOOKUPS).filter(|key| is_known(key)).count();
        (found, process_cpu_time() - cpu)
    };
    let (found, known_time) = find(&|tenant| key(tenant, tenant % keys_each));
    let (false_matches, unknown_time) = find(&|tenant| key(tenant, keys_each));
    if found != LOOKUPS || false_matches != 0 {
        return Err(std::io::Error::other("a look-up found what it should not").into());
    }
    let each_ns = |time: Duration| time.as_secs_f64() * 1e9 / LOOKUPS as f64;
    Ok(TenantCost {
        tenants,
        keys_each,
        document_bytes: document.len(),
        read_ms: read_time.as_secs_f64() * 1e3,
        build_ms: build_time.as_secs_f64() * 1e3,
        tenants_kb: read_allocated.kept as f64 / 1e3,
        directory_kb: directory_allocated.kept as f64 / 1e3,
        known_ns: each_ns(known_time),
        unknown_ns: each_ns(unknown_time),
    })
}
