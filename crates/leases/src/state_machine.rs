//! One forwarder's part in it: its session with the store, the locks it holds, and until when it may act on them.
//!
//! A reducer without I/O or clock: [`Leases::step`] takes what has happened and gives what is to be done. Moments are
//! microseconds on a clock that never goes back; only differences between them count.
//!
//! What the store promises: a session lasts for at least its TTL after the last renewal reached it, and a lock whose
//! session has ended is given to nobody for the lock-delay. What this adds: the owner counts its TTL from the moment at
//! which it *sent* that renewal, on its own clock, shortened by the drift that clocks may have, and begins no act that
//! may not end before. So it has stopped before the store may give the duty away, whatever is lost or late in between.
//! An owner that was frozen in the middle of an act is the one case left; its token is old by then ([`crate::fencing`]).

use crate::{Duty, Token};
use orchidyoke_core::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A session's id, as the store gave it.
pub type Session = String;

/// What the protocol goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// The TTL that sessions are asked for with.
    pub ttl: Micros,
    /// How much faster or slower than another any clock may run, as a part: 0.001 is a second in a thousand.
    pub drift: f64,
    /// The longest that an act takes.
    pub act: Micros,
    /// Time to the next attempt after one that failed or was not answered.
    pub retry: Micros,
    /// Locks that are asked for at once, at most: a fleet that comes back does not fall on the store.
    pub asks: usize,
}

impl Terms {
    /// How long a renewal holds from the moment it was sent, on a clock that may run slow.
    pub fn lease(&self) -> Micros {
        (self.ttl as f64 / (1.0 + self.drift)) as Micros
    }
}

/// The lock of a duty, as the store has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lock {
    /// Who holds it.
    pub session: Option<Session>,
    /// The store's index of the write that last changed it.
    pub index: Token,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Placement gives this forwarder these duties.
    Placed(BTreeSet<Duty>),
    /// The forwarder stops: all is given back, and nothing taken on.
    Leave,
    /// A session was made; it was asked for then.
    Created(Session, Micros),
    /// A session was renewed; that was asked for then.
    Renewed(Session, Micros),
    /// The store knows this session no more.
    Gone(Session),
    /// A question for a session or its renewal has failed, or had no answer in time.
    Unheard,
    /// The question for a lock is over: taken, refused, or without an answer. Which it was, a look will tell.
    Asked(Duty),
    /// A lock was given back, and the store has said so.
    Released(Duty),
    /// The giving back of a lock had no answer: it may take effect now, or later.
    Unsure(Duty),
    /// The locks of all duties, read as the store had them at some moment after this one.
    Seen(BTreeMap<Duty, Lock>, Micros),
}

/// What is to be done. The answer to each, or that there was none, is an input.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Make a session.
    Create,
    /// Renew it.
    Renew(Session),
    /// End it, if the store still has it. No answer is needed.
    Destroy(Session),
    /// Take a duty's lock with this session.
    Acquire(Duty, Session),
    /// Give it back.
    Release(Duty, Session),
    /// Read the locks.
    Look,
}

/// What is known of a duty's lock under the present session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Hold {
    /// A question for it is out.
    Asking,
    /// It is held, under this token.
    Held(Token),
    /// A question to give it back is out.
    Releasing,
    /// It was given back then; what was read before says nothing.
    Released(Micros),
    /// Whether it was given back, and when, is not known: not touched again under this session.
    Unsure,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    id: Session,
    /// When the last renewal that took effect was sent.
    renewed: Micros,
    holds: BTreeMap<Duty, Hold>,
}

/// The leases of one forwarder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leases {
    session: Option<Held>,
    /// A question for a session or its renewal is out.
    asking: bool,
    ask_at: Micros,
    placed: BTreeSet<Duty>,
    leaving: bool,
    /// Locks that nobody held at the last look, and when each may be asked for again.
    open: BTreeSet<Duty>,
    again: BTreeMap<Duty, Micros>,
    /// When the newest look that was taken in had been asked for: one that was overtaken says nothing.
    looked: Micros,
}

