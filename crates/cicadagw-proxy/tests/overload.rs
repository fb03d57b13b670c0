//! Calls to a service whose endpoints are all full.

mod support;

use support::caller::get;
use support::mesh::Mesh;
use support::refusing::RefusingNode;

/// The number of endpoints of the own region that a call tries at most.
const TRIES_MAX: usize = 5;

/// Starts `count` nodes in `region` that refuse every call.
async fn refusing_nodes(mesh: &mut Mesh, region: &str, count: usize) -> Vec<RefusingNode> {
    let mut nodes = Vec::new();
    for index in 0..count {
        let node = RefusingNode::start().await;
        mesh.add_endpoint(&format!("{region}-{index}"), region, node.address);
        nodes.push(node);
    }
    nodes
}

fn calls(nodes: &[RefusingNode]) -> usize {
    nodes.iter().map(RefusingNode::calls).sum()
}

#[tokio::test]
async fn shed_call_tries_few_endpoints_of_its_region() {
    let mut mesh = Mesh::new();
    let caller = mesh.node("caller");
    let near = refusing_nodes(&mut mesh, "kochi", 8).await;

    let response = get("/orders").send(caller.calls).await;

    assert_eq!((response.status, response.reason()), (503, "shed"));
    assert_eq!(calls(&near), TRIES_MAX);
}

#[tokio::test]
async fn shed_call_asks_another_full_region_once() {
    let mut mesh = Mesh::new();
    let caller = mesh.node("caller");
    let near = refusing_nodes(&mut mesh, "kochi", 1).await;
    let far = refusing_nodes(&mut mesh, "kozhikode", 4).await;

    let response = get("/orders").send(caller.calls).await;

    assert_eq!((response.status, response.reason()), (503, "shed"));
    assert_eq!((calls(&near), calls(&far)), (1, 1));
}
