//! Guards against changes in the protocol of the console, on which operators and their tools rely: the forms of the
//! commands, each reply, and the names of all metrics.

mod common;
#[path = "common/golden.rs"]
mod golden;

use bytes::Bytes;
use common::world::reducer;
use common::{SECOND, START, shape::Shape};
use golden::assert_golden;
use orchidyoke_core::interface::{DestinationId, Micros};
use orchidyoke_forwarder::console::{Command, ConsoleReply, MAX_LINE_BYTES, parse_input};
use orchidyoke_forwarder::input::{Effect, Input, PolicyStatus, RequestId, Submission, SubmitAnswer};
use orchidyoke_forwarder::metrics::{Gauges, MessageEnd, Metrics};
use orchidyoke_forwarder::ownership::{HandoverMark, OfferOutcome, Owner, Owners, Peer, ReceivedMark};
use orchidyoke_forwarder::reducer::Reducer;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

#[test]
fn replies_to_invalid_lines_stay_the_same() {
    let long = [vec![b'x'; MAX_LINE_BYTES + 1], b"\n".to_vec()].concat();
    let lines: [&[u8]; 12] = [
        b"\n",
        b"  \r\n",
        b"READY\n",
        b"show\n",
        b"ready now\n",
        b"show-stat now\n",
        b"show-latency now\n",
        b"disable-server\n",
        b"enable-server a b\n",
        b"ready\nready\n",
        b"disable-server \xff\n",
        &long,
    ];
    let mut conversation = String::new();
    for line in lines {
        let error = parse_input(line).expect("a complete line").expect_err("the line is not a command");
        let text = String::from_utf8_lossy(&line[..line.len().min(40)]).escape_debug().to_string();
        conversation += &format!("> {text}\n< {}", ConsoleReply::from(error));
    }
    assert_golden("console_errors.txt", &conversation);
    let endless = parse_input(&long[..=MAX_LINE_BYTES])
        .expect("the line is too long")
        .expect_err("the line is not a command");
    assert_eq!(ConsoleReply::from(endless).to_string(), "400 the line is too long\n");
}

/// A reducer whose appends are stored at once, or fail if `disk_is_full`.
struct Forwarder {
    reducer: Reducer,
    now: Micros,
    disk_is_full: bool,
    last_request: RequestId,
    offers: VecDeque<u64>,
    answers: Vec<SubmitAnswer>,
    replies: Vec<String>,
}

impl Forwarder {
    fn new(shape: Shape) -> Self {
        let mut forwarder = Forwarder {
            reducer: reducer(shape, &[], START),
            now: START,
            disk_is_full: false,
            last_request: 0,
            offers: VecDeque::new(),
            answers: Vec::new(),
            replies: Vec::new(),
        };
        forwarder.input(Input::TimerDue);
        forwarder
    }

    fn input(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.reducer.step(self.now, input) {
                match effect {
                    Effect::Append { append: append_id, .. }
                    | Effect::ReportJournalFull { append: append_id } => {
                        let stored = !self.disk_is_full;
                        inputs.push_back(Input::Appended { append: append_id, stored, size: 1000 });
                    }
                    Effect::Offer(offer) => self.offers.push_back(offer.id),
                    Effect::Answer { answer, .. } => self.answers.push(answer),
                    Effect::Reply { reply, .. } => self.replies.push(reply.to_string()),
                    _ => {}
                }
            }
        }
    }

    /// Sends a line to the console. Returns the line and the reply.
    fn send_line(&mut self, line: &str) -> String {
        let call: Command =
            parse_input(format!("{line}\n").as_bytes()).expect("a complete line").expect("a valid command");
        self.last_request += 1;
        self.input(Input::Operator { request: self.last_request, call });
        format!("> {line}\n< {}", self.replies.pop().expect("a reply arrives"))
    }

    fn submit(
        &mut self,
        message_id: &str,
        dest: DestinationId,
        tenant_name: Option<&str>,
        mark: ReceivedMark,
    ) {
        self.last_request += 1;
        let message = Submission {
            id: message_id.to_owned(),
            class: "status".to_owned(),
            tenant: tenant_name.map(str::to_owned),
            idempotency_key: None,
            destination: dest,
            time_left: 7 * SECOND,
            is_retry: false,
            handover_mark: mark,
            body: Bytes::from_static(b"hello"),
        };
        self.input(Input::Submitted { request: self.last_request, message });
        // The reducer accepts messages that arrive together as one batch, shortly afterwards.
        self.now += SECOND / 100;
        self.input(Input::TimerDue);
    }

    fn end_offer(&mut self, end: OfferOutcome) {
        let id = self.offers.pop_front().expect("an offer was made");
        self.input(Input::OfferEnded { id, outcome: end });
    }
}

