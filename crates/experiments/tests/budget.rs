//! Tests of an experiment's budget: the measurement over all its processes, and the errors for exceeded limits.

#[path = "../src/capacity"]
mod capacity {
    pub mod budget;
    pub mod process;
}

use capacity::budget::{Budget, BudgetError, BudgetUsage};
use capacity::process;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A shell that waits for the end of its input, with one child of its own.
struct WaitingShell(Child);

impl WaitingShell {
    fn start() -> Self {
        let script = "sleep 60 & read line; kill $!";
        let child = Command::new("sh").args(["-c", script]).stdin(Stdio::piped()).spawn();
        WaitingShell(child.expect("a shell"))
    }
}

impl Drop for WaitingShell {
    fn drop(&mut self) {
        // The shell kills its child and exits when its input ends.
        drop(self.0.stdin.take());
        drop(self.0.wait());
    }
}

fn wait_until(timeout: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}

// Guards against a measurement that misses children of the experiment or their descendants.
#[test]
fn usage_includes_all_descendants() {
    let shell = WaitingShell::start();
    let own = std::process::id();
    let process_tree = || process::process_tree(own).expect("a list of processes");
    assert!(wait_until(Duration::from_secs(10), || {
        process_tree().contains(&shell.0.id())
            && process::process_tree(shell.0.id()).is_ok_and(|all| all.len() == 2)
    }));
    let tight = Budget { processes: 2, ..Budget::for_this_machine().expect("a machine") };
    let Err(BudgetError::Processes { count, allowed: 2 }) = tight.check() else {
        panic!("3 exceed a limit of 2")
    };
    assert!(count >= 3, "{count}");
}

// Guards against a check that fails only after the step that exceeds the budget.
#[test]
fn budget_check_includes_the_next_step() {
    let budget = Budget::for_this_machine().expect("a machine");
    let used = budget.check().expect("within the budget");
    assert!(used.resident > 0 && used.processes >= 1 && used.descriptors >= 3, "{used:?}");
    let memory = BudgetUsage { resident: budget.resident, ..BudgetUsage::default() };
    let error = budget.check_with(&memory).expect_err("more than half of the machine");
    assert!(matches!(error, BudgetError::Memory { .. }) && error.to_string().contains("MiB are allowed"));
    let processes = BudgetUsage { processes: budget.processes, ..BudgetUsage::default() };
    let error = budget.check_with(&processes).expect_err("too many processes");
    assert!(error.to_string().contains("processes, 300 are allowed"), "{error}");
    let limit = process::descriptor_limit(std::process::id()).expect("a limit");
    let error = budget
        .check_with(&BudgetUsage { descriptors: limit, ..BudgetUsage::default() })
        .expect_err("too many");
    assert!(matches!(error, BudgetError::Descriptors { .. }), "{error}");
}

// Guards against a processor clock that counts in ticks, or that counts the time of another process.
#[test]
fn processor_time_is_of_the_named_process() {
    let shell = WaitingShell::start();
    let own = || process::processor_time(std::process::id()).expect("this process");
    let (before, begin) = (own(), Instant::now());
    let mut sum = 0u64;
    while own() - before < Duration::from_millis(30) {
        sum = std::hint::black_box(sum.wrapping_add(1));
        assert!(begin.elapsed() < Duration::from_secs(30), "the processor time does not increase");
    }
    let child = process::usage(shell.0.id()).expect("usage of a running child");
    assert!(
        child.processor < Duration::from_secs(1) && child.resident > 0 && child.threads == 1,
        "{child:?}"
    );
    assert!(process::usage(u32::MAX >> 1).is_err(), "there is no such process");
}
