//! The stand-in of a backend server announces itself, counts what it runs and fails as asked.

use std::net::{SocketAddr, TcpListener};

use actix_web::{App, HttpResponse, HttpServer, rt, web};
use cicadagw_dev::backend::{
    ANSWER_BYTES, Announcement, Answer, Backend, Change, Close, Handle, REQUEST_ID, Renewal, run,
    serve,
};
use cicadagw_endpoint::State;
use cicadagw_unit::time::Span;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const REQUEST: &str = "request-1";

fn orders() -> Backend {
    let service = "orders".parse().unwrap();
    Backend::builder()
        .endpoint(Backend::new_endpoint(&service, 1))
        .linger(Span::new(1))
        .service(service)
        .build()
}

fn backend() -> Handle {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (server, handle) = serve(listener, orders()).unwrap();
    rt::spawn(server);
    handle
}

/// Returns a backend server that ends the connection of the next call.
fn backend_that_closes(close: Close) -> Handle {
    let backend = backend();
    backend.control(&Change {
        close: Some(close),
        close_calls: Some(1),
        ..Change::default()
    });
    backend
}

fn call(address: SocketAddr) -> awc::SendClientRequest {
    awc::Client::default()
        .post(format!("http://{address}/orders"))
        .insert_header((REQUEST_ID, REQUEST))
        .send_body("crock")
}

/// What a node hears from a backend server.
#[derive(Debug, Eq, PartialEq)]
enum News {
    Announced(State),
    Ended(String),
}

/// Returns the announce address of a node, and what it hears.
fn node() -> (SocketAddr, mpsc::UnboundedReceiver<News>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::unbounded_channel();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(sender.clone()))
            .route("/announce", web::post().to(hear))
            .route("/announce/{endpoint}", web::delete().to(hear_end))
    });
    rt::spawn(server.workers(1).listen(listener).unwrap().run());
    (address, receiver)
}

async fn hear(
    sender: web::Data<mpsc::UnboundedSender<News>>,
    announcement: web::Json<Announcement>,
) -> HttpResponse {
    sender.send(News::Announced(announcement.state)).unwrap();
    HttpResponse::Ok().json(Renewal { renew_ms: 60_000 })
}

async fn hear_end(
    sender: web::Data<mpsc::UnboundedSender<News>>,
    endpoint: web::Path<String>,
) -> HttpResponse {
    sender.send(News::Ended(endpoint.into_inner())).unwrap();
    HttpResponse::Ok().finish()
}

#[actix_web::test]
async fn an_answer_names_its_request() {
    let backend = backend();

    let mut response = call(backend.address).await.unwrap();

    let answer = Answer::of_body(&response.body().await.unwrap()).unwrap();
    assert_eq!((answer.request.as_str(), answer.received), (REQUEST, 5));
    assert_eq!(backend.executions(REQUEST), 1);
}

#[actix_web::test]
async fn a_request_that_runs_twice_is_counted_as_doubled() {
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
async fn requests_without_an_id_are_not_taken_for_one() {
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
async fn an_answer_has_the_length_that_was_asked_for() {
    let backend = backend();
    let request = awc::Client::default().get(format!("http://{}/", backend.address));

    let mut response = request
        .insert_header((ANSWER_BYTES, "100000"))
        .send()
        .await
        .unwrap();

    assert_eq!(response.body().await.unwrap().len(), 100_000);
}

#[actix_web::test]
async fn a_call_that_is_shed_does_not_run() {
    let backend = backend();
    backend.control(&Change {
        shed: Some(true),
        ..Change::default()
    });

    let response = call(backend.address).await.unwrap();

    assert_eq!(response.status().as_u16(), 503);
    assert_eq!((backend.executions(REQUEST), backend.stats().shed), (0, 1));
}

#[actix_web::test]
async fn a_connection_can_end_before_the_request_runs() {
    let backend = backend_that_closes(Close::BeforeRun);

    let outcome = call(backend.address).await;

    assert!(outcome.is_err());
    assert_eq!(backend.executions(REQUEST), 0);
}

#[actix_web::test]
async fn a_connection_can_end_after_the_request_ran() {
    let backend = backend_that_closes(Close::AfterRun);

    let outcome = call(backend.address).await;

    assert!(outcome.is_err());
    assert_eq!(backend.executions(REQUEST), 1);
}

#[actix_web::test]
async fn a_connection_can_end_in_the_middle_of_the_answer() {
    let backend = backend_that_closes(Close::MidAnswer);

    let mut response = call(backend.address).await.unwrap();
    let declared = response.headers().get("content-length").unwrap().clone();
    let declared: usize = declared.to_str().unwrap().parse().unwrap();

    // The library ends a body that was cut as if it were whole, so the length tells.
    let body = response.body().await;
    assert!(body.is_ok_and(|body| body.len() < declared));
    assert_eq!(backend.executions(REQUEST), 1);
}

#[actix_web::test]
async fn a_server_that_ends_announces_that_it_drains_and_then_that_it_is_gone() {
    let (node, mut news) = node();
    let backend = Backend {
        announce: Some(node),
        ..orders()
    };
    let endpoint = backend.endpoint.to_string();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (server, handle) = serve(listener, backend).unwrap();
    let end = CancellationToken::new();
    let running = rt::spawn(run(server, handle, end.clone()));

    let ready = news.recv().await;
    end.cancel();
    let draining = news.recv().await;
    let ended = news.recv().await;

    assert_eq!(ready, Some(News::Announced(State::Ready)));
    assert_eq!(draining, Some(News::Announced(State::Draining)));
    assert_eq!(ended, Some(News::Ended(endpoint)));
    assert!(running.await.unwrap().is_ok());
}
