//! Removal of secrets from what is shown.

use serde_json::{Map, Value};

/// What stands in the place of a secret.
const REDACTED: &str = "[redacted]";

/// Names whose values are secret wherever they stand.
const SECRET_NAMES: [&str; 3] = ["admin_token", "authorization", "token"];

/// The name of the table of declared secrets.
const SECRETS: &str = "secrets";

/// The name of the value of a declared secret.
const VALUE: &str = "value";

/// Replaces every secret in `dump`.
///
/// A dump should hold none; this is the last line of defence before it leaves the process.
pub fn redact(dump: &mut Value) {
    match dump {
        Value::Array(elements) => elements.iter_mut().for_each(redact),
        Value::Object(fields) => redact_fields(fields),
        _ => {}
    }
}

fn redact_fields(fields: &mut Map<String, Value>) {
    for (name, value) in fields {
        if SECRET_NAMES.contains(&name.as_str()) && !value.is_null() {
            *value = REDACTED.into();
        }
        if name == SECRETS {
            redact_secrets(value);
        }
        redact(value);
    }
}

/// Replaces the values of declared secrets, which stand in a table or a list.
fn redact_secrets(secrets: &mut Value) {
    let redact_one = |secret: &mut Value| match secret {
        Value::Object(fields) => {
            if let Some(value) = fields.get_mut(VALUE) {
                *value = REDACTED.into();
            }
        }
        other => *other = REDACTED.into(),
    };
    match secrets {
        Value::Array(list) => list.iter_mut().for_each(redact_one),
        Value::Object(table) => table.values_mut().for_each(redact_one),
        _ => {}
    }
}
