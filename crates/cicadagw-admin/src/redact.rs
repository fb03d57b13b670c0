//! Removal of secrets from dumps.

use serde_json::{Map, Value};

/// The text that replaces a secret.
const REDACTED: &str = "[redacted]";

/// Fields whose values are secret at any depth.
const SECRET_FIELDS: [&str; 3] = ["admin_token", "authorization", "token"];

/// The field that holds the declared secrets.
const SECRETS_FIELD: &str = "secrets";

/// The field of a declared secret that holds its value.
const VALUE_FIELD: &str = "value";

/// Replaces every secret in `dump`, at any depth.
///
/// A dump should hold no secrets; this is the last line of defence before it leaves the process.
pub fn redact(dump: &mut Value) {
    match dump {
        Value::Array(elements) => elements.iter_mut().for_each(redact),
        Value::Object(fields) => redact_fields(fields),
        _ => {}
    }
}

/// Replaces the secrets in the fields of an object.
fn redact_fields(fields: &mut Map<String, Value>) {
    for (name, value) in fields {
        if SECRET_FIELDS.contains(&name.as_str()) && !value.is_null() {
            *value = REDACTED.into();
        }
        if name == SECRETS_FIELD {
            redact_secrets(value);
        }
        redact(value);
    }
}

/// Replaces the values of declared secrets, which are in an object or an array.
fn redact_secrets(secrets: &mut Value) {
    let redact_one = |secret: &mut Value| match secret {
        Value::Object(fields) => {
            if let Some(value) = fields.get_mut(VALUE_FIELD) {
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
