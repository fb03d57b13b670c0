//! The command line.

#![allow(missing_docs, unreachable_pub, reason = "the macro writes no docs")]

use std::path::PathBuf;

xflags::xflags! {
    /// The node of cicadagw: proxy and control of one backend server host.
    ///
    /// Examples:
    ///   cicadagw check /etc/cicadagw/node.jsonc
    ///   cicadagw run /etc/cicadagw/node.jsonc
    ///
    /// Exit codes: 0 done, 1 the settings are wrong or the node failed, 2 wrong usage.
    cmd cicadagw {
        /// Runs the node until it is told to stop (SIGTERM or SIGINT); it then finishes what is in
        /// flight.
        cmd run {
            /// The settings, JSON with comments.
            required settings: PathBuf
        }

        /// Checks settings and reports all that is wrong with them.
        cmd check {
            /// The settings, JSON with comments.
            required settings: PathBuf
        }

        /// Prints the version.
        cmd version {}
    }
}
