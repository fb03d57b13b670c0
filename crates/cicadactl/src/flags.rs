//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use cicadagw_unit::Version;
use cicadagw_unit::id::{Change, Operator, Preset as PresetName};
use cicadagw_unit::time::Span;

xflags::xflags! {
    /// Changes the configuration of the mesh and shows its rollout.
    ///
    /// Examples:
    ///     cicadactl check mesh.jsonc
    ///     cicadactl --platform 127.0.0.1:7000 --operator asha apply mesh.jsonc
    ///     cicadactl --platform 127.0.0.1:7000 --operator asha preset use peak
    ///     cicadactl --platform 127.0.0.1:7000 status --wait 5 --timeout 10000ms
    ///     cicadactl endpoints 127.0.0.1:7103
    ///
    /// Exit codes: 0 done, 1 findings or refused, 2 invalid command line, 3 another change was
    /// accepted first, 4 platform or node unavailable, 5 outcome unknown, 6 wait timed out.
    cmd cicadactl {
        /// The address of the platform, such as 127.0.0.1:7000; may be given more than once.
        repeated --platform address: SocketAddr
        /// The name of the operator who makes the change.
        optional --operator name: Operator
        /// Print JSON for scripts.
        optional --json

        /// Check a configuration without the platform, and print all findings with their places.
        cmd check {
            /// The configuration file.
            required file: PathBuf
        }
        /// Activate a configuration, and print what it changes.
        cmd apply {
            /// The configuration file.
            required file: PathBuf
            /// Do everything but the change itself.
            optional --dry-run
            /// The change id; the same command repeated with the same id takes effect only once.
            optional --change change: Change
            /// The preset to activate; by default, the active preset stays.
            optional --preset name: PresetName
            /// The version that the file is based on; it is a conflict if another one is active.
            optional --base version: Version
        }
        /// Print what a configuration would change.
        cmd diff {
            /// The configuration file.
            required file: PathBuf
        }
        /// Print the active configuration.
        cmd get {
            /// Print the values of secrets as well.
            optional --reveal
        }
        /// List presets, or activate one.
        cmd preset {
            /// List the declared presets; a star marks the active one.
            cmd list {}
            /// Activate a preset.
            cmd use {
                /// The name of the preset.
                required name: PresetName
                /// The change id; the same command repeated with the same id takes effect only once.
                optional --change change: Change
            }
        }
        /// List the accepted changes, newest first.
        cmd history {}
        /// Activate the content of an earlier version again, as a new and higher version.
        cmd rollback {
            /// The version to return to.
            required version: Version
            /// The change id; the same command repeated with the same id takes effect only once.
            optional --change change: Change
        }
        /// Print the status of every failure domain.
        cmd status {
            /// Keep running, and print every change.
            optional --watch
            /// Wait until every node holds this version.
            optional --wait version: Version
            /// How long to wait at most; the default is 10000ms.
            optional --timeout span: Span
        }
        /// Print the state and the counters of a node.
        cmd dump {
            /// The admin address of the node.
            required address: SocketAddr
            /// The admin_token of the node's settings.
            optional --token token: String
        }
        /// List the nodes that a node knows.
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
