//! Random steps for [`World`].

use super::SECOND;
use super::world::World;
use orchidyoke_core::endpoint_list::EndpointState;
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::console;
use orchidyoke_forwarder::endpoint_call::Cause;
use orchidyoke_forwarder::input::Input;
use quickcheck::{Arbitrary, Gen};

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A client submits a new message.
    Submit {
        restricts_repeats: bool,
        dest: u64,
        size: usize,
    },
    /// A client submits a message again that the forwarder has accepted.
    Resubmit(usize),
    /// A requested connection is established or refused.
    Connect {
        selector: usize,
        established: bool,
    },
    /// An endpoint answers a call.
    Answer {
        selector: usize,
        answer_kind: u8,
    },
    /// An established connection fails.
    Break(usize),
    Wait(Micros),
    /// The platform answers posted notifications; `true` if it accepts them.
    Post(bool),
    /// The list changes the state of one endpoint.
    List {
        selector: usize,
        state: EndpointState,
    },
    /// The list moves one endpoint to the other zone.
    Move(usize),
    /// An operator ejects or restores an endpoint.
    Operator {
        selector: usize,
        eject: bool,
    },
    /// Kills the process and starts it again.
    Kill,
    /// Asks the process to shut down.
    Terminate,
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let (selector, flag) = (usize::arbitrary(generator), bool::arbitrary(generator));
        match u8::arbitrary(generator) % 42 {
            0..=9 => {
                Step::Submit { restricts_repeats: flag, dest: 1 + selector as u64 % 3, size: selector % 6000 }
            }
            10 => Step::Resubmit(selector),
            11..=17 => Step::Connect { selector, established: u8::arbitrary(generator) % 5 > 0 },
            18..=26 => Step::Answer { selector, answer_kind: u8::arbitrary(generator) },
            27 => Step::Break(selector),
            28..=34 => Step::Wait(selector as Micros % 400_000),
            35 | 36 => Step::Post(flag),
            37 => {
                let states = [EndpointState::Active, EndpointState::Draining, EndpointState::Removed];
                Step::List { selector, state: *generator.choose(&states).expect("three states") }
            }
            38 if flag => Step::Move(selector),
            38 => Step::Kill,
            39 | 40 => Step::Operator { selector, eject: flag },
            _ if selector.is_multiple_of(4) => Step::Terminate,
            _ => Step::Wait(3 * SECOND),
        }
    }
}

impl World {
    pub fn step(&mut self, number: usize, step: Step) {
        match step {
            Step::Submit { restricts_repeats, dest, size } => {
                self.submit(format!("m{number}"), restricts_repeats, dest, size)
            }
            Step::Resubmit(selector) => {
                let known = self.messages.iter().filter(|(_, message)| message.accepted);
                let Some((message_id, message)) =
                    known.max_by_key(|(_, message)| message.deadline + selector as Micros % 2)
                else {
                    return;
                };
                let (message_id, restricts_repeats, dest) =
                    (message_id.clone(), message.restricts_repeats, message.dest);
                self.submit(message_id, restricts_repeats, dest, 10);
            }
            Step::Connect { selector, established } => {
                let Some(id) = self.pick_connection(selector, |connection| !connection.established) else {
                    return;
                };
                if established {
                    self.connections.get_mut(&id).expect("the connection exists").established = true;
                    self.input(Input::ConnectionUp { connection: id });
                } else if let Some(input) = self.close(id, Cause::ConnectionFailed("refused".to_owned())) {
                    self.input(input);
                }
            }
            Step::Answer { selector, answer_kind } => self.answer(selector, answer_kind),
            Step::Break(selector) => {
                let Some(id) = self.pick_connection(selector, |connection| connection.established) else {
                    return;
                };
                let input = self.close(id, Cause::ConnectionFailed("reset".to_owned()));
                input.into_iter().for_each(|input| self.input(input));
            }
            Step::Wait(duration) => self.wait(duration),
            Step::Post(accepted) => self.post(accepted),
            Step::List { selector, state } => {
                self.list_version += 1;
                let index = selector % self.list.len();
                self.list[index].state = state;
                let entries = vec![self.list[index].clone()];
                self.update_list(entries);
            }
            Step::Move(selector) => {
                // The endpoint moves to the other zone and keeps its uid and address.
                self.list_version += 1;
                let index = selector % self.list.len();
                self.list[index].zone = if self.list[index].zone == "a" { "b" } else { "a" }.to_owned();
                let entries = vec![self.list[index].clone()];
                self.update_list(entries);
            }
            Step::Operator { selector, eject } => {
                let uid = self.list[selector % self.list.len()].uid.clone();
                if self.send_operator_command(if eject {
                    console::Command::DisableServer(uid.clone())
                } else {
                    console::Command::EnableServer(uid.clone())
                }) {
                    if eject {
                        self.ejected.insert(uid)
                    } else {
                        self.ejected.remove(&uid)
                    };
                }
            }
            Step::Kill => self.restart(),
            Step::Terminate => self.input(Input::Shutdown),
        }
        if self.exited {
            self.restart();
        }
        self.check_metrics();
        // After every third step no time passes, so that two steps fall into the same controller round.
        if !number.is_multiple_of(3) {
            self.wait(5_000);
        }
    }
}
