//! Who of the sender side's connections has to go when there are too many, as states. No socket is here.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A client's connection, numbered anew each time.
pub type ClientId = u64;

/// Who connects to ask does so at once: a connection that has asked nothing for longer goes first.
const SILENT: Duration = Duration::from_millis(100);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    /// It has not yet sent a whole request.
    New,
    /// A request of it is being answered.
    Busy,
    /// It has had its last answer.
    Idle,
    /// It was told to go.
    Leaving,
}

/// All connections of the sender side: what each is doing, and since when.
#[derive(Debug)]
pub struct Crowd {
    members: BTreeMap<ClientId, (Doing, Instant)>,
    next: ClientId,
    most: usize,
}

impl Crowd {
    /// Nobody yet, and so many at once.
    pub fn new(most: usize) -> Self {
        Crowd { members: BTreeMap::new(), next: 0, most }
    }

    /// Whether another has to wait.
    pub fn is_full(&self) -> bool {
        self.members.len() >= self.most
    }

    /// Another has connected.
    pub fn join(&mut self, now: Instant) -> ClientId {
        self.next += 1;
        self.members.insert(self.next, (Doing::New, now));
        self.next
    }

    /// It has sent a request.
    pub fn asks(&mut self, id: ClientId, now: Instant) {
        self.turn(id, Doing::Busy, now);
    }

    /// Its request is answered.
    pub fn answered(&mut self, id: ClientId, now: Instant) {
        self.turn(id, Doing::Idle, now);
    }

    fn turn(&mut self, id: ClientId, to: Doing, now: Instant) {
        if let Some(member) = self.members.get_mut(&id)
            && member.0 != Doing::Leaving
        {
            *member = (to, now);
        }
    }

    /// Its connection is closed.
    pub fn leaves(&mut self, id: ClientId) {
        self.members.remove(&id);
    }

    /// Who is told to go: the one that has been silent longest since it connected; then the one that has been
    /// idle longest; one that has only just connected at last. None while all are busy or going.
    pub fn send_off(&mut self, now: Instant) -> Option<ClientId> {
        let rank = |(id, (doing, since)): (&ClientId, &(Doing, Instant))| match doing {
            Doing::New if now - *since >= SILENT => Some((0, *since, *id)),
            Doing::Idle => Some((1, *since, *id)),
            Doing::New => Some((2, *since, *id)),
            Doing::Busy | Doing::Leaving => None,
        };
        let (_, _, id) = self.members.iter().filter_map(rank).min()?;
        self.turn(id, Doing::Leaving, now);
        Some(id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    // Guards against a client with a request in hand being sent off, against one told twice while others stay, and
    // against an asking client that goes before one that has said nothing.
    #[test]
    fn who_asks_stays_and_who_says_nothing_goes() {
        fn keep(steps: Vec<(u8, u8, u8)>) -> bool {
            let (mut crowd, mut now) = (Crowd::new(5), Instant::now());
            let mut model: BTreeMap<ClientId, (Doing, Instant)> = BTreeMap::new();
            for (what, which, pause) in steps {
                now += Duration::from_millis(u64::from(pause));
                let id = model.keys().nth(usize::from(which) % model.len().max(1)).copied();
                assert_eq!(crowd.is_full(), model.len() >= 5);
                match (what % 5, id) {
                    (0, _) if !crowd.is_full() => drop(model.insert(crowd.join(now), (Doing::New, now))),
                    (1, Some(id)) if model[&id].0 != Doing::Leaving => {
                        crowd.asks(id, now);
                        model.insert(id, (Doing::Busy, now));
                    }
                    (2, Some(id)) if model[&id].0 == Doing::Busy => {
                        crowd.answered(id, now);
                        model.insert(id, (Doing::Idle, now));
                    }
                    (3, Some(id)) => {
                        crowd.leaves(id);
                        model.remove(&id);
                    }
                    _ => {
                        let free = |doing: Doing| matches!(doing, Doing::New | Doing::Idle);
                        let Some(gone) = crowd.send_off(now) else {
                            assert!(model.values().all(|(doing, _)| !free(*doing)));
                            continue;
                        };
                        let (doing, since) = model[&gone];
                        assert!(free(doing));
                        let silent = |(doing, since): &(Doing, Instant)| {
                            *doing == Doing::New && now - *since >= SILENT
                        };
                        assert!(silent(&(doing, since)) || !model.values().any(silent));
                        assert!(model.values().all(|(other, at)| *other != doing || *at >= since));
                        model.insert(gone, (Doing::Leaving, now));
                    }
                }
            }
            true
        }
        let chance = Gen::from_size_and_seed(200, 1);
        QuickCheck::new().tests(200).rng(chance).quickcheck(keep as fn(Vec<(u8, u8, u8)>) -> bool);
    }
}
