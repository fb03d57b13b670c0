//! Measures the fleet; the figures go to standard output as JSON, the progress to standard error.

mod fleet;

use std::process::ExitCode;

mod flags {
    use cicadagw_unit::time::Span;

    xflags::xflags! {
        /// Measures the node program, in processes on this machine.
        cmd measure {
            /// Measures how changes reach the fleet and what that costs, compared with a baseline.
            cmd fleet {
                /// The numbers of nodes to measure, such as 12,24,48,96 (the default).
                optional --sizes sizes: String
                /// The number of changes that are timed (default: 20).
                optional --changes changes: usize
                /// The number of failure domains (default: 4).
                optional --domains domains: usize
                /// The number of regions (default: 2).
                optional --regions regions: usize
                /// The number of services in the configuration (default: 150).
                optional --services services: usize
                /// The time for which usage is measured, once idle and once under changes (default:
                /// 20000ms).
                optional --window window: Span
            }
        }
    }
}

fn main() -> ExitCode {
    let outcome = match flags::Measure::from_env_or_exit().subcommand {
        flags::MeasureCmd::Fleet(flags) => fleet::run(&flags),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            anstream::eprintln!("measure: failed: {error}");
            ExitCode::FAILURE
        }
    }
}
