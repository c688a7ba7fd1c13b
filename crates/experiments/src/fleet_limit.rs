//! `fleet-limit`: a hundred forwarders that share nothing but a partner with a limit, on a virtual clock.
//!
//! The decisions are the program's own, a copy for each forwarder; the clock, the partner and what is handed in are
//! made up. It shows what is harmless for one and harmful for all, in seconds and without processes.

use crate::error::ExperimentError;
use crate::options::RunOptions;
use crate::report::{Chart, ChartSeries, ExperimentReport as Shown};
use orchidyoke_core::Controller;
use orchidyoke_core::interface::*;
use orchidyoke_core::rng::SeededRng;
use serde_json::json;
use std::collections::BTreeMap;

const MS: Micros = 1000;
const S: Micros = 1_000_000;
const STEP: Micros = 20 * MS;
const FORWARDERS: u32 = 100;
const DEADLINE: Micros = 16 * S;
/// Calls a second that the partner of the overload takes, and that of the cold return.
const LIMIT: f64 = 40.0;
const WIDER: f64 = 60.0;
/// How long the overload lasts.
const OVERLOAD: Micros = 20 * S;

/// How a call that is made now ends: its outcome, after how long, and with what wait told.
type End = (Outcome, Micros, Micros);

const SERVED: End = (Outcome::Success, 100 * MS, 0);
const NEVER: End = (Outcome::Success, 60 * S, 0);

fn settings(fleet_size: u32) -> Settings {
    let (aim, effect) = (2500 * MS, Idempotency::Idempotent);
    let class = Class {
        latency_objective: aim,
        deadline: DEADLINE,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        idempotency: effect,
        keep_order: false,
    };
    Settings {
        fleet_size,
        classes: vec![class],
        kinds: vec![DestinationKind { max_batch: 1, separate_routes: false }],
        max_calls: 4,
        max_open_messages: 100,
        max_attempts: 8,
        send_retry_after: true,
        max_retry_after: 3 * S,
        streams_per_connection: 1,
        idle_timeout: 5 * S,
        handshake_cost: 0.06,
        capacity_hints: CapacityHints::Nominal,
        tick: 5 * MS,
        final_answer_grace: 20 * MS,
        max_poll_interval: 10 * S,
        drain_grace: 500 * MS,
        overload_factor: 2.0,
        overload_window: 2 * S,
        cold_capacity_share: 0.2,
        warm_up_time: 12 * S,
        ..Settings::default()
    }
}

#[derive(Default)]
struct Forwarder {
    controller: Controller,
    handed: MessageId,
    attempts: BTreeMap<MessageId, u32>,
    out: Vec<(Micros, AttemptResult)>,
}

/// Forwarders that send to one partner, played in steps.
struct Fleet {
    now: Micros,
    forwarders: Vec<Forwarder>,
    chance: SeededRng,
    /// When calls were made, and by whom; when they ended, and how.
    calls: Vec<(Micros, usize)>,
    ends: Vec<(Micros, Outcome)>,
}

impl Fleet {
    /// A fleet of `size`, whatever it is told, whose partner is listed with a limit; each has its own chance.
    fn new(size: u32, set: &Settings, weight: f64, seed: impl Fn(u64) -> u64) -> Self {
        let (state, report) = (EndpointState::Active, HealthStatus::Passing);
        let partner = EndpointUpdate {
            endpoint: 1,
            destination: 1,
            zone: 0,
            kind: 0,
            state,
            health: report,
            capacity_hint: weight,
        };
        let forwarder = |number| {
            let mut controller = Controller::new(set.clone(), seed(number));
            let list = Event::EndpointList { kind: ListEventKind::Snapshot, entries: vec![partner] };
            controller.step(S, &[list], &mut Vec::new());
            Forwarder { controller, ..Forwarder::default() }
        };
        let forwarders = (0..u64::from(size)).map(forwarder).collect();
        Fleet { now: S, forwarders, chance: SeededRng::new(seed(0)), calls: Vec::new(), ends: Vec::new() }
    }

