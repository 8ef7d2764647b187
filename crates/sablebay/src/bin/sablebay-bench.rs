//! `sablebay-bench`: emulated search services and experiments on them.

/// The same allocator as in `sablebay`, so that measurements apply to its nodes.
#[global_allocator]
static ALLOCATOR: sablebay_bench::CountingAllocator<mimalloc::MiMalloc> =
    sablebay_bench::CountingAllocator(mimalloc::MiMalloc);

fn main() -> std::process::ExitCode {
    sablebay_bench::run_command_line()
}
