//! Proposes policies at the commit point, one after another, as `orchidyoke policy` does.

use super::messages::clock;
use super::simulated_forwarder::policy_settings;
use orchidyoke_fakes::{FaultProxy, ServerRuntime, unused_loopback_address};
use orchidyoke_policy_commit::Coordinator;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;

/// Maximum time for a policy to be committed and then to be in force on all members.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Base value of the setting in which the policies differ, in microseconds. Each policy adds its number.
const FIRST_IDLE_CLOSE_US: u64 = 8_000_000;
/// Number of endpoints that a large policy excludes. Each takes 17 bytes of the policy.
const LARGE_POLICY_ENDPOINTS: usize = 1_000;

/// The size of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicySize {
    /// One setting, about 60 bytes.
    Small,
    /// One setting and [`LARGE_POLICY_ENDPOINTS`] excluded endpoints, about 17 KB.
    Large,
}

impl PolicySize {
    fn excluded_endpoints(self) -> Vec<String> {
        let count = match self {
            PolicySize::Small => 0,
            PolicySize::Large => LARGE_POLICY_ENDPOINTS,
        };
        (0..count).map(|number| format!("endpoint-{number:05}")).collect()
    }
}

/// A proposal that was committed.
#[derive(Clone, Copy, Debug)]
pub struct Proposal {
    /// Version of the policy.
    pub epoch: u64,
    /// Time of the proposal, in microseconds of [`clock`].
    pub proposed_at: u64,
    /// Time at which the commit was confirmed, in microseconds of [`clock`].
    pub committed_at: u64,
}

/// A task that proposes policies, one at a time.
pub struct Proposer {
    request_sender: UnboundedSender<PolicySize>,
    done: UnboundedReceiver<Result<Proposal, String>>,
    link: FaultProxy,
    _runtime: ServerRuntime,
}

impl Proposer {
    /// Starts the task for the commit point at this address.
    pub fn start(commit_point: SocketAddr, ttl: Duration) -> Self {
        let runtime = ServerRuntime::new();
        let link = FaultProxy::start(&runtime, unused_loopback_address(), commit_point);
        let mut coordinator = Coordinator::new(policy_settings(link.address, ttl));
        let (request_sender, mut requests) = unbounded_channel();
        let (sender, done) = unbounded_channel();
        spawn_local(async move {
            let mut number = 0;
            while let Some(size) = requests.recv().await {
                number += 1;
                let proposed = propose(&mut coordinator, number, size).await;
                // The receiver is dropped only when the experiment ends.
                drop(sender.send(proposed));
            }
        });
        Proposer { request_sender, done, link, _runtime: runtime }
    }

    /// Queues a proposal, which starts when the earlier ones are done.
    pub fn propose(&self, size: PolicySize) {
        // The task keeps the receiver for as long as this sender exists.
        let _ = self.request_sender.send(size);
    }

    /// Waits for the next policy that is committed and in force on all members.
    pub async fn next(&mut self) -> Result<Proposal, String> {
        self.done.recv().await.unwrap_or_else(|| Err("the proposer's task has ended".to_owned()))
    }

    /// Returns the bytes exchanged with the commit point, both directions.
    pub fn bytes(&self) -> u64 {
        self.link.counters().bytes_forwarded
    }
}

async fn propose(coordinator: &mut Coordinator, number: u64, size: PolicySize) -> Result<Proposal, String> {
    let idle_close = FIRST_IDLE_CLOSE_US + number;
    let settings = json!({"limits": {"idle_close_us": idle_close}});
    let policy = json!({"settings": settings, "out": size.excluded_endpoints()}).to_string();
    let proposed_at = clock();
    let report =
        coordinator.propose(&policy, "lab", PROPOSAL_TIMEOUT).await.map_err(|error| error.to_string())?;
    let since_commit = coordinator.last_commit().map_or(Duration::ZERO, |at| at.elapsed());
    let committed_at = clock() - since_commit.as_micros() as u64;
    Ok(Proposal { epoch: report.version, proposed_at, committed_at })
}
