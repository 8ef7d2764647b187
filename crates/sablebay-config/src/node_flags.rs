//! Node settings given as command-line flags.

/// Settings whose value is a text.
const TEXT_FLAGS: [&str; 14] = [
    "node",
    "zone",
    "region",
    "fleet",
    "fleet-key",
    "caller-address",
    "admin-address",
    "peer-address",
    "advertised-peer-address",
    "platform-address",
    "operator-token",
    "log-level",
    "log-format",
    "log-target",
];
/// Settings whose value is a number.
const NUMBER_FLAGS: [&str; 5] = [
    "concurrency",
    "stop-timeout-ms",
    "probe-period-ms",
    "platform-reads-per-second",
    "aggregators-per-service",
];
/// The setting that may be given several times.
const LIST_FLAG: &str = "peers";

/// The flags, without their dashes.
pub fn node_flags() -> Vec<&'static str> {
    let all = TEXT_FLAGS.iter().chain(&NUMBER_FLAGS).chain(std::iter::once(&LIST_FLAG));
    all.copied().collect()
}

/// The overrides of settings that some flags ask for: each key, and its value in TOML.
///
/// A flag given twice counts with its last value, except `peers`, which makes a list. Flags that
/// are no settings are left out.
pub fn overrides_from_flags(given: &[(String, String)]) -> Vec<(String, String)> {
    let mut overrides: Vec<(String, String)> = Vec::new();
    let mut peers = Vec::new();
    for (flag, value) in given {
        let quoted = toml::Value::String(value.clone());
        if flag == LIST_FLAG {
            peers.push(quoted);
            continue;
        }
        let in_toml = if TEXT_FLAGS.contains(&flag.as_str()) {
            quoted.to_string()
        } else if NUMBER_FLAGS.contains(&flag.as_str()) {
            value.clone()
        } else {
            continue;
        };
        let key = flag.replace('-', "_");
        overrides.retain(|(known, _)| *known != key);
        overrides.push((key, in_toml));
    }
    if !peers.is_empty() {
        overrides.push((LIST_FLAG.to_string(), toml::Value::Array(peers).to_string()));
    }
    overrides
}
