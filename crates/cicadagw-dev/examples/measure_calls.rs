//! Measures calls over real processes on this machine.

use std::io;
use std::process::ExitCode;

use cicadagw_dev::measure::calls::{Part, Scale, run};
use cicadagw_unit::time::Span;

mod flags {
    use cicadagw_dev::measure::calls::Part;
    use cicadagw_unit::time::Span;

    xflags::xflags! {
        /// Measures calls over real processes; the figures go to standard output as JSON, the progress to
        /// standard error.
        cmd measure-calls {
            /// The parts to measure: latency, overload, changes or memory (default: all).
            repeated parts: Part
            /// The time for which calls of each load are sent, such as 10000ms (the default).
            optional --span span: Span
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::MeasureCalls::from_env_or_exit();
    match measure(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            anstream::eprintln!("measure: failed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(flags: &flags::MeasureCalls) -> io::Result<()> {
    let parts = match &flags.parts[..] {
        [] => &Part::ALL[..],
        parts => parts,
    };
    let span = flags.span.unwrap_or(Span::seconds(10));
    let figures = run(parts, Scale { span })?;
    anstream::println!("{}", serde_json::to_string_pretty(&figures)?);
    Ok(())
}
