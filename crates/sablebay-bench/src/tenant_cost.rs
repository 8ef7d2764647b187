//! Measures the cost of reading tenants, building their directory and looking up a caller's tenant.

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

/// Number of lookups per measurement.
const LOOKUPS: usize = 1_000_000;

/// Cost of tenants.
#[derive(Debug, Serialize)]
pub struct TenantCost {
    /// Number of tenants.
    pub tenants: usize,
    /// Number of keys per tenant.
    pub keys_each: usize,
    /// Size of the configuration document.
    pub document_bytes: usize,
    /// CPU time to read the document and digest its keys, in milliseconds.
    pub read_ms: f64,
    /// CPU time to build the directory, in milliseconds.
    pub build_ms: f64,
    /// Memory retained by the parsed tenants, in KB.
    pub tenants_kb: f64,
    /// Memory retained by the directory, in KB.
    pub directory_kb: f64,
    /// CPU time to digest a known key and look up its tenant, in nanoseconds.
    pub known_ns: f64,
    /// CPU time to digest an unknown key and look it up, in nanoseconds.
    pub unknown_ns: f64,
}

fn key(tenant: usize, number: usize) -> String {
    format!("key-of-tenant-{tenant:06}-number-{number:02}")
}

/// Generates a configuration that contains only tenants.
fn document(tenants: usize, keys_each: usize) -> Vec<u8> {
    let tenant = |tenant: usize| {
        let keys: Vec<String> = (0..keys_each).map(|number| key(tenant, number)).collect();
        json!({"Name": format!("tenant-{tenant}"), "ApiKeys": keys, "RatePerS": 10.0, "Burst": 20.0})
    };
    let tenants: Vec<serde_json::Value> = (0..tenants).map(tenant).collect();
    json!({"Version": 1, "Tenants": tenants}).to_string().into_bytes()
}

/// Measures the cost of `tenants` tenants with `keys_each` keys each.
///
/// # Errors
/// When the generated document is invalid, a known key is not found or an unknown key is found.
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
        return Err(std::io::Error::other("key lookup returned an incorrect result").into());
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
