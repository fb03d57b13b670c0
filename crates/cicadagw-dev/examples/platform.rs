//! Runs the fake platform.

use std::net::TcpListener;
use std::process::ExitCode;

use cicadagw_dev::platform;
use cicadagw_dev::process::print_listening;

use flags::Platform;

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// A fake platform that serves the object API; objects are kept in memory.
        cmd platform {
            /// The listen address; port 0 for any free port.
            required address: SocketAddr
        }
    }
}

#[actix_web::main]
async fn main() -> ExitCode {
    let flags = Platform::from_env_or_exit();
    let listener = match TcpListener::bind(flags.address) {
        Ok(listener) => listener,
        Err(error) => {
            anstream::eprintln!("cannot listen on {}: {error}", flags.address);
            return ExitCode::FAILURE;
        }
    };
    let outcome = match platform::serve(listener) {
        Ok((server, handle)) => {
            print_listening(handle.address);
            server.await
        }
        Err(error) => Err(error),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            anstream::eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
