//! Folders for settings and logs.

use std::path::{Path, PathBuf};
use std::{env, fs, io, process, thread};

/// A new folder among the temporary files, removed with its content when it is dropped, unless its
/// test has failed.
#[derive(Debug)]
pub struct ScratchDir {
    path: PathBuf,
    kept: bool,
}

impl ScratchDir {
    /// Creates a folder.
    ///
    /// # Errors
    ///
    /// When it cannot be created.
    pub fn new() -> io::Result<Self> {
        let name = format!("cicadagw-{}-{:08x}", process::id(), rand::random::<u32>());
        let path = env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(Self { path, kept: false })
    }

    /// Returns the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps the folder, so that its logs can be read.
    pub fn keep(&mut self) {
        self.kept = true;
    }

    /// Writes a file, and returns its path.
    ///
    /// # Errors
    ///
    /// When it cannot be written.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        if thread::panicking() {
            anstream::eprintln!("logs and settings are in {}", self.path.display());
        } else if !self.kept {
            // What cannot be removed is left to the system's own cleaning.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