    /// One step, in which each is handed so many messages.
    fn step(
        &mut self,
        mut handed: impl FnMut(&mut SeededRng) -> usize,
        partner: &mut dyn FnMut(Micros) -> End,
    ) {
        self.now += STEP;
        let now = self.now;
        for (number, forwarder) in self.forwarders.iter_mut().enumerate() {
            let mut events = vec![Event::Timer { token: u64::MAX }];
            for (_, answer) in forwarder.out.extract_if(.., |(ends, _)| *ends <= now) {
                self.ends.push((now, answer.outcome));
                events.push(Event::AttemptEnded(answer));
            }
            for _ in 0..handed(&mut self.chance) {
                forwarder.handed += 1;
                let (id, time_left) = (forwarder.handed, DEADLINE);
                let (destination, class, tenant, key, repeat) = (1, 0, 0, None, false);
                events.push(Event::Message {
                    id,
                    destination,
                    class,
                    tenant,
                    order_key: key,
                    time_left,
                    is_retry: repeat,
                });
            }
            let mut actions = Vec::new();
            forwarder.controller.step(now, &events, &mut actions);
            for action in actions {
                let Action::Send { id, .. } = action else { continue };
                let attempts = forwarder.attempts.entry(id).or_default();
                let (outcome, took, wait) = partner(now);
                let (copy, finished) = (*attempts, outcome == Outcome::Success);
                *attempts += 1;
                self.calls.push((now, number));
                let answer = AttemptResult {
                    id,
                    attempt: copy,
                    outcome,
                    latency: took,
                    message_finished: finished,
                    retry_after: wait,
                    reported_limit: None,
                    reported_remaining: None,
                };
                forwarder.out.push((now + took, answer));
            }
        }
    }

    /// Goes on for a while, handed `load` messages a second by chance, all together.
    fn play(&mut self, span: Micros, load: f64, mut partner: impl FnMut(Micros) -> End) {
        let each = load / self.forwarders.len() as f64 * STEP as f64 / S as f64;
        for _ in 0..span / STEP {
            self.step(|chance| usize::from(chance.uniform() < each), &mut partner);
        }
    }

    /// Each is handed so many messages in the same moment.
    fn hand(&mut self, messages: usize, end: End) {
        self.step(|_| messages, &mut |_| end);
    }

    fn ended(&self, how: Outcome) -> usize {
        self.ends.iter().filter(|(_, outcome)| *outcome == how).count()
    }

    fn calls_in(&self, from: Micros, span: Micros) -> usize {
        self.calls.iter().filter(|(at, _)| (from..from + span).contains(at)).count()
    }
}

/// A partner that takes [`LIMIT`] calls a second; refused ones count too, and its debt has an end.
struct Limited {
    level: f64,
    at: Micros,
}

impl Limited {
    /// Seconds of its limit that it takes at once.
    const DEPTH: f64 = 0.7;

    fn call(&mut self, now: Micros) -> End {
        let leaked = LIMIT * (now - self.at) as f64 / S as f64;
        self.level = (self.level - leaked).max(0.0);
        self.at = now;
        let room = self.level < LIMIT * Self::DEPTH;
        self.level = (self.level + 1.0).min(2.0 * LIMIT * Self::DEPTH);
        (if room { Outcome::Success } else { Outcome::Rejected }, 50 * MS, 0)
    }
}

/// A fleet that is asked for `load` times the limit.
fn overload(set: &Settings, load: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(FORWARDERS, set, LIMIT, |number| seed * 1000 + number);
    let mut partner = Limited { level: 0.0, at: fleet.now };
    fleet.play(OVERLOAD, load * LIMIT, |now| partner.call(now));
    fleet
}

fn a_second(fleet: &Fleet, how: Outcome) -> f64 {
    fleet.ended(how) as f64 * S as f64 / OVERLOAD as f64
}

