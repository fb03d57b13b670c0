//! A reading of the resources that one node has used since its start.

use std::io;

use cicadagw_unit::time::Span;

use super::proc::{self, Memory};
use crate::process::{Metrics, Node};

/// A reading of one node: its memory now, and its metrics and CPU time since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) memory: Memory,
    pub(crate) metrics: Metrics,
    pub(crate) cpu_time: Span,
}

impl Sample {
    /// Reads the metrics page and `/proc` of a running node.
    pub(crate) async fn take(node: &Node) -> io::Result<Self> {
        let process = node.process.as_ref();
        let process = process.ok_or_else(|| io::Error::other("the node is not running"))?;
        let (cpu_time, memory) = proc::read(process.pid())?;
        let metrics = Metrics::read(node.admin).await.map_err(io::Error::other)?;
        Ok(Self {
            memory,
            metrics,
            cpu_time,
        })
    }
}
