//! The caller tells apart what became of its calls.

use std::net::{SocketAddr, TcpListener};

use actix_web::{App, HttpResponse, HttpServer, rt, web};
use cicadagw_dev::backend::{Answer, Backend, Change, Close, Handle, serve};
use cicadagw_dev::caller::{Load, OUTCOME_HEADER, Outcome, Report};
use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;
use tokio_util::sync::CancellationToken;

/// How many calls a load of these tests makes.
const CALLS: u64 = 10;

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

/// Returns the address of a server that answers every call by `answer`.
fn server(answer: fn() -> HttpResponse) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = HttpServer::new(move || {
        App::new().default_service(web::to(move || async move { answer() }))
    });
    rt::spawn(server.workers(1).listen(listener).unwrap().run());
    address
}

async fn load(address: SocketAddr) -> Report {
    let load = Load::builder()
        .addresses(&[address])
        .answer_bytes(1_000)
        .path("/orders")
        .rate(PerSecond::new(1_000))
        .span(Span::new(CALLS))
        .build();
    load.run(CancellationToken::new()).await
}

#[actix_web::test]
async fn every_call_is_answered_with_its_own_answer() {
    let backend = backend();

    let report = load(backend.address).await;

    assert_eq!(report.count(Outcome::Answered), CALLS);
    assert_eq!(report.total(), CALLS);
    assert_eq!(backend.stats().requests as u64, CALLS);
}

#[actix_web::test]
async fn a_latency_is_no_shorter_than_the_call() {
    const WORK: u64 = 20;
    let backend = backend();
    backend.control(&Change {
        slow_ms: Some(WORK),
        ..Change::default()
    });

    let report = load(backend.address).await;

    assert!(report.latency().p50_us >= WORK * 1_000);
    assert!(report.latency().p50_us <= report.latency().max_us);
}

#[actix_web::test]
async fn an_answer_that_is_cut_is_told() {
    let backend = backend();
    backend.control(&Change {
        close: Some(Close::MidAnswer),
        close_calls: Some(1),
        ..Change::default()
    });

    let report = load(backend.address).await;

    assert_eq!(report.count(Outcome::Truncated), 1);
    assert_eq!(report.count(Outcome::Answered), CALLS - 1);
}

#[actix_web::test]
async fn an_answer_that_does_not_come_is_told() {
    let backend = backend();
    backend.control(&Change {
        close: Some(Close::AfterRun),
        close_calls: Some(1),
        ..Change::default()
    });

    let report = load(backend.address).await;

    assert_eq!(report.count(Outcome::NoResponse), 1);
    let lost = &report.requests(Outcome::NoResponse)[0];
    assert_eq!(backend.executions(lost), 1);
}

#[actix_web::test]
async fn an_answer_to_another_call_is_told() {
    let address = server(|| {
        let answer = Answer {
            endpoint: "orders-1-a1b2".parse().unwrap(),
            executions: 1,
            received: 0,
            request: "another".into(),
            service: "orders".parse().unwrap(),
        };
        let mut body = answer.line();
        body.resize(1_000, b'.');
        HttpResponse::Ok().body(body)
    });

    let report = load(address).await;

    assert_eq!(report.count(Outcome::Mismatched), CALLS);
}

#[actix_web::test]
async fn the_outcome_that_a_node_names_is_told() {
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

    let of_not_run = load(not_run).await;
    let of_unknown = load(unknown).await;

    assert_eq!(of_not_run.count(Outcome::NotRun), CALLS);
    assert_eq!(of_not_run.reasons().get("shed"), Some(&CALLS));
    assert_eq!(of_unknown.count(Outcome::Unknown), CALLS);
}