/// Calls in the second in which each is handed two messages, after a start or a lull.
fn first_second(set: &Settings, lull: Micros, seed: impl Fn(u64) -> u64) -> usize {
    let mut fleet = Fleet::new(FORWARDERS, set, LIMIT, seed);
    fleet.now += lull;
    fleet.hand(2, NEVER);
    fleet.play(S, 0.0, |_| NEVER);
    fleet.calls.len()
}

/// After one call each, all refused in the same moment with a wait of 0.7 s: calls before it ends, in the step in
/// which it ends and the next, and in the second after. Each may have several calls out.
fn after_a_told_wait(size: u32, set: &Settings, seed: u64) -> [usize; 3] {
    let wide = 100.0 * f64::from(size);
    let mut fleet = Fleet::new(size, set, wide, |number| seed * 1000 + number);
    for _ in 0..17 {
        fleet.hand(1, SERVED);
        fleet.play(SERVED.1, 0.0, |_| SERVED);
    }
    let wait = 700 * MS;
    fleet.hand(1, (Outcome::Rejected, STEP, wait));
    let (refused, ends) = (fleet.now + STEP, fleet.now + STEP + wait);
    fleet.play(wait + S + STEP, 0.0, |_| NEVER);
    [(refused, wait), (ends, 2 * STEP), (ends, S)].map(|(from, span)| fleet.calls_in(from, span))
}

/// The partner fails for a while and comes back cold, asked for nine tenths of its limit. The largest part of what a
/// cold one bears that any two seconds used, and how many were served in ten seconds once it was warm.
fn cold_return(set: &Settings, fault: Outcome, lasts: Micros, seed: u64) -> (f64, usize) {
    let load = 0.9 * WIDER;
    let mut fleet = Fleet::new(FORWARDERS, set, WIDER, |number| seed * 1000 + number);
    fleet.play(20 * S, load, |_| SERVED);
    let took = if fault == Outcome::ConnectFailed { STEP } else { SERVED.1 };
    fleet.play(lasts, load, |_| (fault, took, 0));
    let back = fleet.now;
    fleet.play(set.warm_up_time, load, |_| SERVED);
    let before = fleet.ended(Outcome::Success);
    fleet.play(10 * S, load, |_| SERVED);
    let used = |from: Micros| {
        let risen = (from + set.overload_window - back) as f64 / set.warm_up_time as f64;
        let present = WIDER * (set.cold_capacity_share + (1.0 - set.cold_capacity_share) * risen.min(1.0));
        let bears = set.overload_factor * present * set.overload_window as f64 / S as f64;
        // Three standard deviations are for chance.
        fleet.calls_in(from, set.overload_window) as f64 / (bears + 3.0 * bears.sqrt())
    };
    let spans = fleet.calls.iter().map(|call| call.0).filter(|at| (back..back + 8 * S).contains(at));
    (spans.map(used).fold(0.0, f64::max), fleet.ended(Outcome::Success) - before)
}

/// One question to a fleet, what it may come to, and what it comes to with settings and a seed.
struct Case {
    asks: &'static str,
    most: f64,
    measure: fn(&Settings, u64) -> f64,
}

