//! Scratch directories for settings and logs.

use std::path::{Path, PathBuf};
use std::{env, fs, io, process, thread};

/// A new directory in the system's temporary directory. Dropping this removes it with its content,
/// unless its test has failed (the thread is panicking) or [`ScratchDir::keep`] was called.
#[derive(Debug)]
pub struct ScratchDir {
    path: PathBuf,
    kept: bool,
}

impl ScratchDir {
    /// Creates the directory under a random name.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be created.
    pub fn new() -> io::Result<Self> {
        let name = format!("cicadagw-{}-{:08x}", process::id(), rand::random::<u32>());
        let path = env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(Self { path, kept: false })
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps the directory on drop, so that its logs can be read.
    pub fn keep(&mut self) {
        self.kept = true;
    }

    /// Writes the file `name` and returns its path.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be written.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        if thread::panicking() {
            anstream::eprintln!(
                "the test failed; its logs and settings are kept in {}",
                self.path.display()
            );
        } else if !self.kept {
            // A directory that cannot be removed is left to the system's cleanup of temporary
            // files.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
