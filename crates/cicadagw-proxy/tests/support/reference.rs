//! A reader of complete responses, written from RFC 9112 and shared with nothing in the nodes.

/// How the bytes of a connection end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The server keeps the connection open.
    Open,
    /// The server closes its side in order.
    Close,
    /// The server resets the connection.
    Reset,
}

/// What the bytes of a connection contain, interim responses aside.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reading {
    /// A complete response.
    Whole { status: u16, body: Vec<u8> },
    /// A response whose body starts so and is not complete, or is invalid from there on.
    Cut { status: u16, body: Vec<u8> },
    /// The start of a head.
    Partial,
    /// No valid response head.
    Invalid,
}

/// Reads the first final response in `bytes` to a request with `method`.
pub fn read(bytes: &[u8], method: &str, end: End) -> Reading {
    let mut rest = bytes;
    loop {
        let Some(length) = find(rest, b"\r\n\r\n") else {
            return if is_head_start(rest) {
                Reading::Partial
            } else {
                Reading::Invalid
            };
        };
        let head = &rest[..length + 2];
        rest = &rest[length + 4..];
        let Some((status, is_1_0, fields)) = parse_head(head) else {
            return Reading::Invalid;
        };
        match status {
            101 => return Reading::Invalid,
            100..=199 => {}
            _ => return read_body(rest, method, status, is_1_0, &fields, end),
        }
    }
}

type Field = (String, String);

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|part| part == pattern)
}

/// Returns whether bytes without an end of the head may be the start of a valid one: all complete lines
/// are valid.
fn is_head_start(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(2).rposition(|part| part == b"\r\n") else {
        return true;
    };
    parse_head(&bytes[..end + 2]).is_some()
}

fn parse_head(head: &[u8]) -> Option<(u16, bool, Vec<Field>)> {
    let text = std::str::from_utf8(head).ok()?;
    let mut lines = text.strip_suffix("\r\n")?.split("\r\n");
    let status_line = lines.next()?;
    let version = status_line.get(..8)?;
    let is_1_0 = version == "HTTP/1.0";
    if !is_1_0 && version != "HTTP/1.1" {
        return None;
    }
    let code = status_line.get(9..12)?;
    let follows = status_line.as_bytes().get(12);
    let is_delimited = status_line.as_bytes()[8] == b' ' && matches!(follows, None | Some(b' '));
    if !is_delimited || !code.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let status = code.parse().ok().filter(|status| *status >= 100)?;
    let fields: Option<Vec<Field>> = lines.map(parse_field).collect();
    Some((status, is_1_0, fields?))
}

fn parse_field(line: &str) -> Option<Field> {
    let (name, value) = line.split_once(':')?;
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    let is_text = |byte: u8| byte == b'\t' || (byte >= b' ' && byte != 0x7f);
    if name.is_empty() || !name.bytes().all(is_token) || !value.bytes().all(is_text) {
        return None;
    }
    let value = value.trim_matches([' ', '\t']);
    Some((name.to_ascii_lowercase(), value.to_owned()))
}

fn read_body(
    bytes: &[u8],
    method: &str,
    status: u16,
    is_1_0: bool,
    fields: &[Field],
    end: End,
) -> Reading {
    let all = |expected: &'static str| {
        let named = fields.iter().filter(move |(name, _)| name == expected);
        named.map(|(_, value)| value.as_str())
    };
    let mut lengths: Vec<Option<usize>> = Vec::new();
    for value in all("content-length") {
        let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
        lengths.push(value.parse().ok().filter(|_| is_number));
    }
    lengths.dedup();
    let codings: Vec<&str> = all("transfer-encoding").collect();
    let is_chunked = codings.len() == 1 && codings[0].eq_ignore_ascii_case("chunked");
    let is_ambiguous = lengths.len() > 1 || lengths.contains(&None);
    let whole = |body: &[u8]| Reading::Whole {
        status,
        body: body.to_vec(),
    };
    let cut = |body: &[u8]| Reading::Cut {
        status,
        body: body.to_vec(),
    };
    if is_ambiguous {
        return Reading::Invalid;
    }
    if method == "HEAD" || matches!(status, 204 | 304) {
        return whole(b"");
    }
    match (codings.is_empty(), lengths.first().copied().flatten()) {
        (false, _) if !is_chunked || is_1_0 || !lengths.is_empty() => Reading::Invalid,
        (false, _) => match read_chunks(bytes) {
            (body, true) => whole(&body),
            (body, false) => cut(&body),
        },
        (true, Some(length)) if bytes.len() >= length => whole(&bytes[..length]),
        (true, None) if end == End::Close => whole(bytes),
        (true, _) => cut(bytes),
    }
}

/// Returns the data of a body in chunks, and whether it is complete and valid.
fn read_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(length) = find(bytes, b"\r\n") else {
            return (body, false);
        };
        let Some(size) = parse_chunk_size(&bytes[..length]) else {
            return (body, false);
        };
        bytes = &bytes[length + 2..];
        if size == 0 {
            let is_complete = bytes.starts_with(b"\r\n") || {
                let trailers = find(bytes, b"\r\n\r\n").map(|end| &bytes[..end]);
                let trailers = trailers.and_then(|trailers| std::str::from_utf8(trailers).ok());
                trailers
                    .is_some_and(|lines| lines.split("\r\n").all(|it| parse_field(it).is_some()))
            };
            return (body, is_complete);
        }
        body.extend_from_slice(&bytes[..size.min(bytes.len())]);
        if !bytes[size.min(bytes.len())..].starts_with(b"\r\n") {
            return (body, false);
        }
        bytes = &bytes[size + 2..];
    }
}

fn parse_chunk_size(line: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(line).ok()?;
    let digits = text.split(';').next()?.trim_end_matches([' ', '\t']);
    let is_hexadecimal = !digits.is_empty() && digits.bytes().all(|it| it.is_ascii_hexdigit());
    is_hexadecimal.then(|| usize::from_str_radix(digits, 16).ok())?
}
