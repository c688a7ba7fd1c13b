//! Tests of the background check of the budget. They have a test program of their own, because the guard kills all
//! children of its process.

#[path = "../src/capacity"]
mod capacity {
    pub mod budget;
    pub mod guard;
    pub mod process;
}

use capacity::budget::{Budget, BudgetError, BudgetUsage};
use capacity::guard::Guard;
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::time::{Duration, Instant};

const SIGKILL: i32 = 9;

// Guards against an experiment that exceeds its budget while it waits.
#[test]
fn guard_kills_children_over_the_budget() {
    let machine = Budget::for_this_machine().expect("a machine");
    let mut child = Command::new("sleep").arg("60").spawn().expect("a child");
    let guard = Guard::start(machine);
    guard.check(&BudgetUsage::default()).expect("within the budget");
    drop(guard);
    assert!(child.try_wait().expect("a child").is_none(), "the child still runs");

    let guard = Guard::start(Budget { resident: 1 << 10, ..machine });
    let ended = child.wait().expect("the child exits");
    assert_eq!(ended.signal(), Some(SIGKILL), "{ended}");
    assert!(matches!(guard.check(&BudgetUsage::default()), Err(BudgetError::Memory { allowed: 1024, .. })));
    assert_eq!(guard.highest(), BudgetUsage::default(), "a usage over the budget is not recorded");
}

// Guards against a guard that reports a highest usage of 0.
#[test]
fn guard_reports_the_highest_usage() {
    let guard = Guard::start(Budget::for_this_machine().expect("a machine"));
    let until = Instant::now() + Duration::from_secs(30);
    while guard.highest().resident == 0 {
        assert!(Instant::now() < until, "the guard did not check the budget");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(guard.highest().processes >= 1);
}
