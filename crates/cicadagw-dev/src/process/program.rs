//! The programs of the workspace that tests start.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::{env, io};

/// A program of the workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Program {
    /// The test backend server.
    Backend,
    /// The command-line tool of operators.
    Cicadactl,
    /// The node: proxy and configuration distribution.
    Cicadagw,
    /// The fake platform.
    Platform,
}

/// The built programs of one build profile.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The output directory of the build profile, such as `target/debug`.
    dir: PathBuf,
}

impl Program {
    const ALL: [Self; 4] = [
        Self::Backend,
        Self::Cicadactl,
        Self::Cicadagw,
        Self::Platform,
    ];

    /// Returns the path relative to the profile's directory.
    const fn relative_path(self) -> &'static str {
        match self {
            Self::Backend => "examples/backend",
            Self::Cicadactl => "cicadactl",
            Self::Cicadagw => "cicadagw",
            Self::Platform => "examples/platform",
        }
    }
}

impl Programs {
    /// Finds the programs that were built with the same profile as the current executable, a test
    /// or an example, and builds them first if `cargo` started this process.
    ///
    /// # Errors
    ///
    /// Fails if a program is missing or its build fails.
    pub fn find() -> io::Result<Self> {
        let current = env::current_exe()?;
        // Examples and tests lie one directory below the profile's.
        let dir = current.parent().and_then(Path::parent);
        let dir = dir.ok_or(io::ErrorKind::NotFound)?.to_owned();
        let programs = Self { dir };
        if let Some(cargo) = env::var_os("CARGO") {
            programs.build(&cargo)?;
        }
        for program in Program::ALL {
            let path = programs.path(program);
            if !path.exists() {
                let reason = format!(
                    "{} does not exist; build the workspace first",
                    path.display()
                );
                return Err(io::Error::new(io::ErrorKind::NotFound, reason));
            }
        }
        Ok(programs)
    }

    /// Uses the programs in `dir`, the output directory of a build profile, without a build or a
    /// check.
    pub fn in_dir(dir: PathBuf) -> Self {
        Self { dir }
    }

    /// Returns the path of `program`.
    pub fn path(&self, program: Program) -> PathBuf {
        self.dir.join(program.relative_path())
    }

    /// Builds all programs with `cargo build`, which skips those that are up to date.
    fn build(&self, cargo: &OsString) -> io::Result<()> {
        self.run(cargo, &["--package", "cicadagw", "--package", "cicadactl"])?;
        let examples = ["--example", "backend", "--example", "platform"];
        let package = ["--package", "cicadagw-dev"];
        self.run(cargo, &[&package[..], &examples[..]].concat())
    }

    /// Runs `cargo build` for the targets that `selection` names, in the same target directory,
    /// with the release profile if the current executable has it, else the dev profile.
    fn run(&self, cargo: &OsString, selection: &[&str]) -> io::Result<()> {
        let mut command = Command::new(cargo);
        command
            .args(["build", "--locked", "--quiet"])
            .args(selection)
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .stdin(Stdio::null());
        if let Some(target) = self.dir.parent() {
            command.arg("--target-dir").arg(target);
        }
        if self.dir.file_name().is_some_and(|name| name == "release") {
            command.arg("--release");
        }
        if command.status()?.success() {
            Ok(())
        } else {
            Err(io::Error::other("`cargo build` failed; see its output"))
        }
    }
}
