//! Measures the memory, CPU time and size of a configuration, by number of leaves and services.

use std::hint::black_box;

use sablebay_config::{Configuration, Delta};

use crate::allocation::count_allocations;
use crate::error::BenchError;
use crate::usage::process_cpu_time;

const LEAVES_PER_SHARD: usize = 2;
const SHARDS_PER_INDEX: usize = 50;

/// The size of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationSize {
    /// Number of leaves: two per shard, with 50 shards per index.
    pub leaves: usize,
    /// Number of services, spread over the indexes.
    pub services: usize,
}

/// Cost of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationCost {
    /// Memory retained by the configuration.
    pub memory_bytes: f64,
    /// Peak memory while the platform's text is read, retained memory included.
    pub read_peak_bytes: f64,
    /// Peak memory while a text that differs in one service is read with the configuration in force as
    /// its base, excluding the memory of the base.
    pub reread_peak_bytes: f64,
    /// Peak memory while the configuration is built from a peer's document, excluding its entries.
    pub join_peak_bytes: f64,
    /// Bytes of names and bodies in the document.
    pub document_bytes: f64,
    /// CPU time to read and validate the document.
    pub read_us: f64,
    /// CPU time to apply a delta that touches one service.
    pub delta_us: f64,
    /// Size of that delta.
    pub delta_bytes: f64,
}

/// Generates a configuration document of the given size. `deadline_ms` applies to the first service.
pub fn configuration_text(size: ConfigurationSize, revision: u64, deadline_ms: u64) -> String {
    let indexes = (size.leaves / LEAVES_PER_SHARD / SHARDS_PER_INDEX).max(1);
    let mut text = format!("revision = {revision}\n[templates.t]\nreplicas = 2\n");
    for service in 0..size.services {
        let (index, deadline) = (service % indexes, if service == 0 { deadline_ms } else { 300 });
        text.push_str(&format!(
            "[instances.service-{service}]\ntemplate = \"t\"\nindex = \"i{index}\"\ndeadline_ms = {deadline}\n"
        ));
    }
    for index in 0..indexes {
        text.push_str(&format!("[indexes.i{index}]\npartitions = {SHARDS_PER_INDEX}\n"));
        for shard in 0..SHARDS_PER_INDEX {
            let first = (index * SHARDS_PER_INDEX + shard) * LEAVES_PER_SHARD;
            text.push_str(&format!(
                "[[indexes.i{index}.shards]]\npartitions = \"{shard}\"\nleaves = [\"leaf-{first}\", \"leaf-{}\"]\n",
                first + 1
            ));
        }
    }
    for leaf in 0..indexes * SHARDS_PER_INDEX * LEAVES_PER_SHARD {
        text.push_str(&format!(
            "[leaves.leaf-{leaf}]\naddress = \"10.{}.{}.{}:9000\"\nzone = \"zone-{}\"\nslots = 4\n",
            leaf / 65_536,
            leaf / 256 % 256,
            leaf % 256,
            leaf % 13
        ));
    }
    text
}

/// Measures the cost of a configuration of one size.
///
/// # Errors
/// When a generated document is invalid.
pub fn measure_configuration(size: ConfigurationSize) -> Result<ConfigurationCost, BenchError> {
    const DELTAS: usize = 10;
    let text = configuration_text(size, 1, 300);
    let cpu = process_cpu_time();
    let (configuration, allocated) = count_allocations(|| Configuration::parse("capacity", &text));
    let read = process_cpu_time() - cpu;
    let configuration = configuration?;
    let changed = configuration_text(size, 2, 301);
    let base = &configuration.document;
    let (next, reread) = count_allocations(|| Configuration::parse_with_base("capacity", &changed, base));
    let next = next?;
    let sent = (*configuration.document).clone();
    let (joined, joining) = count_allocations(|| Configuration::from_document(sent));
    black_box(joined?);
    let delta: Delta = configuration.document.delta_to(&next.document);
    let cpu = process_cpu_time();
    for _ in 0..DELTAS {
        black_box(configuration.apply(&delta)?);
    }
    let apply = process_cpu_time() - cpu;
    Ok(ConfigurationCost {
        memory_bytes: allocated.kept as f64,
        read_peak_bytes: allocated.peak as f64,
        reread_peak_bytes: reread.peak as f64,
        join_peak_bytes: joining.peak as f64,
        document_bytes: configuration.document.content_bytes() as f64,
        read_us: read.as_secs_f64() * 1e6,
        delta_us: apply.as_secs_f64() * 1e6 / DELTAS as f64,
        delta_bytes: delta.content_bytes() as f64,
    })
}

/// Cost of a configuration in total, per leaf and per service.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationSlopes {
    /// Total cost at the largest measured size.
    pub largest: ConfigurationCost,
    /// Additional cost of each leaf.
    pub per_leaf: ConfigurationCost,
    /// Additional cost of each service.
    pub per_service: ConfigurationCost,
}

/// Measures the cost per leaf and per service, by comparing `largest` with a configuration that has a
/// tenth of its leaves or of its services.
///
/// # Errors
/// As [`measure_configuration`].
pub fn measure_slopes(largest: ConfigurationSize) -> Result<ConfigurationSlopes, BenchError> {
    const PART: usize = 10;
    let total = measure_configuration(largest)?;
    let fewer_leaves = ConfigurationSize { leaves: largest.leaves / PART, ..largest };
    let fewer_services = ConfigurationSize { services: largest.services / PART, ..largest };
    let slope = |smaller: ConfigurationCost, added: usize| {
        let each = |of: fn(&ConfigurationCost) -> f64| (of(&total) - of(&smaller)) / added as f64;
        ConfigurationCost {
            memory_bytes: each(|cost| cost.memory_bytes),
            read_peak_bytes: each(|cost| cost.read_peak_bytes),
            reread_peak_bytes: each(|cost| cost.reread_peak_bytes),
            join_peak_bytes: each(|cost| cost.join_peak_bytes),
            document_bytes: each(|cost| cost.document_bytes),
            read_us: each(|cost| cost.read_us),
            delta_us: each(|cost| cost.delta_us),
            delta_bytes: each(|cost| cost.delta_bytes),
        }
    };
    Ok(ConfigurationSlopes {
        largest: total,
        per_leaf: slope(measure_configuration(fewer_leaves)?, largest.leaves - fewer_leaves.leaves),
        per_service: slope(
            measure_configuration(fewer_services)?,
            largest.services - fewer_services.services,
        ),
    })
}
