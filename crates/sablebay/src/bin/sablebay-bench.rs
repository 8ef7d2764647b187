//! `sablebay-bench`: the emulator of what sablebay serves, and its experiments.

/// The product's allocator, so that what is measured here is what runs there.
#[global_allocator]
static ALLOCATOR: sablebay_bench::CountingAllocator<mimalloc::MiMalloc> =
    sablebay_bench::CountingAllocator(mimalloc::MiMalloc);

fn main() -> std::process::ExitCode {
    sablebay_bench::run_command_line()
}
