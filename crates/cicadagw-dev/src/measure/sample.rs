//! What one node has used so far.

use std::io;

use cicadagw_unit::time::Span;

use super::proc::{self, Memory};
use crate::process::{Metrics, Node};

/// What one node has used so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) memory: Memory,
    pub(crate) meters: Metrics,
    pub(crate) processor: Span,
}

impl Sample {
    pub(crate) async fn take(node: &Node) -> io::Result<Self> {
        let process = node.process.as_ref();
        let process = process.ok_or_else(|| io::Error::other("the node does not run"))?;
        let (processor, memory) = proc::read(process.pid())?;
        let meters = Metrics::read(node.admin).await.map_err(io::Error::other)?;
        Ok(Self {
            memory,
            meters,
            processor,
        })
    }
}