impl Leases {
    /// Takes one input and says what is to be done. `now` never goes back.
    pub fn step(&mut self, terms: &Terms, now: Micros, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        // Whatever has come: a lease that is over is over before it is read. A late wake-up finds it so.
        self.expire(terms, now, &mut effects);
        self.again.retain(|_, at| *at > now);
        match input {
            Input::Tick => {}
            Input::Placed(_) if self.leaving => {}
            Input::Placed(duties) => self.placed = duties,
            Input::Leave => (self.leaving, self.placed) = (true, BTreeSet::new()),
            Input::Created(id, asked) => {
                (self.asking, self.ask_at) = (false, asked);
                self.session = Some(Held { id, renewed: asked, holds: BTreeMap::new() });
                // It may have been a long time coming.
                self.expire(terms, now, &mut effects);
                effects.push(Effect::Look);
            }
            Input::Renewed(id, asked) => {
                self.asking = false;
                if let Some(held) = self.session.as_mut().filter(|held| held.id == id) {
                    held.renewed = held.renewed.max(asked);
                }
            }
            Input::Gone(id) => {
                self.asking = false;
                if self.session.as_ref().is_some_and(|held| held.id == id) {
                    (self.session, self.ask_at) = (None, now);
                }
            }
            Input::Unheard if !self.asking => {}
            Input::Unheard => (self.asking, self.ask_at) = (false, now + terms.retry),
            Input::Asked(duty) => {
                self.settle(duty, &Hold::Asking, None);
                self.again.insert(duty, now + terms.retry);
                effects.push(Effect::Look);
            }
            Input::Released(duty) => self.settle(duty, &Hold::Releasing, Some(Hold::Released(now))),
            Input::Unsure(duty) => self.settle(duty, &Hold::Releasing, Some(Hold::Unsure)),
            Input::Seen(locks, asked) => self.see(&locks, asked),
        }
        self.keep_session(terms, now, &mut effects);
        self.keep_locks(terms, now, &mut effects);
        self.leave(&mut effects);
        effects
    }

    /// The token to act under, if an act that begins now ends while the lease does. To be asked right before each.
    pub fn may_act(&self, terms: &Terms, now: Micros, duty: Duty) -> Option<Token> {
        let held = self.session.as_ref().filter(|held| now + terms.act < held.renewed + terms.lease())?;
        match held.holds.get(&duty) {
            Some(Hold::Held(token)) if self.placed.contains(&duty) => Some(*token),
            _ => None,
        }
    }

    /// The duties held, with their tokens.
    pub fn held(&self) -> impl Iterator<Item = (Duty, Token)> {
        let holds = self.session.iter().flat_map(|held| &held.holds);
        holds.filter_map(|(duty, hold)| match hold {
            Hold::Held(token) => Some((*duty, *token)),
            _ => None,
        })
    }

    /// The session, if there is one.
    pub fn session(&self) -> Option<&str> {
        self.session.as_ref().map(|held| held.id.as_str())
    }

    /// Whether all has been given back, after [`Input::Leave`].
    pub fn has_left(&self) -> bool {
        self.leaving && self.session.is_none()
    }

