//! Tests of the test backend server: announcements, counts of executions and injected faults.

use std::net::{SocketAddr, TcpListener};

use actix_web::{App, HttpResponse, HttpServer, rt, web};
use cicadagw_dev::backend::{
    Acknowledgement, Announcement, Backend, Change, Close, Echo, Handle, REQUEST_ID_HEADER,
    RESPONSE_BYTES_HEADER, run, serve,
};
use cicadagw_endpoint::State;
use cicadagw_unit::time::Span;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// The id of the request that [`call`] sends.
const REQUEST_ID: &str = "request-1";

/// Returns the configuration of a backend server of the service `orders`.
fn orders() -> Backend {
    let service = "orders".parse().unwrap();
    Backend::builder()
        .endpoint(Backend::new_endpoint(&service, 1))
        .linger(Span::new(1))
        .service(service)
        .build()
}

/// Starts a backend server that announces nothing.
fn backend() -> Handle {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (server, handle) = serve(listener, orders()).unwrap();
    rt::spawn(server);
    handle
}

/// Starts a backend server that closes the connection of the next call at the point `close`.
fn backend_that_closes(close: Close) -> Handle {
    let backend = backend();
    backend.control(&Change {
        close: Some(close),
        close_calls: Some(1),
        ..Change::default()
    });
    backend
}

/// Returns a call with a request id and a body of 5 bytes.
fn call(address: SocketAddr) -> awc::SendClientRequest {
    awc::Client::default()
        .post(format!("http://{address}/orders"))
        .insert_header((REQUEST_ID_HEADER, REQUEST_ID))
        .send_body("crock")
}

/// A request that a node receives from a backend server.
#[derive(Debug, Eq, PartialEq)]
enum Received {
    Announcement(State),
    Withdrawal(String),
}

/// Starts the announcement endpoint of a node; returns its address and the requests that it
/// receives.
fn node() -> (SocketAddr, mpsc::UnboundedReceiver<Received>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::unbounded_channel();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(sender.clone()))
            .route("/announce", web::post().to(record_announcement))
            .route("/announce/{endpoint}", web::delete().to(record_withdrawal))
    });
    rt::spawn(server.workers(1).listen(listener).unwrap().run());
    (address, receiver)
}

async fn record_announcement(
    sender: web::Data<mpsc::UnboundedSender<Received>>,
    announcement: web::Json<Announcement>,
) -> HttpResponse {
    sender
        .send(Received::Announcement(announcement.state))
        .unwrap();
    HttpResponse::Ok().json(Acknowledgement { renew_ms: 60_000 })
}

async fn record_withdrawal(
    sender: web::Data<mpsc::UnboundedSender<Received>>,
    endpoint: web::Path<String>,
) -> HttpResponse {
    sender
        .send(Received::Withdrawal(endpoint.into_inner()))
        .unwrap();
    HttpResponse::Ok().finish()
}

#[actix_web::test]
async fn a_response_echoes_the_request_id() {
    let backend = backend();

    let mut response = call(backend.address).await.unwrap();

    let echo = Echo::from_body(&response.body().await.unwrap()).unwrap();
    assert_eq!((echo.request.as_str(), echo.received), (REQUEST_ID, 5));
    assert_eq!(backend.executions(REQUEST_ID), 1);
}

#[actix_web::test]
async fn a_request_executed_twice_is_counted_as_duplicated() {
    let backend = backend();

    call(backend.address).await.unwrap();
    call(backend.address).await.unwrap();

    let stats = backend.stats();
    assert_eq!(
        (stats.duplicated, stats.executions, stats.requests),
        (1, 2, 1)
    );
}

#[actix_web::test]
async fn requests_without_an_id_are_not_counted_as_duplicated() {
    let backend = backend();
    let http = awc::Client::default();

    for _ in 0..2 {
        let request = http.get(format!("http://{}/", backend.address));
        request.send().await.unwrap();
    }

    let stats = backend.stats();
    assert_eq!((stats.duplicated, stats.executions), (0, 2));
}

#[actix_web::test]
async fn a_response_body_has_the_requested_size() {
    let backend = backend();
    let request = awc::Client::default().get(format!("http://{}/", backend.address));

    let mut response = request
        .insert_header((RESPONSE_BYTES_HEADER, "100000"))
        .send()
        .await
        .unwrap();

    assert_eq!(response.body().await.unwrap().len(), 100_000);
}

#[actix_web::test]
async fn a_shed_call_gets_503_and_is_not_executed() {
    let backend = backend();
    backend.control(&Change {
        shed: Some(true),
        ..Change::default()
    });

    let response = call(backend.address).await.unwrap();

    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(
        (backend.executions(REQUEST_ID), backend.stats().shed),
        (0, 1)
    );
}

#[actix_web::test]
async fn close_before_execution_closes_the_connection_without_an_execution() {
    let backend = backend_that_closes(Close::BeforeExecution);

    let result = call(backend.address).await;

    assert!(result.is_err());
    assert_eq!(backend.executions(REQUEST_ID), 0);
}

#[actix_web::test]
async fn close_after_execution_closes_the_connection_after_the_execution() {
    let backend = backend_that_closes(Close::AfterExecution);

    let result = call(backend.address).await;

    assert!(result.is_err());
    assert_eq!(backend.executions(REQUEST_ID), 1);
}

#[actix_web::test]
async fn close_mid_response_truncates_the_response_body() {
    let backend = backend_that_closes(Close::MidResponse);

    let mut response = call(backend.address).await.unwrap();
    let declared = response.headers().get("content-length").unwrap().clone();
    let declared: usize = declared.to_str().unwrap().parse().unwrap();

    // The HTTP client reports no error for a truncated body, so the test compares its length with
    // `content-length`.
    let body = response.body().await;
    assert!(body.is_ok_and(|body| body.len() < declared));
    assert_eq!(backend.executions(REQUEST_ID), 1);
}

#[actix_web::test]
async fn a_server_that_shuts_down_announces_draining_and_then_withdraws() {
    let (node, mut received) = node();
    let backend = Backend {
        announce: Some(node),
        ..orders()
    };
    let endpoint = backend.endpoint.to_string();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (server, handle) = serve(listener, backend).unwrap();
    let end = CancellationToken::new();
    let running = rt::spawn(run(server, handle, end.clone()));

    let ready = received.recv().await;
    end.cancel();
    let draining = received.recv().await;
    let withdrawn = received.recv().await;

    assert_eq!(ready, Some(Received::Announcement(State::Ready)));
    assert_eq!(draining, Some(Received::Announcement(State::Draining)));
    assert_eq!(withdrawn, Some(Received::Withdrawal(endpoint)));
    assert!(running.await.unwrap().is_ok());
}
