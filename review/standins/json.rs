//! Just enough JSON to keep the objects of the store as text.

/// Returns the members of a JSON object: each key and the text of its value.
pub fn members(text: &str) -> Vec<(String, String)> {
    let bytes = text.as_bytes();
    let mut members = Vec::new();
    let mut at = 0;
    let skip_space = |mut at: usize| {
        while at < bytes.len() && (bytes[at].is_ascii_whitespace() || b"{,:".contains(&bytes[at])) {
            at += 1;
        }
        at
    };
    loop {
        at = skip_space(at);
        if at >= bytes.len() || bytes[at] != b'"' {
            return members;
        }
        let key_end = value_end(bytes, at);
        let key = text[at + 1..key_end - 1].to_owned();
        at = key_end;
        while at < bytes.len() && (bytes[at].is_ascii_whitespace() || bytes[at] == b':') {
            at += 1;
        }
        let end = value_end(bytes, at);
        members.push((key, text[at..end].to_owned()));
        at = end;
    }
}

/// Returns the text of a member of a JSON object.
pub fn member(text: &str, name: &str) -> Option<String> {
    let found = members(text).into_iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value)
}

/// Returns a member that is a string without escapes.
pub fn string(text: &str, name: &str) -> Option<String> {
    Some(member(text, name)?.trim_matches('"').to_owned())
}

/// Returns where the value that starts at `at` ends.
fn value_end(bytes: &[u8], at: usize) -> usize {
    let mut depth = 0_usize;
    let mut in_string = false;
    let mut index = at;
    while index < bytes.len() {
        match bytes[index] {
            b'\\' if in_string => index += 1,
            b'"' => {
                in_string = !in_string;
                if !in_string && depth == 0 {
                    return index + 1;
                }
            }
            _ if in_string => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return index,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return index + 1;
                }
            }
            b',' if depth == 0 => return index,
            _ => {}
        }
        index += 1;
    }
    index
}
