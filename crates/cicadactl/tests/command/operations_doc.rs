//! The console sessions in `docs/OPERATIONS.md` match the output of the commands.
//!
//! With `WRITE_PAGE` in the environment, the document is rewritten with the current output.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::{env, fs};

use serde_json::{Value, json};

use crate::shell::{Shell, serve_dump};

/// The document with the sessions.
const DOC: &str = include_str!("../../../../docs/OPERATIONS.md");

/// The configuration that the sessions begin with.
const CONFIG: &str = include_str!("../../../../examples/kalavara/config.jsonc");

/// The fences that begin and end a session.
const FENCES: [&str; 2] = ["```console", "```"];

/// The addresses of the platform and of a node's admin server in the sessions, which are replaced
/// by those of the test servers.
const PLATFORM: &str = "127.0.0.1:7000";
const ADMIN: &str = "127.0.0.1:7003";

/// The dump of the node at [`ADMIN`], reduced to what the sessions show.
const DUMP: &str = r#"{
  "endpoints": {
    "orders-7f3a": {
      "address": "127.0.0.1:7102", "domain": "kochi-a", "endpoint": "orders-7f3a",
      "link": "127.0.0.1:7101", "node": "kochi-a-orders", "rack": "r2", "region": "kochi",
      "sequence": 3, "service": "orders", "slots": 10, "state": "ready"
    }
  },
  "identity": {
    "domain": "kochi-a", "region": "kochi",
    "member": { "link": "127.0.0.1:7001", "node": "kochi-a-catalogue", "rack": "r1" }
  }
}"#;

/// Returns the status of a failure domain of three nodes.
fn status(domain: &str, lowest: u64, laggards: &Value) -> Value {
    json!({
        "domain": domain,
        "newest": 4,
        "report": { "lowest": lowest, "count": 3, "serving": 3, "laggards": laggards },
        "root": format!("{domain}-catalogue"),
        "written": 9,
    })
}

/// Returns a shell whose platform has the status of two failure domains; in one, a node has not
/// received the newest version.
fn shell_with_two_domains() -> Shell {
    let shell = Shell::new();
    let behind = json!([{ "node": "kochi-b-media", "held": 3, "reason": "behind" }]);
    shell.put("directory/kochi-a", &json!({}));
    shell.put("directory/kochi-b", &json!({}));
    shell.put("status/kochi-a", &status("kochi-a", 4, &json!([])));
    shell.put("status/kochi-b", &status("kochi-b", 3, &behind));
    shell
}

/// Creates a folder that holds only the configuration.
fn folder() -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("operations-doc");
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("mesh.jsonc"), CONFIG).unwrap();
    folder
}

/// Runs one line of a session with `sh -c` and returns its output.
fn output(folder: &Path, line: &str, platform: SocketAddr, node: SocketAddr) -> String {
    let program = Path::new(env!("CARGO_BIN_EXE_cicadactl"));
    let path = env::var("PATH").unwrap();
    let script = line
        .replace(PLATFORM, &platform.to_string())
        .replace(ADMIN, &node.to_string());
    let output = Command::new("sh")
        .args(["-c", &format!("exec 2>&1\n{script}")])
        .current_dir(folder)
        .env(
            "PATH",
            format!("{}:{path}", program.parent().unwrap().display()),
        )
        .output()
        .unwrap();
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn the_sessions_in_the_document_match_the_output_of_their_commands() {
    let shell = shell_with_two_domains();
    let node = serve_dump(DUMP);
    let folder = folder();
    let mut in_session = false;
    let mut written = String::new();

    for line in DOC.lines() {
        if FENCES.contains(&line) {
            in_session = line == FENCES[0];
        }
        let is_output = in_session && !line.starts_with('$') && line != FENCES[0];
        if !is_output {
            written.extend([line, "\n"]);
        }
        if let Some(command) = line.strip_prefix("$ ").filter(|_| in_session) {
            written.push_str(&output(&folder, command, shell.platform.address, node));
        }
    }

    if env::var_os("WRITE_PAGE").is_some() {
        fs::write("../../docs/OPERATIONS.md", &written).unwrap();
    }
    assert_eq!(written, DOC);
}
