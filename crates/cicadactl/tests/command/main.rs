//! The output and the exit code of every command, against a test server in place of the platform.

mod operations_doc;
mod race;
mod refusals;
mod sessions;
mod shell;
