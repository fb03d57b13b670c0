//! Reading and validation of addresses.

use std::net::SocketAddr;

use cicadagw_jsonc::{Object, Reader};
use cicadagw_unit::Error;

use crate::{Format, Key};

/// The format of an address, for error messages.
const ADDRESS_FORMAT: &str = "IP address and port, such as 127.0.0.1:8104";

/// Reads a socket address.
pub(crate) fn address(value: &Reader<'_, '_>) -> Option<SocketAddr> {
    let text = value.string()?;
    text.parse()
        .map_err(|_| value.report(Error::new("socket address", text, ADDRESS_FORMAT).to_string()))
        .ok()
}

/// Reads an address to connect to, which must have a specific IP address and a port other than 0.
pub(crate) fn remote_address(value: &Reader<'_, '_>) -> Option<SocketAddr> {
    let address = address(value)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        value.report_with_help(
            format!("`{address}` is not a valid destination"),
            "use a specific IP address and a port other than 0",
        );
        return None;
    }
    Some(address)
}

/// Reads the list of addresses of `key` and checks its minimum length.
pub(crate) fn remote_addresses(value: &Reader<'_, '_>, key: Key) -> Option<Vec<SocketAddr>> {
    let mut elements = 0;
    let addresses = value.array(|element| {
        elements += 1;
        remote_address(element)
    })?;
    if let Format::Addresses(min) = key.format()
        && elements < min
    {
        value.report(format!(
            "`{key}` has {elements} addresses: expected at least {min}"
        ));
        return None;
    }
    Some(addresses)
}

/// Reads the listen addresses of `keys`, and reports those that conflict with an earlier one.
pub(crate) fn listen_addresses<const N: usize>(
    object: &Object<'_, '_>,
    keys: [Key; N],
) -> [Option<SocketAddr>; N] {
    let mut used: Vec<(Key, SocketAddr)> = Vec::with_capacity(N);
    keys.map(|key| {
        let value = object.required(key.name())?;
        let address = address(&value)?;
        match used.iter().find(|(_, other)| conflict(*other, address)) {
            Some((other, _)) => value.report_with_help(
                format!("`{address}` is already used by `{other}`"),
                "use different ports for `calls`, `link`, `announce` and `admin`",
            ),
            None => used.push((key, address)),
        }
        Some(address)
    })
}

/// Returns whether two sockets cannot listen on these addresses at the same time.
///
/// Port 0 never conflicts, because the system assigns a free port each time.
fn conflict(left: SocketAddr, right: SocketAddr) -> bool {
    let same_ip =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    same_ip && left.port() == right.port() && left.port() != 0
}
