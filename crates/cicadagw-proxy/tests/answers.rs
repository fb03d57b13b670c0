//! Generated responses of a backend server, beside it and at another node: a caller gets that response, a
//! failure of a node, or a response that is visibly cut, and the next call is answered.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::fuzz::{Case, case};
use support::mesh::{Mesh, Node};
use support::reference::{End, Reading, read};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The first seed and the number of seeds; `ANSWERS_SEEDS=FIRST,COUNT` replaces them.
const SEEDS: (u64, u64) = (1, 2_000);

/// How many cases run at the same time.
const CONCURRENT: usize = 16;

/// The time within which a call must end; far longer than it takes.
const TIMEOUT: Duration = Duration::from_secs(20);

const ORDINARY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";

/// Two nodes; the backend server beside the second one responds as generated from the seed in the path.
async fn fixture() -> [Node; 2] {
    let mut mesh = Mesh::new();
    let nodes = [mesh.node("near"), mesh.node("far")];
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    nodes[1].announce("orders-1", address, "ready").await;
    mesh.propagate(&nodes[1]).await;
    nodes
}

async fn serve(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = support::backend::read(&mut stream).await {
        let seed = request.path.rsplit('/').next().unwrap().parse();
        let Ok(seed) = seed else {
            if stream.write_all(ORDINARY).await.is_err() {
                return;
            }
            continue;
        };
        let case = case(seed);
        if send(&mut stream, &case).await.is_err() {
            return;
        }
        match case.end {
            End::Open => {}
            End::Close => return,
            End::Reset => return stream.get_ref().set_zero_linger().unwrap(),
        }
    }
}

/// Sends the response of a case in its pieces.
async fn send(stream: &mut BufReader<TcpStream>, case: &Case) -> std::io::Result<()> {
    let mut rest = &case.response[..];
    for piece in &case.pieces {
        let (part, following) = rest.split_at((*piece).min(rest.len()));
        stream.write_all(part).await?;
        stream.flush().await?;
        sleep(Duration::from_millis(1)).await;
        rest = following;
    }
    stream.write_all(rest).await?;
    stream.flush().await
}

/// Makes a call on a connection of its own; returns what the node sends.
async fn call(node: SocketAddr, method: &str, path: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(node).await.unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.test\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    // A cut response may end with a reset.
    let reading = stream.read_to_end(&mut received);
    timeout(TIMEOUT, reading).await.expect("the call ends").ok();
    received
}

/// Returns whether the node states that a backend server has sent this response.
fn is_answered(received: &[u8]) -> bool {
    let text = String::from_utf8_lossy(received);
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    head.contains("x-cicadagw-outcome: answered")
}

/// Checks what a caller received in a case; returns a description of the violation.
fn check(case: &Case, received: &[u8]) -> Result<(), String> {
    let expected = read(&case.response, case.method, case.end);
    let reading = read(received, case.method, End::Close);
    let is_failure = !is_answered(received)
        && matches!(
            reading,
            Reading::Whole {
                status: 502..=504,
                ..
            }
        );
    let is_allowed = match (&expected, &reading) {
        // What the server sent before a reset may be lost.
        _ if is_failure => case.end == End::Reset || !matches!(expected, Reading::Whole { .. }),
        (
            Reading::Whole { status, body },
            Reading::Cut {
                status: found,
                body: start,
            },
        ) => case.end == End::Reset && status == found && body.starts_with(start),
        (
            Reading::Cut { status, body },
            Reading::Cut {
                status: found,
                body: start,
            },
        ) => status == found && body.starts_with(start),
        (Reading::Whole { .. }, _) => expected == reading,
        _ => false,
    };
    if is_allowed {
        return Ok(());
    }
    let shown = |bytes: &[u8]| String::from_utf8_lossy(&bytes[..bytes.len().min(300)]).into_owned();
    Err(format!(
        "{} with {:?}: sent {:?}, received {:?}",
        case.method,
        case.end,
        shown(&case.response),
        shown(received)
    ))
}

/// Runs the case of one seed at both nodes.
async fn run(nodes: [SocketAddr; 2], seed: u64) -> Vec<String> {
    let case = case(seed);
    let mut violations = Vec::new();
    for node in nodes {
        let received = call(node, case.method, &format!("/orders/{seed}")).await;
        if let Err(violation) = check(&case, &received) {
            violations.push(format!("seed {seed}: {violation}"));
        }
        let next = call(node, "GET", "/orders/ordinary").await;
        if !next.ends_with(b"\r\n\r\nown") {
            violations.push(format!("seed {seed}: the next call was not answered"));
        }
    }
    violations
}

fn seeds() -> (u64, u64) {
    let Ok(text) = std::env::var("ANSWERS_SEEDS") else {
        return SEEDS;
    };
    let (first, count) = text.split_once(',').expect("ANSWERS_SEEDS is FIRST,COUNT");
    (first.parse().unwrap(), count.parse().unwrap())
}

#[tokio::test]
async fn generated_responses_arrive_whole_or_fail_visibly() {
    let nodes = fixture().await;
    let addresses = [nodes[0].calls, nodes[1].calls];
    let (first, count) = seeds();

    let tasks: Vec<_> = (0..CONCURRENT)
        .map(|task| {
            tokio::spawn(async move {
                let mut violations = Vec::new();
                for seed in (first..first + count).skip(task).step_by(CONCURRENT) {
                    violations.extend(run(addresses, seed).await);
                }
                violations
            })
        })
        .collect();
    let mut violations = Vec::new();
    for task in tasks {
        violations.extend(task.await.unwrap());
    }

    assert!(
        violations.is_empty(),
        "{} violations: {:#?}",
        violations.len(),
        &violations[..violations.len().min(10)]
    );
}
