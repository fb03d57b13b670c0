//! Measures; the figures go to the standard output as JSON, what is done to the standard error.

mod fleet;

use std::process::ExitCode;

mod flags {
    use cicadagw_unit::time::Span;

    xflags::xflags! {
        /// Measures what is shipped, in processes on this machine.
        cmd measure {
            /// Measures how the fleet is kept in step, beside a baseline.
            cmd fleet {
                /// How many nodes there are, size by size, such as 12,24,48,96.
                optional --sizes sizes: String
                /// How many changes are timed.
                optional --changes changes: usize
                /// How many failure domains there are.
                optional --domains domains: usize
                /// How many regions there are.
                optional --regions regions: usize
                /// How many services the configuration has.
                optional --services services: usize
                /// How long nodes are watched, such as 20000ms.
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
