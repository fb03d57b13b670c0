//! Reading of addresses.

use std::net::SocketAddr;

use cicadagw_jsonc::{Object, Reader};
use cicadagw_unit::Error;

use crate::{Format, Key};

/// What a good address looks like, for error texts.
const ADDRESS_FORM: &str = "an IP number and a port, such as 127.0.0.1:8104";

/// Reads an address.
pub(crate) fn address(value: &Reader<'_, '_>) -> Option<SocketAddr> {
    let text = value.string()?;
    text.parse()
        .map_err(|_| value.report(Error::new("socket address", text, ADDRESS_FORM).to_string()))
        .ok()
}

/// Reads an address that others are reached at, so that it must name a host and a port.
pub(crate) fn peer(value: &Reader<'_, '_>) -> Option<SocketAddr> {
    let address = address(value)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        value.report_with_help(
            format!("`{address}` cannot be reached"),
            "name the IP number and the port of a host",
        );
        return None;
    }
    Some(address)
}

/// Reads the addresses that `key` lists.
pub(crate) fn peers(value: &Reader<'_, '_>, key: Key) -> Option<Vec<SocketAddr>> {
    let mut elements = 0;
    let peers = value.array(|element| {
        elements += 1;
        peer(element)
    })?;
    if let Format::Addresses(least) = key.format()
        && elements < least
    {
        value.report(format!(
            "`{key}` lists {elements} addresses: expected {}",
            key.format()
        ));
        return None;
    }
    Some(peers)
}

/// Reads the addresses that the node listens at, and reports two that cannot be used together.
pub(crate) fn listeners<const N: usize>(
    table: &Object<'_, '_>,
    keys: [Key; N],
) -> [Option<SocketAddr>; N] {
    let mut taken: Vec<(Key, SocketAddr)> = Vec::with_capacity(N);
    keys.map(|key| {
        let value = table.required(key.name())?;
        let address = address(&value)?;
        match taken.iter().find(|(_, other)| overlap(*other, address)) {
            Some((other, _)) => value.report_with_help(
                format!("`{address}` is taken by `{other}`"),
                "give each of calls, link, announce and admin a port of its own",
            ),
            None => taken.push((key, address)),
        }
        Some(address)
    })
}

/// Tells whether two sockets cannot listen at these addresses; port 0 is a free port each time.
fn overlap(left: SocketAddr, right: SocketAddr) -> bool {
    let same_host =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    same_host && left.port() == right.port() && left.port() != 0
}
