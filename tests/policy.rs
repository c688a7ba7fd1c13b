//! Tests of policy changes on a fleet of five real forwarders under load. Each forwarder is connected to Consul through
//! its own fault proxy, and the coordinator is a separate process. The tests check that every submitted message has one
//! final answer.

use orchidyoke_fakes::NetworkFault;
use orchidyoke_fakes::fleet::{ClientLoad, Fleet, MEMBER_TTL};
use serde_json::json;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const FLEET: usize = 5;
const TIMEOUT: Duration = Duration::from_secs(30);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_orchidyoke"))
}

fn fleet(name: &str) -> Fleet {
    let fleet = Fleet::with_policy_commit(program(), &format!("policy-{name}"), FLEET, ClientLoad::default());
    wait_until("all forwarders are ready", || (0..FLEET).all(|number| is_ready(&fleet, number)));
    fleet
}

fn wait_until(what: &str, done: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn is_ready(fleet: &Fleet, number: usize) -> bool {
    fleet.console_command(number, "ready").is_some_and(|reply| reply.starts_with("200"))
}

fn version(fleet: &Fleet, number: usize) -> Option<u64> {
    fleet.metric(number, "app_policy_epoch")
}

fn versions(fleet: &Fleet) -> Vec<Option<u64>> {
    (0..FLEET).map(|number| version(fleet, number)).collect()
}

/// Returns a policy that has no effect on messages. Different values of `idle_close_us` give different policies.
fn harmless_policy(idle_close_us: u64) -> String {
    json!({"settings": {"limits": {"idle_close_us": idle_close_us}}}).to_string()
}

/// Starts a command that proposes a policy.
fn start_proposing(fleet: &Fleet, policy: &str, by: &str) -> Child {
    let file = fleet.write(&format!("policy-{by}.json"), policy);
    let mut command = command(fleet, "propose");
    command.arg(file).args(["--by", by, "--patience", "20"]);
    command.spawn().expect("command started")
}

fn command(fleet: &Fleet, what: &str) -> Command {
    let mut command = Command::new(program());
    command.args(["policy", what, "--settings"]).arg(fleet.operator_settings());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Waits for the command to end. Returns whether it succeeded, and its output.
fn finish(child: Child) -> (bool, String) {
    let output = child.wait_with_output().expect("command finished");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

fn propose(fleet: &Fleet, policy: &str, by: &str) -> (bool, String) {
    finish(start_proposing(fleet, policy, by))
}

fn status(fleet: &Fleet) -> String {
    finish(command(fleet, "status").spawn().expect("command started")).1
}

/// Waits until a policy is proposed and all forwarders but this one have voted for it.
fn wait_for_all_votes_except(fleet: &Fleet, number: usize) {
    let voted = |status: &str| status.lines().filter(|line| line.ends_with("votes yes")).count();
    wait_until("all forwarders but one have voted", || {
        let status = status(fleet);
        status.contains(&format!("f{number}.")) && voted(&status) == FLEET - 1
    });
}

// Guards against a change that is in force on only a part of the fleet, and against one that loses or duplicates a
// message. Also guards against a change that is reported in force but is not. Here the change excludes an endpoint,
// which then must get no more messages.
#[test]
fn committed_policy_is_in_force_on_all_forwarders_under_load() {
    let fleet = fleet("all");
    let (success, output) = propose(&fleet, r#"{"out": ["p1"]}"#, "op");
    assert!(success && output.contains("epoch 1 committed, in force everywhere after"), "{output}");
    assert_eq!(versions(&fleet), [Some(1); FLEET]);
    // Calls in flight may still end. A call that starts after this pause would follow the old policy.
    thread::sleep(Duration::from_millis(200));
    let before = fleet.destination.calls().len();
    thread::sleep(Duration::from_millis(500));
    assert_eq!(fleet.destination.calls().len(), before, "the only endpoint is excluded");
    let (success, output) = propose(&fleet, "{}", "op");
    assert!(success && output.contains("epoch 2 committed"), "{output}");
    wait_until("calls are made again", || fleet.destination.calls().len() > before + 20);
    assert_eq!(versions(&fleet), [Some(2); FLEET]);
    let status = status(&fleet);
    assert!(
        status.contains("committed: epoch 2") && status.matches(": epoch 2").count() == FLEET + 1,
        "{status}"
    );
    fleet.stop_and_verify(false);
}

// Guards against a forwarder that was down during a change and reports ready with the old policy after its restart.
#[test]
fn restarted_forwarder_has_the_committed_policy_before_it_is_ready() {
    let mut fleet = fleet("down");
    fleet.kill_standalone(4);
    // The killed forwarder counts as a participant until its session has expired.
    let (success, output) = propose(&fleet, &harmless_policy(8_000_000), "op");
    assert!(success, "{output}");
    fleet.restart(4);
    // Whenever the forwarder reports ready, the committed policy must be in force.
    wait_until("the forwarder is ready", || {
        let ready = is_ready(&fleet, 4);
        assert!(!ready || version(&fleet, 4) == Some(1), "ready with the old policy");
        ready
    });
    assert_eq!(versions(&fleet), [Some(1); FLEET]);
    fleet.stop_and_verify(true);
}

// Guards against a forwarder disconnected from Consul that stops serving, does not report the disconnection, or blocks
// the others. Also guards against one that reports ready with the old policy once it is connected again.
#[test]
fn disconnected_forwarder_reports_its_state_keeps_serving_and_catches_up() {
    let fleet = fleet("cut");
    let disconnected_at = Instant::now();
    fleet.consul_link(2).set_fault(NetworkFault::Partition);
    wait_until("the forwarder reports that it is disconnected", || {
        fleet
            .console_command(2, "ready")
            .is_some_and(|reply| reply.starts_with("400 cut off from the commit point"))
    });
    assert!(
        disconnected_at.elapsed() < MEMBER_TTL,
        "reported only after the others may commit without it: {:?}",
        disconnected_at.elapsed()
    );
    assert_eq!(fleet.metric(2, "app_policy_contact"), Some(0));
    let (success, output) = propose(&fleet, &harmless_policy(8_000_000), "op");
    assert!(success, "{output}");
    assert_eq!(versions(&fleet), [Some(1), Some(1), Some(0), Some(1), Some(1)]);
    let served =
        |number| fleet.metric(number, "app_success{type=\"status\"}").expect("metric of the forwarder");
    let before = served(2);
    wait_until("the disconnected forwarder continues to serve", || served(2) > before + 20);
    fleet.consul_link(2).set_fault(NetworkFault::None);
    wait_until("the forwarder is ready", || {
        let ready = is_ready(&fleet, 2);
        assert!(!ready || version(&fleet, 2) == Some(1), "ready with the old policy");
        ready
    });
    fleet.stop_and_verify(false);
}

// Guards against a proposal that is applied although its coordinator was killed, or that blocks the next proposal.
#[test]
fn coordinator_killed_before_its_commit_leaves_no_proposal() {
    let fleet = fleet("killed");
    // One forwarder cannot vote, and counts as a participant until its session has expired. The coordinator is killed
    // before that, while it waits for the vote.
    let mut process = start_blocked_proposal(&fleet, &harmless_policy(7_000_000), "first");
    process.kill().expect("process killed");
    process.wait().expect("process exited");
    fleet.consul_link(3).set_fault(NetworkFault::None);
    // The proposal is deleted with its coordinator's session.
    wait_until("the proposal is deleted", || !status(&fleet).contains("proposed:"));
    assert_eq!(versions(&fleet), [Some(0); FLEET]);
    let (success, output) = propose(&fleet, &harmless_policy(8_000_000), "second");
    assert!(success && output.contains("epoch 1 committed"), "{output}");
    wait_until("the policy is in force on all forwarders", || versions(&fleet) == [Some(1); FLEET]);
    fleet.stop_and_verify(false);
}

/// Starts a proposal while one forwarder is disconnected, so that the coordinator has all other votes and waits for
/// that one.
fn start_blocked_proposal(fleet: &Fleet, policy: &str, by: &str) -> Child {
    fleet.consul_link(3).set_fault(NetworkFault::Partition);
    let process = start_proposing(fleet, policy, by);
    wait_for_all_votes_except(fleet, 3);
    process
}

// Guards against a withdrawn proposal that is committed.
#[test]
fn withdrawn_proposal_is_committed_nowhere() {
    let fleet = fleet("abort");
    let process = start_blocked_proposal(&fleet, &harmless_policy(7_000_000), "op");
    let (success, output) = finish(command(&fleet, "abort").spawn().expect("command started"));
    assert!(success && output.contains("the proposal of epoch 1 by op is withdrawn"), "{output}");
    fleet.consul_link(3).set_fault(NetworkFault::None);
    let (success, output) = finish(process);
    assert!(!success && output.contains("withdrawn"), "{output}");
    wait_until("all forwarders are ready", || (0..FLEET).all(|number| is_ready(&fleet, number)));
    assert_eq!(versions(&fleet), [Some(0); FLEET]);
    fleet.stop_and_verify(false);
}

// Guards against a policy that is in force on all forwarders except one that cannot use it.
#[test]
fn policy_rejected_by_one_forwarder_is_applied_by_none() {
    let fleet = fleet("rejects");
    let mut config = fleet.config(1);
    config["settings"]["family_info"].as_object_mut().expect("JSON object").remove("slots");
    fleet.folder(1).write("config.json", &config.to_string());
    let (success, output) = propose(&fleet, &harmless_policy(8_000_000), "op");
    assert!(!success && output.contains("refused by f1.") && output.contains("slots"), "{output}");
    assert_eq!(versions(&fleet), [Some(0); FLEET]);
    assert!(
        (0..FLEET).all(|number| is_ready(&fleet, number)),
        "all forwarders serve with the previous policy"
    );
    fleet.stop_and_verify(false);
}

// Guards against two concurrent changes that are each in force on a part of the fleet.
#[test]
fn concurrent_proposals_are_committed_one_at_a_time_on_all_forwarders() {
    let fleet = fleet("race");
    // Delays the votes of one forwarder, so that the second coordinator finds an open proposal.
    fleet.consul_link(0).set_fault(NetworkFault::Delay(Duration::from_millis(150)));
    let processes: Vec<_> =
        (0..4).map(|n| start_proposing(&fleet, &harmless_policy(7_000_000 + n), &format!("op{n}"))).collect();
    let results: Vec<_> = processes.into_iter().map(finish).collect();
    let committed = results.iter().filter(|(success, _)| *success).count();
    assert!(
        committed >= 1 && results.iter().any(|(_, output)| output.contains("proposes epoch")),
        "{results:?}"
    );
    // Each committed policy has its own version, and all forwarders end at the last one.
    wait_until("all reach the last version", || versions(&fleet) == [Some(committed as u64); FLEET]);
    let status = status(&fleet);
    assert!(
        status.contains(&format!("committed: epoch {committed}")) && !status.contains("proposed:"),
        "{status}"
    );
    fleet.stop_and_verify(false);
}
