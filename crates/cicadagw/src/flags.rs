//! The command line.

#![allow(missing_docs, unreachable_pub, reason = "the macro writes no docs")]

use std::path::PathBuf;

xflags::xflags! {
    /// The node of cicadagw: the proxy and the control plane of one host of backend servers.
    ///
    /// Examples:
    ///   cicadagw check /etc/cicadagw/node.jsonc
    ///   cicadagw run /etc/cicadagw/node.jsonc
    ///
    /// Exit codes: 0 done or asked to stop, 1 a duty of the node failed, 2 wrong usage, 3 the settings
    /// are invalid, 4 an address cannot be bound, 5 the host lacks a resource such as threads.
    cmd cicadagw {
        /// Runs the node until SIGTERM or SIGINT arrives; calls in flight are then finished.
        cmd run {
            /// The settings file, JSON with comments (default: that of `CICADAGW_CONFIG`, or else
            /// /etc/cicadagw/node.toml).
            optional settings: PathBuf
        }

        /// Checks a settings file and reports every error in it.
        cmd check {
            /// The settings file, JSON with comments.
            required settings: PathBuf
        }

        /// Prints the version.
        cmd version {}
    }
}
