//! The programs of the workspace.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::{env, io};

/// A program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Program {
    /// The stand-in of a backend server.
    Backend,
    /// The operator's command line.
    Cicadactl,
    /// The node.
    Cicadagw,
    /// The stand-in of the platform.
    Platform,
}

/// Where the programs are.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The folder of the build profile.
    folder: PathBuf,
}

impl Program {
    const ALL: [Self; 4] = [
        Self::Backend,
        Self::Cicadactl,
        Self::Cicadagw,
        Self::Platform,
    ];

    const fn file(self) -> &'static str {
        match self {
            Self::Backend => "examples/backend",
            Self::Cicadactl => "cicadactl",
            Self::Cicadagw => "cicadagw",
            Self::Platform => "examples/platform",
        }
    }
}

impl Programs {
    /// Finds the programs beside the running one, and builds them when `cargo` runs this one.
    ///
    /// # Errors
    ///
    /// When a program is missing, or does not build.
    pub fn find() -> io::Result<Self> {
        let own = env::current_exe()?;
        // Examples and tests stand one folder below the profile's.
        let folder = own.parent().and_then(Path::parent);
        let folder = folder.ok_or(io::ErrorKind::NotFound)?.to_owned();
        let programs = Self { folder };
        if let Some(cargo) = env::var_os("CARGO") {
            programs.build(&cargo)?;
        }
        for program in Program::ALL {
            let path = programs.path(program);
            if !path.exists() {
                let reason = format!("{} is missing; build the workspace", path.display());
                return Err(io::Error::new(io::ErrorKind::NotFound, reason));
            }
        }
        Ok(programs)
    }

    /// Takes the programs from the folder of a build profile, as they are.
    pub fn in_folder(folder: PathBuf) -> Self {
        Self { folder }
    }

    /// Returns the path of `program`.
    pub fn path(&self, program: Program) -> PathBuf {
        self.folder.join(program.file())
    }

    /// Builds what is missing or old.
    fn build(&self, cargo: &OsString) -> io::Result<()> {
        self.run(cargo, &["--package", "cicadagw", "--package", "cicadactl"])?;
        let stand_ins = ["--example", "backend", "--example", "platform"];
        let package = ["--package", "cicadagw-dev"];
        self.run(cargo, &[&package[..], &stand_ins[..]].concat())
    }

    fn run(&self, cargo: &OsString, what: &[&str]) -> io::Result<()> {
        let mut command = Command::new(cargo);
        command
            .args(["build", "--locked", "--quiet"])
            .args(what)
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .stdin(Stdio::null());
        if let Some(target) = self.folder.parent() {
            command.arg("--target-dir").arg(target);
        }
        if self
            .folder
            .file_name()
            .is_some_and(|name| name == "release")
        {
            command.arg("--release");
        }
        if command.status()?.success() {
            Ok(())
        } else {
            Err(io::Error::other("the programs do not build"))
        }
    }
}
