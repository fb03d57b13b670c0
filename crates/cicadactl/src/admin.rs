//! Commands that read the admin pages of a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use awc::http::header::AUTHORIZATION;
use serde_json::{Map, Value, json};

use crate::table::table;
use crate::{Exit, Failure, Output};

/// The timeout of a request to a node.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest dump that is accepted, in bytes.
const DUMP_MAX_BYTES: usize = 64 << 20;

/// The admin pages of a node.
#[derive(Clone, Debug)]
pub struct Admin {
    /// The address that serves the pages.
    pub address: SocketAddr,
    /// The bearer token, which is needed unless the pages are on a loopback address.
    pub token: Option<String>,
}

impl Admin {
    /// Shows the dump of the node.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond with a dump.
    pub async fn dump(&self) -> Result<Output, Failure> {
        let dump = self.read().await?;
        Ok(Output {
            text: format!("{dump:#}"),
            json: dump,
        })
    }

    /// Shows the nodes that the node knows: itself, its ancestors and children in the tree, and the
    /// nodes of the endpoints that it knows.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond with a dump.
    pub async fn nodes(&self) -> Result<Output, Failure> {
        let dump = self.read().await?;
        let tree_nodes = [&dump["path"], &dump["children"]]
            .into_iter()
            .flat_map(members);
        let mut nodes: BTreeMap<String, Value> = tree_nodes
            .map(|member| (cell(member, "node"), node(&Value::Null, member)))
            .collect();
        let records = entries(&dump["endpoints"]).filter(|record| record["state"] != "gone");
        nodes.extend(records.map(|record| (cell(record, "node"), node(record, record))));
        let identity = &dump["identity"];
        let member = &identity["member"];
        nodes.insert(cell(member, "node"), node(identity, member));
        let rows: Vec<[String; 5]> = nodes
            .values()
            .map(|node| NODE_FIELDS.map(|name| cell(node, name)))
            .collect();
        Ok(Output {
            text: table(["NODE", "DOMAIN", "RACK", "REGION", "LINK"], &rows),
            json: nodes.into_values().collect(),
        })
    }

    /// Shows the endpoints that the node knows.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond with a dump.
    pub async fn endpoints(&self) -> Result<Output, Failure> {
        let dump = self.read().await?;
        let endpoints: Vec<&Value> = entries(&dump["endpoints"]).collect();
        let names = [
            "service", "endpoint", "state", "node", "domain", "address", "slots",
        ];
        let rows: Vec<[String; 7]> = endpoints
            .iter()
            .map(|endpoint| names.map(|name| cell(endpoint, name)))
            .collect();
        let headers = [
            "SERVICE", "ENDPOINT", "STATE", "NODE", "DOMAIN", "ADDRESS", "SLOTS",
        ];
        Ok(Output {
            text: table(headers, &rows),
            json: json!(endpoints),
        })
    }

    /// Requests the dump.
    async fn read(&self) -> Result<Value, Failure> {
        let url = format!("http://{}/dump", self.address);
        let mut request = awc::Client::default().get(url).timeout(RESPONSE_TIMEOUT);
        if let Some(token) = &self.token {
            request = request.insert_header((AUTHORIZATION, format!("Bearer {token}")));
        }
        let mut response = request
            .send()
            .await
            .map_err(|error| self.unavailable(&error.to_string()))?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
                return Err(Failure::new(
                    Exit::Refused,
                    format!("{} requires a token", self.address),
                    "give the admin_token of the node's settings with --token",
                ));
            }
            status => return Err(self.unavailable(&status.to_string())),
        }
        let body = response
            .body()
            .limit(DUMP_MAX_BYTES)
            .await
            .map_err(|error| self.unavailable(&error.to_string()))?;
        serde_json::from_slice(&body).map_err(|error| self.unavailable(&error.to_string()))
    }

    fn unavailable(&self, reason: &str) -> Failure {
        Failure::new(
            Exit::Unavailable,
            format!("the node at {} does not answer: {reason}", self.address),
            "give the `admin` address of the node's settings, and check that the node runs",
        )
    }
}

/// The fields that are shown of a node.
const NODE_FIELDS: [&str; 5] = ["node", "domain", "rack", "region", "link"];

/// Returns the fields of a node: `place` has its region and failure domain, `member` the others.
fn node(place: &Value, member: &Value) -> Value {
    json!({
        "node": member["node"],
        "domain": place["domain"],
        "rack": member["rack"],
        "region": place["region"],
        "link": member["link"],
    })
}

/// Returns the elements of an array, or none for any other value.
fn members(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Returns the values of an object, or none for any other value.
fn entries(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_object().into_iter().flat_map(Map::values)
}

/// Returns a field as the text of a table cell, which is `-` without a value.
fn cell(entry: &Value, name: &str) -> String {
    match entry.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(value) => value.to_string(),
    }
}
