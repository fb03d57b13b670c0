//! Commands that ask a node's admin pages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use awc::http::header::AUTHORIZATION;
use serde_json::{Map, Value, json};

use crate::table::table;
use crate::{Answer, Exit, Failure};

/// How long a node may take to answer.
const ANSWER: Duration = Duration::from_secs(5);

/// The longest dump that is read, in bytes.
const DUMP_MAX: usize = 64 << 20;

/// A node's admin pages.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Where they are served.
    pub address: SocketAddr,
    /// What a request must present, where the pages are not on a loopback address.
    pub token: Option<String>,
}

impl Admin {
    /// Shows everything that the node tells of itself.
    ///
    /// # Errors
    ///
    /// When the node does not answer.
    pub async fn dump(&self) -> Result<Answer, Failure> {
        let dump = self.read().await?;
        Ok(Answer {
            text: format!("{dump:#}"),
            json: dump,
        })
    }

    /// Shows the nodes that the node knows of: itself, those above and below it in the tree, and
    /// those whose endpoints it knows.
    ///
    /// # Errors
    ///
    /// When the node does not answer.
    pub async fn nodes(&self) -> Result<Answer, Failure> {
        let dump = self.read().await?;
        let linked = [&dump["path"], &dump["children"]]
            .into_iter()
            .flat_map(members);
        let mut nodes: BTreeMap<String, Value> = linked
            .map(|member| (cell(member, "node"), node(&Value::Null, member)))
            .collect();
        let records = entries(&dump["endpoints"]).filter(|record| record["state"] != "gone");
        nodes.extend(records.map(|record| (cell(record, "node"), node(record, record))));
        let identity = &dump["identity"];
        let member = &identity["member"];
        nodes.insert(cell(member, "node"), node(identity, member));
        let rows: Vec<[String; 5]> = nodes
            .values()
            .map(|node| NODE.map(|name| cell(node, name)))
            .collect();
        Ok(Answer {
            text: table(["NODE", "DOMAIN", "RACK", "REGION", "LINK"], &rows),
            json: nodes.into_values().collect(),
        })
    }

    /// Shows the endpoints that the node knows.
    ///
    /// # Errors
    ///
    /// When the node does not answer.
    pub async fn endpoints(&self) -> Result<Answer, Failure> {
        let dump = self.read().await?;
        let endpoints: Vec<&Value> = entries(&dump["endpoints"]).collect();
        let names = [
            "service", "endpoint", "state", "node", "domain", "address", "slots",
        ];
        let rows: Vec<[String; 7]> = endpoints
            .iter()
            .map(|endpoint| names.map(|name| cell(endpoint, name)))
            .collect();
        let heads = [
            "SERVICE", "ENDPOINT", "STATE", "NODE", "DOMAIN", "ADDRESS", "SLOTS",
        ];
        Ok(Answer {
            text: table(heads, &rows),
            json: json!(endpoints),
        })
    }

    async fn read(&self) -> Result<Value, Failure> {
        let url = format!("http://{}/dump", self.address);
        let mut request = awc::Client::default().get(url).timeout(ANSWER);
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
                    format!("{} wants a token", self.address),
                    "give the admin_token of the node's settings with --token",
                ));
            }
            status => return Err(self.unavailable(&status.to_string())),
        }
        let body = response
            .body()
            .limit(DUMP_MAX)
            .await
            .map_err(|error| self.unavailable(&error.to_string()))?;
        serde_json::from_slice(&body).map_err(|error| self.unavailable(&error.to_string()))
    }

    fn unavailable(&self, reason: &str) -> Failure {
        Failure::new(
            Exit::Unavailable,
            format!("the node at {} does not answer: {reason}", self.address),
            "give the `admin` address of the node's settings, and see that the node runs",
        )
    }
}

/// What is shown of a node.
const NODE: [&str; 5] = ["node", "domain", "rack", "region", "link"];

/// Returns a node that stands at `place` and is reached as `member` says.
fn node(place: &Value, member: &Value) -> Value {
    json!({
        "node": member["node"],
        "domain": place["domain"],
        "rack": member["rack"],
        "region": place["region"],
        "link": member["link"],
    })
}

/// Returns the values of a list.
fn members(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Returns the values of a table.
fn entries(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_object().into_iter().flat_map(Map::values)
}

fn cell(entry: &Value, name: &str) -> String {
    match entry.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(value) => value.to_string(),
    }
}
