//! Simulated forwarders. Each runs the policy participant, the membership and the lease manager of a forwarder with its
//! own sockets and files, and takes no traffic. Several of them share a process.

use super::messages::{InForce, MembersRole, Report, Request, clock};
use super::reporting::report;
use orchidyoke_consul::Settings as ConsulSettings;
use orchidyoke_consul::locks::LockClient;
use orchidyoke_forwarder::input::Input;
use orchidyoke_forwarder::policy_overlay::PolicyOverlay;
use orchidyoke_forwarder::policy_participant::PolicyParticipant;
use orchidyoke_forwarder::reload::ConfigSource;
use orchidyoke_leases::{LeaseConfig, LeaseManager, ManagerConfig};
use orchidyoke_policy_commit::{ConsulParticipant, Settings as PolicySettings};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Prefix of the policy's keys.
pub const POLICY_PREFIX: &str = "lab/policy";
/// Prefix of the lease keys in each region's store.
pub const LEASES_PREFIX: &str = "lab/duties";
/// Time for which a lease cannot be acquired after the session of its last holder has ended.
pub const LOCK_DELAY: Duration = Duration::from_secs(1);
/// Maximum relative difference in rate between two clocks.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Maximum duration of an action that a lease protects.
const MAX_ACTION_TIME: Duration = Duration::from_millis(500);
/// Time from a failed acquisition of a lease, or a failed read of all members, to the next one.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of concurrent lease acquisitions.
const MAX_CONCURRENT_ACQUIRES: usize = 4;
/// Maximum time for a member to release its leases at a graceful stop. After that the member is dropped regardless.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the policy settings for a commit point at this address.
pub fn policy_settings(address: SocketAddr, ttl: Duration) -> PolicySettings {
    let consul = ConsulSettings { addresses: vec![address], ..ConsulSettings::default() };
    PolicySettings { consul, prefix: POLICY_PREFIX.to_owned(), name: None, ttl }
}

/// A running simulated forwarder.
struct SimulatedForwarder {
    participant: Rc<ConsulParticipant>,
    participant_task: JoinHandle<()>,
    lease_manager: Rc<LeaseManager>,
    lease_task: JoinHandle<()>,
    /// Task that reads all members repeatedly. `None` except under sabotage.
    read_task: Option<JoinHandle<()>>,
}

impl SimulatedForwarder {
    fn start(role: &MembersRole, name: &str) -> Self {
        let (participant, participant_task) = start_participant(role, name);
        let (lease_manager, lease_task) = start_lease_manager(role, name);
        let read_all = || spawn_local(read_all_members(policy_settings(role.policy, role.ttl)));
        let read_task = role.reads_all_members.then(read_all);
        SimulatedForwarder { participant, participant_task, lease_manager, lease_task, read_task }
    }

    /// Deregisters the participant, releases the leases and stops.
    async fn leave(mut self) {
        // The participant's task would open another session if it still ran.
        self.participant_task.abort();
        self.participant.deregister().await;
        self.lease_manager.shut_down();
        if timeout(LEAVE_TIMEOUT, &mut self.lease_task).await.is_err() {
            eprintln!("a member did not stop within {LEAVE_TIMEOUT:?}");
        }
    }
}

impl Drop for SimulatedForwarder {
    fn drop(&mut self) {
        self.participant_task.abort();
        self.lease_task.abort();
        self.read_task.iter().for_each(JoinHandle::abort);
    }
}

fn start_participant(role: &MembersRole, name: &str) -> (Rc<ConsulParticipant>, JoinHandle<()>) {
    let folder = role.folder.join(name);
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("{}: {error}", folder.display());
    }
    let participant = ConsulParticipant::new(policy_settings(role.policy, role.ttl), name, &folder);
    let source = Rc::new(ConfigSource { path: role.configuration.clone(), ..ConfigSource::default() });
    let (running, name) = (participant.clone(), name.to_owned());
    let task = spawn_local(async move {
        let (inputs, mut received) = unbounded_channel();
        running.join(&source).await;
        let report_policies = async {
            while let Some(input) = received.recv().await {
                if matches!(input, Input::ConfigReloaded(_)) {
                    let (name, epoch) = (name.clone(), running.version());
                    report(&Report::InForce(InForce { name, epoch, at: clock() }));
                }
            }
        };
        tokio::join!(running.clone().follow(source, inputs), report_policies);
    });
    (participant, task)
}

fn start_lease_manager(role: &MembersRole, name: &str) -> (Rc<LeaseManager>, JoinHandle<()>) {
    let micros = |span: Duration| span.as_micros() as i64;
    let protocol = LeaseConfig {
        ttl: micros(role.ttl),
        clock_drift: MAX_CLOCK_DRIFT,
        max_action_time: micros(MAX_ACTION_TIME),
        retry_interval: micros(RETRY_INTERVAL),
        max_concurrent_acquires: MAX_CONCURRENT_ACQUIRES,
    };
    let config = ManagerConfig {
        name: name.to_owned(),
        weight: 1.0,
        key_prefix: LEASES_PREFIX.to_owned(),
        leases: (0..role.lease_count).collect(),
        lock_delay: LOCK_DELAY,
        protocol,
    };
    let settings = ConsulSettings { addresses: vec![role.leases], ..ConsulSettings::default() };
    let lease_manager = Rc::new(LeaseManager::new(config, Rc::new(settings)));
    let running = lease_manager.clone();
    (lease_manager, spawn_local(async move { running.run().await }))
}

/// Reads all members of the fleet at each change to one of them, with one blocking query after another and no pause.
async fn read_all_members(settings: PolicySettings) {
    let mut locks = LockClient::new(Rc::new(settings.consul.clone()));
    let mut index = 0;
    loop {
        match locks.read_keys(&settings.members_folder(), index, settings.ttl).await {
            Ok((at, _)) => index = at,
            Err(_) => sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Runs the simulated forwarders of one process until the request channel closes.
pub async fn run(role: MembersRole, mut requests: UnboundedReceiver<Request>) {
    report(&Report::Up);
    let role = Rc::new(role);
    let mut members: BTreeMap<String, SimulatedForwarder> = BTreeMap::new();
    // Members that were stopped gracefully and have started again.
    let (restarted_sender, mut restarted_receiver) = unbounded_channel();
    loop {
        let request = tokio::select! {
            request = requests.recv() => request,
            Some((name, member)) = restarted_receiver.recv() => {
                members.insert(name, member);
                continue;
            }
        };
        match request {
            None => return,
            Some(Request::Begin) => {
                members = role
                    .names
                    .iter()
                    .map(|name| (name.clone(), SimulatedForwarder::start(&role, name)))
                    .collect();
            }
            Some(Request::Restart(name)) => {
                let Some(member) = members.remove(&name) else { continue };
                let (role, restarted_sender) = (role.clone(), restarted_sender.clone());
                spawn_local(async move {
                    member.leave().await;
                    report(&Report::Restarted(name.clone()));
                    let member = SimulatedForwarder::start(&role, &name);
                    // The receiver is dropped only when the process exits.
                    drop(restarted_sender.send((name, member)));
                });
            }
            Some(Request::Kill(name)) => drop(members.remove(&name)),
            Some(request) => eprintln!("not a request for a members process: {request:?}"),
        }
    }
}
