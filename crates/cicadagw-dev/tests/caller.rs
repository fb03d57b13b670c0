//! Tests of the load generator: outcomes and latencies of calls.

use std::net::{SocketAddr, TcpListener};

use actix_web::{App, HttpResponse, HttpServer, rt, web};
use cicadagw_dev::backend::{Backend, Change, Close, Echo, Handle, serve};
use cicadagw_dev::caller::{Load, OUTCOME_HEADER, Outcome, Report};
use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;
use tokio_util::sync::CancellationToken;

/// The number of calls that [`run_load`] sends.
const CALLS: u64 = 10;

/// Starts a test backend server.
fn backend() -> Handle {
    let service = "orders".parse().unwrap();
    let backend = Backend::builder()
        .endpoint(Backend::new_endpoint(&service, 1))
        .service(service)
        .build();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (server, handle) = serve(listener, backend).unwrap();
    rt::spawn(server);
    handle
}

/// Starts a server that responds to every call with `respond()`; returns its address.
fn server(respond: fn() -> HttpResponse) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = HttpServer::new(move || {
        App::new().default_service(web::to(move || async move { respond() }))
    });
    rt::spawn(server.workers(1).listen(listener).unwrap().run());
    address
}

/// Sends [`CALLS`] calls that ask for response bodies of 1,000 bytes.
async fn run_load(address: SocketAddr) -> Report {
    let load = Load::builder()
        .addresses(&[address])
        .min_response_bytes(1_000)
        .path("/orders")
        .rate(PerSecond::new(1_000))
        // At 1,000 calls per second, one call is sent per millisecond.
        .span(Span::new(CALLS))
        .build();
    load.run(CancellationToken::new()).await
}

#[actix_web::test]
async fn calls_with_their_own_responses_count_as_answered() {
    let backend = backend();

    let report = run_load(backend.address).await;

    assert_eq!(report.count(Outcome::Answered), CALLS);
    assert_eq!(report.total(), CALLS);
    assert_eq!(backend.stats().requests as u64, CALLS);
}

#[actix_web::test]
async fn latencies_include_the_execution_time_of_the_call() {
    /// The execution time of a call, in milliseconds.
    const EXECUTION_MS: u64 = 20;
    let backend = backend();
    backend.control(&Change {
        slow_ms: Some(EXECUTION_MS),
        ..Change::default()
    });

    let report = run_load(backend.address).await;

    assert!(report.latency().p50_us >= EXECUTION_MS * 1_000);
    assert!(report.latency().p50_us <= report.latency().max_us);
}

#[actix_web::test]
async fn a_truncated_response_counts_as_truncated() {
    let backend = backend();
    backend.control(&Change {
        close: Some(Close::MidResponse),
        close_calls: Some(1),
        ..Change::default()
    });

    let report = run_load(backend.address).await;

    assert_eq!(report.count(Outcome::Truncated), 1);
    assert_eq!(report.count(Outcome::Answered), CALLS - 1);
}

#[actix_web::test]
async fn a_connection_closed_after_execution_counts_as_no_response() {
    let backend = backend();
    backend.control(&Change {
        close: Some(Close::AfterExecution),
        close_calls: Some(1),
        ..Change::default()
    });

    let report = run_load(backend.address).await;

    assert_eq!(report.count(Outcome::NoResponse), 1);
    let request = &report.requests(Outcome::NoResponse)[0];
    assert_eq!(backend.executions(request), 1);
}

#[actix_web::test]
async fn a_response_with_another_request_id_counts_as_mismatched() {
    let address = server(|| {
        let echo = Echo {
            endpoint: "orders-1-a1b2".parse().unwrap(),
            executions: 1,
            received: 0,
            request: "another".into(),
            service: "orders".parse().unwrap(),
        };
        let mut body = echo.line();
        body.resize(1_000, b'.');
        HttpResponse::Ok().body(body)
    });

    let report = run_load(address).await;

    assert_eq!(report.count(Outcome::Mismatched), CALLS);
}

#[actix_web::test]
async fn an_outcome_header_determines_the_outcome_and_reason() {
    let not_run = server(|| {
        let mut response = HttpResponse::ServiceUnavailable();
        response
            .insert_header((OUTCOME_HEADER, "not-run"))
            .insert_header(("x-cicadagw-reason", "shed"))
            .finish()
    });
    let unknown = server(|| {
        let mut response = HttpResponse::BadGateway();
        response.insert_header((OUTCOME_HEADER, "unknown")).finish()
    });

    let not_run_report = run_load(not_run).await;
    let unknown_report = run_load(unknown).await;

    assert_eq!(not_run_report.count(Outcome::NotExecuted), CALLS);
    assert_eq!(not_run_report.reasons().get("shed"), Some(&CALLS));
    assert_eq!(unknown_report.count(Outcome::Unknown), CALLS);
}
