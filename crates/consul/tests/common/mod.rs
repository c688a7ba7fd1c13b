//! Runs tests against the fake Consul.

use std::future::Future;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Time-out of a whole test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a test on one thread, as the forwarder does.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = LocalSet::new();
    runtime.block_on(
        local.run_until(async { timeout(TEST_TIMEOUT, test).await.expect("the test ends in time") }),
    );
}
