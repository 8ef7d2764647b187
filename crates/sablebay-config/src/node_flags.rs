//! Node settings as command-line flags.

/// Flags with a string value.
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
/// Flags with a numeric value.
const NUMBER_FLAGS: [&str; 7] = [
    "concurrency",
    "memory-mb",
    "descriptors",
    "stop-timeout-ms",
    "probe-period-ms",
    "platform-reads-per-second",
    "aggregators-per-service",
];
/// Flag that may be repeated.
const LIST_FLAG: &str = "peers";

/// Returns the names of all flags, without leading dashes.
pub fn node_flags() -> Vec<&'static str> {
    let all = TEXT_FLAGS.iter().chain(&NUMBER_FLAGS).chain(std::iter::once(&LIST_FLAG));
    all.copied().collect()
}

/// Converts flags to setting overrides: pairs of a key and its value in TOML.
///
/// The last value of a repeated flag applies, except that `peers` forms a list. Ignores flags that are
/// not settings.
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
