//! Slopes (costs per unit of load or size) behind `docs/CAPACITY.md`, and the table computed from them.

mod slopes;
mod table;

use crate::error::BenchError;

pub use table::CapacityTable;

/// Measures the slopes and computes the capacity table.
pub async fn measure_capacity() -> Result<CapacityTable, BenchError> {
    let slopes = slopes::measure().await?;
    Ok(table::compute(slopes))
}
