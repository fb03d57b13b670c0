//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use cicadagw_unit::Version;
use cicadagw_unit::id::{Change, Operator, Preset as PresetName};
use cicadagw_unit::time::Span;

xflags::xflags! {
    /// Changes what is in force and shows how it holds.
    ///
    /// Examples:
    ///     cicadactl check mesh.jsonc
    ///     cicadactl --platform 127.0.0.1:7000 --operator asha apply mesh.jsonc
    ///     cicadactl --platform 127.0.0.1:7000 --operator asha preset use peak
    ///     cicadactl --platform 127.0.0.1:7000 status --wait 5 --timeout 10000ms
    ///     cicadactl endpoints 127.0.0.1:7103
    ///
    /// Exit codes: 0 done, 1 findings or refused, 2 wrong command line, 3 another change came
    /// first, 4 platform or node not reached, 5 outcome unknown, 6 time for waiting is over.
    cmd cicadactl {
        /// Where the platform answers, such as 127.0.0.1:7000; may be given again.
        repeated --platform address: SocketAddr
        /// Who makes the change.
        optional --operator name: Operator
        /// Print JSON for scripts.
        optional --json

        /// Check a configuration without the platform, and print all findings with their places.
        cmd check {
            /// The file with the configuration.
            required file: PathBuf
        }
        /// Put a configuration in force, and print what it changes.
        cmd apply {
            /// The file with the configuration.
            required file: PathBuf
            /// Do all but change anything.
            optional --dry-run
            /// The change id; the same command with the same id takes effect once.
            optional --change change: Change
            /// The preset to be in force; the one in force stays where none is given.
            optional --preset name: PresetName
            /// The version that the file was made from; another one in force is a conflict.
            optional --base version: Version
        }
        /// Print what a configuration would change.
        cmd diff {
            /// The file with the configuration.
            required file: PathBuf
        }
        /// Print the configuration in force.
        cmd get {
            /// Print the values of secrets as well.
            optional --reveal
        }
        /// List presets, or put one in force.
        cmd preset {
            /// List the declared presets; a star marks the one in force.
            cmd list {}
            /// Put a preset in force.
            cmd use {
                /// The preset.
                required name: PresetName
                /// The change id; the same command with the same id takes effect once.
                optional --change change: Change
            }
        }
        /// List the accepted changes, newest first.
        cmd history {}
        /// Accept the content of an earlier version again, as a new and higher version.
        cmd rollback {
            /// The version to return to.
            required version: Version
            /// The change id; the same command with the same id takes effect once.
            optional --change change: Change
        }
        /// Print how every failure domain stands.
        cmd status {
            /// Go on, and print every change.
            optional --watch
            /// Wait until every node holds this version.
            optional --wait version: Version
            /// How long to wait at the most, such as 10000ms, which is the default.
            optional --timeout span: Span
        }
        /// Print everything that a node tells of itself.
        cmd dump {
            /// The admin address of the node.
            required address: SocketAddr
            /// The admin_token of the node's settings.
            optional --token token: String
        }
        /// List the nodes that a node knows of.
        cmd nodes {
            /// The admin address of a node.
            required address: SocketAddr
            /// The admin_token of the node's settings.
            optional --token token: String
        }
        /// List the endpoints that a node knows.
        cmd endpoints {
            /// The admin address of the node.
            required address: SocketAddr
            /// The admin_token of the node's settings.
            optional --token token: String
        }
    }
}
