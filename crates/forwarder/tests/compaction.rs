//! Compactions of the journal: a snapshot describes the same state as the file that it replaces. Each compaction in
//! memory is compared with that file; see `common/recovered.rs`.

mod common;

use bytes::Bytes;
use common::SECOND;
use common::shape::Shape;
use common::world::World;
use orchidyoke_forwarder::input::{Effect, Input};
use orchidyoke_journal::{Record, replay};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::VecDeque;

/// What happens at one moment, before the next round of the controller.
#[derive(Clone, Debug)]
struct Burst {
    /// Destination and size of each message that is submitted.
    messages: Vec<(u64, usize)>,
    /// Whether the endpoints answer their calls before the next burst, and how.
    answer_kinds: Vec<u8>,
    is_killed: bool,
}

impl Arbitrary for Burst {
    fn arbitrary(generator: &mut Gen) -> Self {
        let count = usize::arbitrary(generator) % 14;
        Burst {
            messages: (0..count)
                .map(|_| (1 + u64::arbitrary(generator) % 3, usize::arbitrary(generator) % 4000))
                .collect(),
            answer_kinds: (0..u8::arbitrary(generator) % 8).map(|_| u8::arbitrary(generator)).collect(),
            is_killed: u8::arbitrary(generator).is_multiple_of(16),
        }
    }
}

fn connect_all(world: &mut World) {
    while let Some(id) = world.pick_connection(0, |connection| !connection.established) {
        world.connections.get_mut(&id).expect("the connection exists").established = true;
        world.input(Input::ConnectionUp { connection: id });
    }
}

/// Runs bursts of messages in one step, with kills between them.
fn run(shape: Shape, bursts: &[Burst]) {
    let mut world = World::of(shape);
    for (number, burst) in bursts.iter().enumerate() {
        for (index, (dest, size)) in burst.messages.iter().enumerate() {
            world.submit(format!("m{number}-{index}"), index % 2 == 0, *dest, *size);
        }
        // One round: the messages are recorded, and so are the calls that idle connections carry.
        world.wait(10_000);
        if burst.is_killed {
            world.restart();
        }
        connect_all(&mut world);
        for kind in &burst.answer_kinds {
            world.answer(0, *kind);
        }
        world.wait(10_000);
        world.post(true);
    }
    world.finish();
}

// Guards against a compaction that forgets a call which began in the same step, so that after a kill a message that
// may not be repeated is sent again.
#[test]
fn snapshot_describes_the_file_that_it_replaces_in_bursts_of_messages() {
    fn holds(bursts: Vec<Burst>) -> bool {
        [Shape::First, Shape::Second].into_iter().for_each(|shape| run(shape, &bursts));
        true
    }
    for seed in 0..4 {
        let generator = Gen::from_size_and_seed(150, 600 + seed);
        QuickCheck::new().tests(12).rng(generator).quickcheck(holds as fn(Vec<Burst>) -> bool);
    }
}

// Guards against a call that is out at a kill right after a compaction and is made again after the restart. Idle
// connections carry the calls in the round that records their messages.
#[test]
fn call_of_the_compacting_step_is_not_repeated_after_a_kill() {
    let mut compactions = 0;
    for size in (20..900).step_by(40) {
        let mut world = World::new();
        for number in 0..400 {
            let size_before = world.file.len();
            for dest in 1..=3 {
                world.submit(format!("m{number}-{dest}"), true, dest, size);
            }
            world.wait(10_000);
            connect_all(&mut world);
            if world.file.len() < size_before {
                compactions += 1;
                // Calls are out. The world asserts that none of their messages is sent again.
                world.restart();
                world.wait(SECOND);
                connect_all(&mut world);
                break;
            }
            while world.pick_connection(0, |connection| connection.call.is_some()).is_some() {
                world.answer(0, 0);
            }
        }
    }
    assert!(compactions > 10, "{compactions} compactions");
}

/// Passes an input to the reducer of a world. Appends before a compaction in the same step fail, as if the folder could
/// not be written for a moment. Returns whether there was such a compaction.
fn input_with_failing_appends(world: &mut World, input: Input) -> bool {
    let mut has_failed = false;
    let mut inputs = VecDeque::from([input]);
    while let Some(input) = inputs.pop_front() {
        let effects = world.reducer.step(world.now, input);
        let is_compaction = |effect: &Effect| matches!(effect, Effect::CompactJournal { .. });
        let compaction_at = effects.iter().position(is_compaction).unwrap_or_default();
        for (index, effect) in effects.into_iter().enumerate() {
            match effect {
                Effect::Append { append, .. } if index < compaction_at => {
                    has_failed = true;
                    inputs.push_back(Input::Appended { append, stored: false, size: world.file.len() });
                }
                Effect::CompactJournal { bytes } => world.file = bytes.to_vec(),
                other => inputs.extend(world.carry_out(other)),
            }
        }
    }
    has_failed
}

// Guards against a message that is rejected because its record could not be appended, and that a restart delivers
// nevertheless, because a compaction in the same step wrote the record.
#[test]
fn rejected_message_of_a_failed_append_is_not_in_the_compacted_file() {
    let mut failures = 0;
    for size in (20..900).step_by(40) {
        let mut world = World::new();
        for number in 0..400 {
            for dest in 1..=3 {
                world.submit(format!("m{number}-{dest}"), true, dest, size);
            }
            world.now += 10_000;
            let has_failed = input_with_failing_appends(&mut world, Input::TimerDue);
            if has_failed {
                failures += 1;
                for (record, _) in replay(Bytes::copy_from_slice(&world.file)).0 {
                    if let Record::Accepted(accepted) = record {
                        assert!(world.messages[&accepted.id].accepted, "{} was rejected", accepted.id);
                    }
                }
                break;
            }
            connect_all(&mut world);
            while world.pick_connection(0, |connection| connection.call.is_some()).is_some() {
                world.answer(0, 0);
            }
        }
    }
    assert!(failures > 3, "{failures} failures");
}
