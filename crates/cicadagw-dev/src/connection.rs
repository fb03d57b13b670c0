//! Fault injection on connections: a test server can close the connection that a request came on.

use std::any::Any;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;

use actix_web::HttpRequest;
use actix_web::dev::Extensions;
use actix_web::rt::net;

/// A duplicate of the socket that a request came on.
struct Socket(TcpStream);

/// Stores a duplicate of the socket in the data of every new connection. Servers pass this as their
/// `on_connect` callback.
pub(crate) fn store_socket(connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<net::TcpStream>() else {
        return;
    };
    if let Ok(descriptor) = stream.as_fd().try_clone_to_owned() {
        data.insert(Socket(descriptor.into()));
    }
}

/// Shuts down the connection that `request` came on; a response sent after this is lost.
pub(crate) fn shut_down(request: &HttpRequest) {
    if let Some(Socket(stream)) = request.conn_data() {
        // An error means that the connection is closed already.
        let _ = stream.shutdown(Shutdown::Both);
    }
}