#[test]
fn replies_of_the_console_stay_the_same() {
    let mut forwarder = Forwarder::new(Shape::First);
    let mut conversation = forwarder.send_line("ready");
    forwarder.input(Input::AcceptingClients);
    conversation += &forwarder.send_line("ready");
    for line in [
        "disable-server s-x",
        "enable-server s-x",
        "disable-server s-c",
        "disable-server s-c",
        "show-stat",
        "enable-server s-c",
        "show-latency",
    ] {
        conversation += &forwarder.send_line(line);
    }
    forwarder.disk_is_full = true;
    conversation += &forwarder.send_line("disable-server s-c");
    let counters = "lines of the fleet's policy 1\n".to_owned();
    let unready_reason = Some("a reason of the fleet's policy".to_owned());
    forwarder.input(Input::PolicyStatus(PolicyStatus { unready_reason, metrics: counters }));
    conversation += &forwarder.send_line("ready");
    conversation += &forwarder.send_line("show-stat");
    assert_golden("console_replies.txt", &conversation);
}

#[test]
fn metric_names_stay_the_same() {
    let mut counters = Metrics::default();
    counters.register_classes(&["orders".to_owned(), "st\"at\\us".to_owned()]);
    counters.on_accepted(9);
    for class in ["orders", "st\"at\\us"] {
        counters.on_delivered(class, Some(1_000));
        counters.on_delivered(class, Some(1_000));
        counters.on_delivered(class, Some(40_000));
        counters.on_ended(class, MessageEnd::Error);
        counters.on_ended_before_accepted(class, MessageEnd::Overload);
    }
    counters.on_left_this_process();
    counters.on_dispatched(11);
    let gauges = Gauges { open_messages: 12, endpoints: 13, avoided_endpoints: 14 };
    let conversation = format!("{}\n{}", counters.render(gauges), counters.render_latency());
    assert_golden("metrics.txt", &conversation);
}

/// A fleet in which another forwarder owns destination 1.
#[derive(Debug)]
struct Fleet;

const PEER: &str = "n1";

impl Owners for Fleet {
    fn version(&self) -> u64 {
        7
    }

    fn own_name(&self) -> &str {
        "t0"
    }

    fn owner_of(&self, destination: DestinationId) -> Owner {
        match (destination, self.member_address(PEER)) {
            (1, Some(address)) => Owner::Peer(Peer { name: PEER.to_owned(), address }),
            _ => Owner::Local,
        }
    }

    fn member_address(&self, name: &str) -> Option<SocketAddr> {
        (name == PEER).then(|| ([127, 0, 0, 1], 9).into())
    }

    fn member_count(&self) -> usize {
        2
    }

    fn owners_per_destination(&self) -> u32 {
        1
    }
}

#[test]
fn names_of_owner_metrics_stay_the_same() {
    let mut forwarder = Forwarder::new(Shape::First);
    forwarder.input(Input::OwnersChanged(Rc::new(Fleet)));
    let deadline = forwarder.now + 6 * SECOND;
    let mark = |from: &str| {
        ReceivedMark::Valid(HandoverMark {
            from: from.to_owned(),
            deadline,
            valid_until: deadline,
            attempts: 0,
            possible_delivery: None,
        })
    };
    forwarder.submit("from-a-member", 2, Some("acme"), mark(PEER));
    forwarder.submit("from-a-stranger", 3, Some("acme"), mark("n9"));
    forwarder.submit("taken", 1, Some("acme"), ReceivedMark::Absent);
    forwarder.end_offer(OfferOutcome::Accepted);
    forwarder.submit("unanswered", 1, Some("acme"), ReceivedMark::Absent);
    forwarder.end_offer(OfferOutcome::InDoubt("no answer".to_owned()));
    forwarder.submit("unreached", 1, Some("acme"), ReceivedMark::Absent);
    for _ in 0..40 {
        while !forwarder.offers.is_empty() {
            forwarder.end_offer(OfferOutcome::NotSent("nobody there".to_owned()));
        }
        forwarder.now += SECOND / 10;
        forwarder.input(Input::TimerDue);
    }
    assert_golden("metrics_of_owners.txt", &forwarder.send_line("show-stat"));
}

#[test]
fn errors_of_incomplete_submissions_stay_the_same() {
    let mut forwarder = Forwarder::new(Shape::First);
    forwarder.submit("no-tenant", 2, None, ReceivedMark::Absent);
    forwarder.input(Input::OwnersChanged(Rc::new(Fleet)));
    forwarder.submit("bad-mark", 2, Some("acme"), ReceivedMark::Malformed);
    let mut second_deployment = Forwarder::new(Shape::Second);
    second_deployment.last_request += 1;
    let message = Submission {
        id: "no-key".to_owned(),
        class: "bread".to_owned(),
        tenant: None,
        idempotency_key: None,
        destination: 1,
        time_left: SECOND,
        is_retry: false,
        handover_mark: ReceivedMark::Absent,
        body: Bytes::new(),
    };
    second_deployment.input(Input::Submitted { request: second_deployment.last_request, message });
    let text_of = |answer: &SubmitAnswer| match answer {
        SubmitAnswer::Incomplete(text) => *text,
        other => panic!("{other:?}"),
    };
    let conversation: Vec<_> =
        forwarder.answers.iter().chain(&second_deployment.answers).map(text_of).collect();
    let expected =
        ["X-Org: missing\n", "X-Handover: malformed\n", "Idempotency-Key: missing, its class has one\n"];
    assert_eq!(conversation, expected);
}
