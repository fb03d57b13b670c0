//! `cicadactl`, the command line of operators.

mod flags;

use std::process::ExitCode;

use cicadactl::admin::Admin;
use cicadactl::follow::Follower;
use cicadactl::{Exit, Failure, Output, change, file, show};
use cicadagw_accept::{Intent, Request};
use cicadagw_platform::http::Client;
use cicadagw_unit::id;
use cicadagw_unit::time::Span;
use miette::Diagnostic;

use flags::{Cicadactl, CicadactlCmd, PresetCmd, Status};

/// How long `status --wait` waits without `--timeout`.
const WAIT_TIMEOUT_DEFAULT: Span = Span::seconds(10);

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some("--version") {
        anstream::println!("cicadactl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = match Cicadactl::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => error.exit(),
        Err(error) => {
            let help = "`cicadactl --help` shows the commands and their flags";
            report(&usage(&error.to_string(), help), false);
            return ExitCode::from(Exit::Usage.code());
        }
    };
    let exit = match actix::System::new().block_on(execute(&flags)) {
        Ok(output) => {
            print(&output, flags.json);
            Exit::Ok
        }
        Err(failure) => {
            let exit = failure.exit;
            report(&failure, flags.json);
            exit
        }
    };
    ExitCode::from(exit.code())
}

/// Runs the subcommand.
async fn execute(flags: &Cicadactl) -> Result<Output, Failure> {
    match &flags.subcommand {
        CicadactlCmd::Check(check) => file::check(&check.file),
        CicadactlCmd::Apply(apply) => {
            let intent = Intent::Apply {
                config: Box::new(file::read(&apply.file)?),
                preset: apply.preset.clone(),
            };
            let mut request = request(flags, intent, apply.change.clone())?;
            request.base = apply.base;
            request.trial = apply.dry_run;
            change::apply(&platform(flags)?, request).await
        }
        CicadactlCmd::Diff(diff) => show::difference(&platform(flags)?, &diff.file).await,
        CicadactlCmd::Get(get) => show::config(&platform(flags)?, get.reveal).await,
        CicadactlCmd::Preset(preset) => match &preset.subcommand {
            PresetCmd::List(_) => show::presets(&platform(flags)?).await,
            PresetCmd::Use(chosen) => {
                let intent = Intent::Preset(chosen.name.clone());
                let request = request(flags, intent, chosen.change.clone())?;
                change::activate(&platform(flags)?, request).await
            }
        },
        CicadactlCmd::History(_) => show::history(&platform(flags)?).await,
        CicadactlCmd::Rollback(rollback) => {
            let intent = Intent::Rollback(rollback.version);
            let request = request(flags, intent, rollback.change.clone())?;
            change::activate(&platform(flags)?, request).await
        }
        CicadactlCmd::Status(status) => follow(flags, status).await,
        CicadactlCmd::Dump(dump) => admin(dump.address, dump.token.as_ref()).dump().await,
        CicadactlCmd::Nodes(nodes) => admin(nodes.address, nodes.token.as_ref()).nodes().await,
        CicadactlCmd::Endpoints(endpoints) => {
            admin(endpoints.address, endpoints.token.as_ref())
                .endpoints()
                .await
        }
    }
}

/// Runs `status`, once or with `--watch` or `--wait`.
async fn follow(flags: &Cicadactl, status: &Status) -> Result<Output, Failure> {
    if status.timeout.is_some() && status.wait.is_none() {
        return Err(usage(
            "--timeout needs --wait",
            "give --wait VERSION as well",
        ));
    }
    let store = platform(flags)?;
    let mut follower = Follower::new(&store);
    match (status.wait, status.watch) {
        (Some(version), false) => {
            let timeout = status.timeout.unwrap_or(WAIT_TIMEOUT_DEFAULT);
            let progress = |line: &str| anstream::eprintln!("{line}");
            follower.wait(version, timeout, progress).await
        }
        (None, true) => {
            let progress = |outcome: &Result<Output, Failure>| match outcome {
                Ok(output) => print(output, flags.json),
                Err(failure) => anstream::eprintln!("{failure}"),
            };
            follower.watch(progress).await
        }
        (None, false) => follower.once().await,
        (Some(_), true) => Err(usage(
            "--watch and --wait exclude each other",
            "give one of them",
        )),
    }
}

/// Returns the client of the platform.
fn platform(flags: &Cicadactl) -> Result<Client, Failure> {
    if flags.platform.is_empty() {
        let help = "give the address of the platform, such as --platform 127.0.0.1:7000";
        return Err(usage("--platform is missing", help));
    }
    Ok(Client::builder()
        .addresses(&flags.platform)
        .agent("cicadactl")
        .build())
}

/// Returns the request for a change. A new change id is printed before anything is sent, so that an
/// interrupted command can be repeated with it.
fn request(
    flags: &Cicadactl,
    intent: Intent,
    change: Option<id::Change>,
) -> Result<Request, Failure> {
    let help = "give the name of the operator, such as --operator asha";
    let operator = flags
        .operator
        .clone()
        .ok_or_else(|| usage("--operator is missing", help))?;
    let change = change.unwrap_or_else(|| {
        let change = change::random_id();
        anstream::eprintln!("change {change}");
        change
    });
    Ok(Request {
        base: None,
        change,
        intent,
        operator,
        trial: false,
    })
}

/// Returns the admin pages of the node at `address`.
fn admin(address: std::net::SocketAddr, token: Option<&String>) -> Admin {
    Admin {
        address,
        token: token.cloned(),
    }
}

/// Returns the failure of an invalid command line.
fn usage(message: &str, help: &str) -> Failure {
    Failure::new(Exit::Usage, message, help)
}

/// Prints the output of a command that succeeded.
fn print(output: &Output, json: bool) {
    if json {
        anstream::println!("{}", output.json);
    } else {
        anstream::println!("{}", output.text);
    }
}

/// Prints why a command failed: JSON to the standard output, text to the standard error.
fn report(failure: &Failure, json: bool) {
    if json {
        anstream::println!("{}", failure.json());
    } else if failure.findings.is_empty() {
        anstream::eprintln!("{}", render(failure));
    } else {
        let text = cicadagw_report::render(&failure.findings, &failure.text);
        anstream::eprintln!("{}", text.trim_end());
    }
}

/// Formats a diagnostic with its help.
fn render(diagnostic: &dyn Diagnostic) -> String {
    match diagnostic.help() {
        Some(help) => format!("error: {diagnostic}\nhelp: {help}"),
        None => format!("error: {diagnostic}"),
    }
}
