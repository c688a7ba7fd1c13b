//! A fleet of five real forwarders under load that agree on their policy at a Consul, each over a fault proxy of its own;
//! whoever proposes is a process too. Every message handed in is followed to its one end.

use orchidyoke_fakes::NetworkFault;
use orchidyoke_fakes::fleet::{ClientLoad, Fleet, MEMBER_TTL};
use serde_json::json;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const FLEET: usize = 5;
const PATIENCE: Duration = Duration::from_secs(30);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_orchidyoke"))
}

fn fleet(name: &str) -> Fleet {
    let fleet = Fleet::with_policy_commit(program(), &format!("policy-{name}"), FLEET, ClientLoad::default());
    wait("all are ready", || (0..FLEET).all(|number| is_ready(&fleet, number)));
    fleet
}

fn wait(what: &str, done: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < until, "it did not come about that {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn is_ready(fleet: &Fleet, number: usize) -> bool {
    fleet.console_command(number, "ready").is_some_and(|reply| reply.starts_with("200"))
}

fn epoch(fleet: &Fleet, number: usize) -> Option<u64> {
    fleet.metric(number, "app_policy_epoch")
}

fn epochs(fleet: &Fleet) -> Vec<Option<u64>> {
    (0..FLEET).map(|number| epoch(fleet, number)).collect()
}

/// A policy that nobody's messages feel, told from others by its time.
fn harmless(idle_close_us: u64) -> String {
    json!({"settings": {"limits": {"idle_close_us": idle_close_us}}}).to_string()
}

/// Starts to propose a policy.
fn proposing(fleet: &Fleet, policy: &str, by: &str) -> Child {
    let file = fleet.write(&format!("policy-{by}.json"), policy);
    let mut command = command(fleet, "propose");
    command.arg(file).args(["--by", by, "--patience", "20"]);
    command.spawn().expect("the tool runs")
}

fn command(fleet: &Fleet, what: &str) -> Command {
    let mut command = Command::new(program());
    command.args(["policy", what, "--settings"]).arg(fleet.operator_settings());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Its end: whether it is committed, and all that it said.
fn told(child: Child) -> (bool, String) {
    let output = child.wait_with_output().expect("its end");
    let said = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&said).into_owned())
}

fn propose(fleet: &Fleet, policy: &str, by: &str) -> (bool, String) {
    told(proposing(fleet, policy, by))
}

fn status(fleet: &Fleet) -> String {
    told(command(fleet, "status").spawn().expect("the tool runs")).1
}

/// Waits until something is proposed and all but one have voted yes.
fn prepared_but_for(fleet: &Fleet, number: usize) {
    let voted = |status: &str| status.lines().filter(|line| line.ends_with("votes yes")).count();
    wait("all but one have voted", || {
        let status = status(fleet);
        status.contains(&format!("f{number}.")) && voted(&status) == FLEET - 1
    });
}