    /// When the next tick is due at the latest.
    pub fn wake_at(&self, terms: &Terms) -> Micros {
        let over = self.session.as_ref().map(|held| held.renewed + terms.lease());
        let ask = (!self.asking).then(|| self.next_ask(terms));
        let wanted = self.placed.iter().filter(|duty| self.open.contains(duty));
        let again = wanted.filter_map(|duty| self.again.get(duty)).copied().min();
        [over, ask, again].into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    fn next_ask(&self, terms: &Terms) -> Micros {
        match &self.session {
            Some(held) => self.ask_at.max(held.renewed + terms.ttl / 3),
            None => self.ask_at,
        }
    }

    /// By this clock the store may have ended the session, so it has ended here.
    fn expire(&mut self, terms: &Terms, now: Micros, effects: &mut Vec<Effect>) {
        if let Some(held) = self.session.take_if(|held| now >= held.renewed + terms.lease()) {
            effects.push(Effect::Destroy(held.id));
            self.ask_at = self.ask_at.max(now);
        }
    }

    fn settle(&mut self, duty: Duty, from: &Hold, to: Option<Hold>) {
        let Some(held) = &mut self.session else { return };
        if held.holds.get(&duty) == Some(from) {
            match to {
                Some(hold) => drop(held.holds.insert(duty, hold)),
                None => drop(held.holds.remove(&duty)),
            }
        }
    }

    fn see(&mut self, locks: &BTreeMap<Duty, Lock>, asked: Micros) {
        if asked < self.looked {
            return;
        }
        self.looked = asked;
        let holder = |duty: &Duty| locks.get(duty).and_then(|lock| lock.session.as_ref());
        self.open = self.placed.iter().filter(|duty| holder(duty).is_none()).copied().collect();
        let Some(held) = &mut self.session else { return };
        // Taken away: by whoever ended the session, or removed the key.
        held.holds.retain(|duty, hold| {
            !matches!(hold, Hold::Held(_))
                || locks.get(duty).is_some_and(|lock| lock.session.as_ref() == Some(&held.id))
        });
        for (duty, lock) in locks.iter().filter(|(_, lock)| lock.session.as_ref() == Some(&held.id)) {
            match held.holds.get(duty) {
                Some(Hold::Releasing | Hold::Unsure) => {}
                Some(Hold::Released(at)) if asked <= *at => {}
                Some(Hold::Released(_) | Hold::Asking | Hold::Held(_)) | None => {
                    held.holds.insert(*duty, Hold::Held(lock.index));
                }
            }
        }
    }

    fn keep_session(&mut self, terms: &Terms, now: Micros, effects: &mut Vec<Effect>) {
        if self.asking || self.leaving || now < self.next_ask(terms) {
            return;
        }
        self.asking = true;
        effects.push(match &self.session {
            Some(held) => Effect::Renew(held.id.clone()),
            None => Effect::Create,
        });
    }

    /// Ends the session once nothing is left that could be given back without it. Who takes a duty then need not wait
    /// for the lock-delay, but for one whose giving back had no answer.
    fn leave(&mut self, effects: &mut Vec<Effect>) {
        let busy = |hold: &Hold| matches!(hold, Hold::Asking | Hold::Held(_) | Hold::Releasing);
        if self.leaving
            && let Some(held) = self.session.take_if(|held| !held.holds.values().any(busy))
        {
            effects.push(Effect::Destroy(held.id));
        }
    }

    fn keep_locks(&mut self, terms: &Terms, now: Micros, effects: &mut Vec<Effect>) {
        let Some(held) = &mut self.session else { return };
        // Held and not placed here: given back, so that whoever is to have it need not wait for the lock-delay.
        for (duty, hold) in &mut held.holds {
            if matches!(hold, Hold::Held(_)) && !self.placed.contains(duty) {
                *hold = Hold::Releasing;
                effects.push(Effect::Release(*duty, held.id.clone()));
            }
        }
        // A lease that is nearly over takes on nothing.
        if now + terms.act >= held.renewed + terms.lease() {
            return;
        }
        let mut out = held.holds.values().filter(|hold| **hold == Hold::Asking).count();
        for duty in self.placed.iter().filter(|duty| self.open.contains(duty)) {
            let free = matches!(held.holds.get(duty), None | Some(Hold::Released(_)));
            if free && out < terms.asks && !self.again.contains_key(duty) {
                held.holds.insert(*duty, Hold::Asking);
                effects.push(Effect::Acquire(*duty, held.id.clone()));
                out += 1;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn terms() -> Terms {
        Terms { ttl: 10 * S, drift: 0.01, act: S, retry: S, asks: 2 }
    }

    fn locks(of: &[(Duty, Option<&str>, Token)]) -> BTreeMap<Duty, Lock> {
        let lock = |(duty, session, index): &(Duty, Option<&str>, Token)| {
            (*duty, Lock { session: session.map(str::to_owned), index: *index })
        };
        of.iter().map(lock).collect()
    }

    fn with_session(duties: &[Duty]) -> Leases {
        let mut leases = Leases::default();
        assert_eq!(
            leases.step(&terms(), 0, Input::Placed(duties.iter().copied().collect())),
            [Effect::Create]
        );
        assert_eq!(leases.step(&terms(), S, Input::Created("s".to_owned(), 0)), [Effect::Look]);
        leases
    }

    fn owner() -> Leases {
        let mut leases = with_session(&[1]);
        let asked = leases.step(&terms(), S, Input::Seen(locks(&[(1, None, 4)]), S));
        assert_eq!(asked, [Effect::Acquire(1, "s".to_owned())]);
        assert_eq!(leases.step(&terms(), S, Input::Asked(1)), [Effect::Look]);
        assert_eq!(leases.may_act(&terms(), S, 1), None, "not before the store has shown it");
        leases.step(&terms(), S, Input::Seen(locks(&[(1, Some("s"), 5)]), S));
        leases
    }

    #[test]
    fn a_lease_counts_from_when_its_renewal_was_sent_and_ends_by_its_own_clock() {
        let mut leases = owner();
        assert_eq!(leases.may_act(&terms(), S, 1), Some(5));
        assert_eq!(leases.step(&terms(), 4 * S, Input::Tick), [Effect::Renew("s".to_owned())]);
        // Its answer takes 5 s.
        assert_eq!(
            leases.step(&terms(), 9 * S, Input::Renewed("s".to_owned(), 4 * S)),
            [Effect::Renew("s".to_owned())]
        );
        let end = 4 * S + terms().lease();
        assert_eq!(leases.may_act(&terms(), end - S - 1, 1), Some(5));
        assert_eq!(leases.may_act(&terms(), end - S, 1), None, "it might not end in time");
        assert!(leases.step(&terms(), end, Input::Tick).contains(&Effect::Destroy("s".to_owned())));
        leases.step(&terms(), end, Input::Renewed("s".to_owned(), 9 * S));
        assert_eq!(
            (leases.session(), leases.held().count()),
            (None, 0),
            "what comes after the end changes nothing"
        );
    }

    // Guards against an owner that slept past its lease and acts on what it finds when it wakes.
    #[test]
    fn a_late_wake_up_finds_its_lease_over() {
        let leases = owner();
        assert_eq!(leases.may_act(&terms(), 60 * S, 1), None);
        let mut woken = leases.clone();
        woken.step(&terms(), 60 * S, Input::Seen(locks(&[(1, Some("s"), 5)]), 59 * S));
        assert_eq!(woken.may_act(&terms(), 60 * S, 1), None);
    }

    // Guards against a lock that was taken though its answer was lost: it would be held and never used.
    #[test]
    fn a_lock_taken_without_an_answer_is_found_or_given_back() {
        let mut leases = with_session(&[1]);
        leases.step(&terms(), S, Input::Seen(locks(&[(1, None, 4)]), S));
        leases.step(&terms(), S, Input::Asked(1));
        let mut other = leases.clone();
        leases.step(&terms(), 2 * S, Input::Seen(locks(&[(1, Some("s"), 9)]), 2 * S));
        assert_eq!(leases.may_act(&terms(), 2 * S, 1), Some(9));
        other.step(&terms(), 2 * S, Input::Placed(BTreeSet::new()));
        let given = other.step(&terms(), 2 * S, Input::Seen(locks(&[(1, Some("s"), 9)]), 2 * S));
        assert_eq!(given, [Effect::Release(1, "s".to_owned())]);
    }

    // Guards against a lock believed held after it was given back, because an old look came late; and against one taken
    // again while its giving back may still be under way.
    #[test]
    fn what_was_given_back_is_not_held() {
        for unsure in [false, true] {
            let mut leases = owner();
            assert_eq!(
                leases.step(&terms(), 2 * S, Input::Placed(BTreeSet::new())),
                [Effect::Release(1, "s".to_owned())]
            );
            assert_eq!(leases.may_act(&terms(), 2 * S, 1), None);
            leases.step(&terms(), 3 * S, if unsure { Input::Unsure(1) } else { Input::Released(1) });
            leases.step(&terms(), 3 * S, Input::Placed(BTreeSet::from([1])));
            leases.step(&terms(), 3 * S, Input::Seen(locks(&[(1, Some("s"), 5)]), 2 * S));
            assert_eq!(leases.may_act(&terms(), 3 * S, 1), None, "unsure: {unsure}");
            let asked = leases.step(&terms(), 3 * S, Input::Seen(locks(&[(1, None, 6)]), 3 * S + 1));
            assert_eq!(asked.is_empty(), unsure, "{asked:?}");
        }
    }

    #[test]
    fn a_session_or_lock_that_somebody_else_ends_is_no_longer_used() {
        let mut leases = owner();
        leases.step(&terms(), 2 * S, Input::Seen(locks(&[(1, None, 8)]), 2 * S));
        assert_eq!(leases.may_act(&terms(), 2 * S, 1), None, "released by hand");
        for end in [Input::Seen(BTreeMap::new(), 2 * S), Input::Gone("s".to_owned())] {
            let mut leases = owner();
            let made = leases.step(&terms(), 2 * S, end.clone());
            assert_eq!(leases.may_act(&terms(), 2 * S, 1), None);
            assert_eq!(made.contains(&Effect::Create), matches!(end, Input::Gone(_)));
        }
    }

    // Guards against duties that stay closed for a lock-delay, or a TTL, because a forwarder was stopped in good order.
    #[test]
    fn who_leaves_gives_all_back_first_and_takes_nothing_on() {
        for answered in [true, false] {
            let mut leases = owner();
            assert_eq!(leases.step(&terms(), 2 * S, Input::Leave), [Effect::Release(1, "s".to_owned())]);
            assert_eq!((leases.may_act(&terms(), 2 * S, 1), leases.has_left()), (None, false));
            assert_eq!(
                leases.step(&terms(), 5 * S, Input::Placed(BTreeSet::from([1]))),
                [],
                "no renewal either"
            );
            let end =
                leases.step(&terms(), 5 * S, if answered { Input::Released(1) } else { Input::Unsure(1) });
            assert_eq!(end, [Effect::Destroy("s".to_owned())]);
            assert!(leases.has_left());
            assert_eq!(leases.step(&terms(), 60 * S, Input::Seen(locks(&[(1, None, 9)]), 60 * S)), []);
        }
        let mut young = Leases::default();
        young.step(&terms(), 0, Input::Leave);
        assert!(young.has_left());
        let late = young.step(&terms(), S, Input::Created("s".to_owned(), 0));
        assert!(late.contains(&Effect::Destroy("s".to_owned())), "a session that was under way is ended");
    }

    // Guards against a store that is away being asked without a pause, and against all locks being asked for at once.
    #[test]
    fn questions_are_bounded() {
        let mut leases = with_session(&[1, 2, 3, 4]);
        let all = locks(&[(1, None, 1), (2, None, 1), (3, None, 1), (4, None, 1)]);
        assert_eq!(leases.step(&terms(), S, Input::Seen(all.clone(), S)).len(), 2);
        assert_eq!(leases.step(&terms(), S, Input::Seen(all, S)).len(), 0);
        assert_eq!(leases.step(&terms(), S, Input::Asked(1)).len(), 2, "a look, and one more question");
        let mut lone = Leases::default();
        let mut asked = 0;
        for tenth in 0..300 {
            let now = tenth * S / 10;
            asked += lone.step(&terms(), now, Input::Tick).len();
            if tenth % 3 == 0 {
                lone.step(&terms(), now, Input::Unheard);
            }
        }
        assert!((20..=31).contains(&asked), "{asked} questions in 30 s");
    }
}
