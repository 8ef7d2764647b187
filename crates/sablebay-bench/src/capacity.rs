//! The slopes behind `docs/CAPACITY.md`, and its table.

mod slopes;
mod table;

use crate::error::BenchError;

pub use table::CapacityTable;

/// Measures every slope and computes the table.
pub async fn measure_capacity() -> Result<CapacityTable, BenchError> {
    let slopes = slopes::measure().await?;
    Ok(table::compute(slopes))
}