const CASES: [Case; 8] = [
    Case {
        asks: "refused a second, of 52 to a limit of 40",
        most: 8.0,
        measure: |set, seed| a_second(&overload(set, 1.3, seed), Outcome::Rejected),
    },
    Case {
        asks: "calls in the first second after a start, two messages each, limit 40",
        most: 64.0,
        measure: |set, seed| first_second(set, 0, |number| seed * 1000 + number) as f64,
    },
    Case {
        asks: "calls in the first 40 ms after a told wait",
        most: 35.0,
        measure: |set, seed| {
            after_a_told_wait(FORWARDERS, &Settings { max_calls: 8, ..set.clone() }, seed)[1] as f64
        },
    },
    Case {
        asks: "part of the cold budget used, 5 s without an answer",
        most: 1.0,
        measure: |set, seed| cold_return(set, Outcome::ConnectFailed, 5 * S, seed).0,
    },
    Case {
        asks: "the same after 12 s",
        most: 1.0,
        measure: |set, seed| cold_return(set, Outcome::ConnectFailed, 12 * S, seed).0,
    },
    Case {
        asks: "the same, 5 s of errors",
        most: 1.0,
        measure: |set, seed| cold_return(set, Outcome::Error, 5 * S, seed).0,
    },
    Case {
        asks: "the same, 5 s of refusals",
        most: 1.0,
        measure: |set, seed| cold_return(set, Outcome::Rejected, 5 * S, seed).0,
    },
    Case {
        asks: "the same, 15 s of refusals",
        most: 1.0,
        measure: |set, seed| cold_return(set, Outcome::Rejected, 15 * S, seed).0,
    },
];

