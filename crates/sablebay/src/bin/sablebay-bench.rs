//! `sablebay-bench`: the emulator of what sablebay serves, and its experiments.

fn main() -> std::process::ExitCode {
    sablebay_bench::run_command_line()
}
