//! The memory of this process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The interval between two samples.
const INTERVAL: Duration = Duration::from_millis(5);

/// Returns the resident memory of this process, in bytes.
pub fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    let kilobytes: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes << 10
}

/// Awaits `work`, and returns by how many bytes the resident memory grew meanwhile at most.
pub async fn growth(work: impl Future<Output = ()>) -> usize {
    let before = resident();
    let is_done = Arc::new(AtomicBool::new(false));
    let sampler = {
        let is_done = is_done.clone();
        thread::spawn(move || {
            let mut peak = before;
            while !is_done.load(Ordering::Relaxed) {
                peak = peak.max(resident());
                thread::park_timeout(INTERVAL);
            }
            peak
        })
    };
    work.await;
    is_done.store(true, Ordering::Relaxed);
    let peak = tokio::task::spawn_blocking(|| sampler.join().unwrap());
    peak.await.unwrap() - before
}
