//! Connections that a stand-in can cut.

use std::any::Any;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;

use actix_web::HttpRequest;
use actix_web::dev::Extensions;
use actix_web::rt::net;

/// A second handle on the connection that a request came by.
struct Handle(TcpStream);

/// Keeps a handle on every new connection; servers get this as their `on_connect`.
pub(crate) fn keep(connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<net::TcpStream>() else {
        return;
    };
    if let Ok(descriptor) = stream.as_fd().try_clone_to_owned() {
        data.insert(Handle(descriptor.into()));
    }
}

/// Ends the connection that `request` came by; what is answered after this reaches nobody.
pub(crate) fn cut(request: &HttpRequest) {
    if let Some(Handle(stream)) = request.conn_data() {
        // A connection that has ended already is as good.
        let _ = stream.shutdown(Shutdown::Both);
    }
}