/// Runs it.
pub fn run(run: &RunOptions) -> Result<Shown, ExperimentError> {
    // Sabotage: each believes that it is the only one.
    let told = settings(if run.sabotage { 1 } else { FORWARDERS });
    let seeds: Vec<u64> = (run.seed..run.seed + run.seeds.max(1)).collect();
    let of_all = |set: &Settings, case: &Case| -> Result<(f64, f64), ExperimentError> {
        let figures = std::thread::scope(|threads| {
            let started: Vec<_> =
                seeds.iter().map(|seed| threads.spawn(move || (case.measure)(set, *seed))).collect();
            started.into_iter().map(|thread| thread.join()).collect::<Result<Vec<_>, _>>()
        });
        let figures = figures.map_err(|_| ExperimentError::ThreadPanicked("a fleet"))?;
        let mean = figures.iter().sum::<f64>() / figures.len() as f64;
        Ok((mean, figures.into_iter().fold(0.0, f64::max)))
    };
    let (mut rows, mut broken) = (Vec::new(), Vec::new());
    for case in &CASES {
        let (mean, worst) = of_all(&told, case)?;
        let (alone, _) = of_all(&settings(1), case)?;
        let cells = [mean, worst, case.most, alone].map(|figure| format!("{figure:.2}"));
        rows.push([vec![case.asks.to_owned()], cells.to_vec()].concat());
        if worst > case.most {
            broken.push(format!("{}: {worst:.2}, {} at most", case.asks, case.most));
        }
    }
    let mut lines = Vec::new();
    for (name, set) in [("a hundred that know it", &told), ("each for itself", &settings(1))] {
        let fleet = overload(set, 1.3, run.seed);
        let second = |s: i64, times: &mut dyn Iterator<Item = Micros>| {
            (s as f64, times.filter(|at| (at - S) / S == s).count() as f64)
        };
        let served = || fleet.ends.iter().filter(|end| end.1 == Outcome::Success).map(|end| end.0);
        let sent = |s| second(s, &mut fleet.calls.iter().map(|call| call.0));
        lines.push(ChartSeries {
            name: format!("sent, {name}"),
            points: (0..OVERLOAD / S).map(sent).collect(),
        });
        let served = |s| second(s, &mut served());
        lines.push(ChartSeries {
            name: format!("served, {name}"),
            points: (0..OVERLOAD / S).map(served).collect(),
        });
    }
    let title = "Calls each second to a limit of 40, asked for 52".to_owned();
    Ok(Shown {
        columns: vec!["what", "mean", "worst seed", "at most", "mean, each for itself"],
        rows,
        chart: Chart { title, x_label: "s".to_owned(), y_label: "calls a second".to_owned(), series: lines },
        json: json!({"experiment": "fleet-limit", "seed": run.seed, "seeds": run.seeds, "broken": broken.len(),
            "sabotage": run.sabotage}),
        violations: broken,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The pauses of sixty after four and five refused connections in a row.
    fn pauses(set: &Settings, seed: u64) -> Vec<Micros> {
        let set = Settings { connect_timeout: S, ..set.clone() };
        let mut fleet = Fleet::new(60, &set, WIDER, |number| seed * 1000 + number);
        fleet.play(110 * S, WIDER, |_| (Outcome::ConnectFailed, STEP, 0));
        let of = |number| {
            let times: Vec<_> =
                fleet.calls.iter().filter(|call| call.1 == number).map(|call| call.0).collect();
            times.windows(2).skip(3).take(2).map(|two| two[1] - two[0]).collect::<Vec<_>>()
        };
        (0..60).flat_map(of).collect()
    }

    // Guards against what is harmless for one forwarder and harmful for a hundred: windows at their floor that keep a
    // limit exceeded, calls saved up, a return in the same moment, spans that double where the limit says how long is
    // enough, a cold partner pushed over. A fleet in which each knows only of itself must do worse.
    #[test]
    fn a_hundred_keep_to_what_a_partner_bears() {
        for (case, seed) in CASES.iter().zip(1..) {
            let (all, alone) = (settings(FORWARDERS), settings(1));
            for seed in [seed, seed + 10] {
                let figure = (case.measure)(&all, seed);
                assert!(figure <= case.most, "{}: {figure:.2}, seed {seed}", case.asks);
            }
            let worse = (case.measure)(&alone, seed);
            assert!(worse > case.most, "{}: {worse:.2} each for itself", case.asks);
        }
    }

    // Guards against a fleet that keeps to it by sending nothing.
    #[test]
    fn what_can_be_served_is_served() {
        let set = settings(FORWARDERS);
        for seed in 0..3 {
            assert!(a_second(&overload(&set, 1.3, seed), Outcome::Success) > 0.75 * LIMIT);
            let calm = overload(&set, 0.6, seed);
            let handed: u64 = calm.forwarders.iter().map(|one| one.handed).sum();
            assert!(calm.ended(Outcome::Success) as f64 > 0.92 * handed as f64, "nothing is short");
            let unknown =
                overload(&Settings { capacity_hints: CapacityHints::None, ..set.clone() }, 1.3, seed);
            assert!(
                a_second(&unknown, Outcome::Rejected) > 0.4 * LIMIT,
                "no limit told: no share to keep to"
            );
            let started = first_second(&set, 0, |number| seed * 1000 + number);
            assert!(started >= LIMIT as usize / 2);
            let lull = first_second(&set, 60 * S, |number| seed * 1000 + number);
            assert!((100..=110).contains(&lull), "{lull}: each its first, few a second one");
            let wide = Settings { max_calls: 8, ..set.clone() };
            let [before, _, soon] = after_a_told_wait(FORWARDERS, &wide, seed);
            assert_eq!((before, soon), (0, 100), "the wait is heeded, and nobody stays away");
            let pauses = pauses(&set, seed);
            assert!(pauses.iter().all(|pause| *pause <= 21 * S), "as long as the limit says is enough");
            assert!(pauses.iter().any(|pause| *pause < 3 * S) && pauses.iter().any(|pause| *pause > 8 * S));
        }
        for (fault, lasts) in [(Outcome::ConnectFailed, 12), (Outcome::Reset, 12), (Outcome::Rejected, 15)] {
            let (used, served) = cold_return(&set, fault, lasts * S, 4);
            assert!(used <= 1.0 && served >= 400, "{fault:?}: {used:.2}, {served} of 540 once it is warm");
        }
        // A lone forwarder comes when it was told to; with the same chance everywhere all stay in step.
        assert_eq!(after_a_told_wait(1, &Settings { max_calls: 8, ..settings(1) }, 0), [0, 1, 1]);
        let in_step: Vec<_> = (0..20).map(|seed| first_second(&set, 0, |_| seed)).collect();
        assert!(in_step.iter().any(|calls| *calls >= 100) && in_step.contains(&0));
    }
}
