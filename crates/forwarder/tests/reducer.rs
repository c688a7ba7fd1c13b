//! The reducer under random steps, and the state that finished messages leave.

mod common;

use common::SECOND;
use common::shape::Shape;
use common::steps::Step;
use common::world::World;
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState};
use quickcheck::{Gen, QuickCheck};

// Guards against faults that no single test case shows: a message that a kill at a certain moment loses or ends twice,
// a record that is written after the effect that it must precede, and a call that a Retry-After, a drain or a deadline
// should have prevented.
#[test]
fn invariants_hold_after_every_random_step() {
    fn holds_in_both_deployments(steps: Vec<Step>) -> bool {
        [Shape::First, Shape::Second].into_iter().all(|shape| holds(shape, &steps))
    }
    fn holds(shape: Shape, steps: &[Step]) -> bool {
        let mut world = World::of(shape);
        for (number, step) in steps.iter().copied().enumerate() {
            world.step(number, step);
        }
        world.finish();
        true
    }
    // Fixed seeds, so that each run takes the same steps and has the same result.
    for seed in 0..4 {
        let generator = Gen::from_size_and_seed(300, seed);
        QuickCheck::new()
            .tests(40)
            .rng(generator)
            .quickcheck(holds_in_both_deployments as fn(Vec<Step>) -> bool);
    }
}

// Guards against memory that grows with every endpoint, message and id that has ever existed, and against a connection
// that is kept to a removed endpoint, whose address another endpoint may get.
#[test]
fn finished_messages_leave_no_state() {
    let mut world = World::new();
    let mut sizes = Vec::new();
    for number in 0..400 {
        world.submit(format!("m{number}"), true, 2, 10);
        world.wait(10_000);
        if number % 2 == 0 {
            world.step(0, Step::Connect { selector: number, established: true });
            world.answer(0, 0);
        }
        let old = EndpointEntry { state: EndpointState::Removed, ..world.list[2].clone() };
        world.list[2].uid = format!("s-new{number}");
        let entries = vec![old, world.list[2].clone()];
        world.list_version += 1;
        world.update_list(entries);
        world.wait(100_000);
        assert!(
            world.connections.values().all(|connection| connection.call.is_some() || !connection.established),
            "no idle connection to a removed endpoint may be kept"
        );
        world.wait(4 * SECOND);
        while world.posting.is_some() {
            world.post(true);
        }
        sizes.push(format!("{:?}", world.reducer).len());
    }
    let most = |part: &[usize]| part.iter().copied().max().unwrap_or_default();
    let (early, late) = (most(&sizes[50..100]), most(&sizes[350..]));
    assert!(late < early * 11 / 10, "size of the state: {early} bytes early, {late} bytes late");
}