// Guards against a change that some take and some do not, or that loses or doubles a message; and against one that is
// told to be in force and is not: what it leaves out gets nothing more, from nobody.
#[test]
fn a_change_takes_hold_on_all_under_load() {
    let fleet = fleet("all");
    let (done, said) = propose(&fleet, r#"{"out": ["p1"]}"#, "op");
    assert!(done && said.contains("epoch 1 committed, in force everywhere after"), "{said}");
    assert_eq!(epochs(&fleet), [Some(1); FLEET]);
    // Calls that were out may end; those that begin after that are by the old policy.
    thread::sleep(Duration::from_millis(200));
    let before = fleet.destination.calls().len();
    thread::sleep(Duration::from_millis(500));
    assert_eq!(fleet.destination.calls().len(), before, "the only endpoint is left out");
    let (done, said) = propose(&fleet, "{}", "op");
    assert!(done && said.contains("epoch 2 committed"), "{said}");
    wait("calls go on", || fleet.destination.calls().len() > before + 20);
    assert_eq!(epochs(&fleet), [Some(2); FLEET]);
    let status = status(&fleet);
    assert!(
        status.contains("committed: epoch 2") && status.matches(": epoch 2").count() == FLEET + 1,
        "{status}"
    );
    fleet.stop_and_verify(false);
}

// Guards against a forwarder that was down during a change and works by the old policy after it is back.
#[test]
fn one_that_was_down_has_it_before_it_is_ready() {
    let mut fleet = fleet("down");
    fleet.kill_standalone(4);
    // It counts as one that is there until its session has ended.
    let (done, said) = propose(&fleet, &harmless(8_000_000), "op");
    assert!(done, "{said}");
    fleet.restart(4);
    // Whenever it says that it is ready, it has it.
    wait("it is ready", || {
        let ready = is_ready(&fleet, 4);
        assert!(!ready || epoch(&fleet, 4) == Some(1), "ready by the old policy");
        ready
    });
    assert_eq!(epochs(&fleet), [Some(1); FLEET]);
    fleet.stop_and_verify(true);
}

// Guards against a forwarder that is cut off and guesses, stops serving, says nothing of it, or holds up the others; and
// against one that goes on by the old policy once it is back.
#[test]
fn one_that_is_cut_off_serves_on_says_so_and_catches_up() {
    let fleet = fleet("cut");
    let cut = Instant::now();
    fleet.consul_link(2).set_fault(NetworkFault::Partition);
    wait("it says that it is cut off", || {
        fleet
            .console_command(2, "ready")
            .is_some_and(|reply| reply.starts_with("400 cut off from the commit point"))
    });
    assert!(cut.elapsed() < MEMBER_TTL, "before the others may go on without it: {:?}", cut.elapsed());
    assert_eq!(fleet.metric(2, "app_policy_contact"), Some(0));
    let (done, said) = propose(&fleet, &harmless(8_000_000), "op");
    assert!(done, "{said}");
    assert_eq!(epochs(&fleet), [Some(1), Some(1), Some(0), Some(1), Some(1)]);
    let served = |number| fleet.metric(number, "app_success{type=\"status\"}").expect("its figures");
    let before = served(2);
    wait("it serves on", || served(2) > before + 20);
    fleet.consul_link(2).set_fault(NetworkFault::None);
    wait("it is ready", || {
        let ready = is_ready(&fleet, 2);
        assert!(!ready || epoch(&fleet, 2) == Some(1), "ready by the old policy");
        ready
    });
    fleet.stop_and_verify(false);
}

// Guards against a change that nobody is left to commit being applied anyway, or keeping out the next one.
#[test]
fn a_proposer_killed_before_its_commit_leaves_nothing() {
    let fleet = fleet("killed");
    // One does not get to vote, and is not given up: what it says goes through, what it is told does not come.
    let mut tool = proposing_held_up(&fleet, &harmless(7_000_000), "first");
    tool.kill().expect("killed");
    tool.wait().expect("ended");
    fleet.consul_link(3).set_fault(NetworkFault::None);
    // The proposal goes with its proposer's session.
    wait("the proposal is gone", || !status(&fleet).contains("proposed:"));
    assert_eq!(epochs(&fleet), [Some(0); FLEET]);
    let (done, said) = propose(&fleet, &harmless(8_000_000), "second");
    assert!(done && said.contains("epoch 1 committed"), "{said}");
    wait("it is in force on all", || epochs(&fleet) == [Some(1); FLEET]);
    fleet.stop_and_verify(false);
}

/// Proposes while one is cut off, so that all others vote and the proposer waits for its vote, or its end.
fn proposing_held_up(fleet: &Fleet, policy: &str, by: &str) -> Child {
    fleet.consul_link(3).set_fault(NetworkFault::Partition);
    let tool = proposing(fleet, policy, by);
    prepared_but_for(fleet, 3);
    tool
}

// Guards against a proposal that an operator has withdrawn and that is committed all the same.
#[test]
fn a_withdrawn_proposal_is_committed_nowhere() {
    let fleet = fleet("abort");
    let tool = proposing_held_up(&fleet, &harmless(7_000_000), "op");
    let (done, said) = told(command(&fleet, "abort").spawn().expect("the tool runs"));
    assert!(done && said.contains("the proposal of epoch 1 by op is withdrawn"), "{said}");
    fleet.consul_link(3).set_fault(NetworkFault::None);
    let (done, said) = told(tool);
    assert!(!done && said.contains("withdrawn"), "{said}");
    wait("all are ready", || (0..FLEET).all(|number| is_ready(&fleet, number)));
    assert_eq!(epochs(&fleet), [Some(0); FLEET]);
    fleet.stop_and_verify(false);
}

// Guards against a policy that most can use and one cannot taking hold on most.
#[test]
fn a_policy_that_one_rejects_is_applied_by_none() {
    let fleet = fleet("rejects");
    let mut own = fleet.config(1);
    own["settings"]["family_info"].as_object_mut().expect("there").remove("slots");
    fleet.folder(1).write("config.json", &own.to_string());
    let (done, said) = propose(&fleet, &harmless(8_000_000), "op");
    assert!(!done && said.contains("refused by f1.") && said.contains("slots"), "{said}");
    assert_eq!(epochs(&fleet), [Some(0); FLEET]);
    assert!((0..FLEET).all(|number| is_ready(&fleet, number)), "all serve by what they had");
    fleet.stop_and_verify(false);
}

// Guards against two changes made at once that each take hold on a part of the fleet.
#[test]
fn of_two_proposers_at_once_one_wins_whole() {
    let fleet = fleet("race");
    // Votes take a while, so that the second finds the first at it.
    fleet.consul_link(0).set_fault(NetworkFault::Delay(Duration::from_millis(150)));
    let tools: Vec<_> =
        (0..4).map(|n| proposing(&fleet, &harmless(7_000_000 + n), &format!("op{n}"))).collect();
    let said: Vec<_> = tools.into_iter().map(told).collect();
    let won = said.iter().filter(|(done, _)| *done).count();
    assert!(won >= 1 && said.iter().any(|(_, said)| said.contains("proposes epoch")), "{said:?}");
    // As many epochs as there were winners, and all forwarders at the last.
    wait("all have the last", || epochs(&fleet) == [Some(won as u64); FLEET]);
    let status = status(&fleet);
    assert!(status.contains(&format!("committed: epoch {won}")) && !status.contains("proposed:"), "{status}");
    fleet.stop_and_verify(false);
}
