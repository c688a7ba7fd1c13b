//! Which results count: whoever stores or uses one refuses those of an owner that another has followed.

use crate::{Duty, Token};
use std::collections::BTreeMap;

/// The newest token that was seen of each duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    newest: BTreeMap<Duty, Token>,
}

impl Fence {
    /// Whether something that was done under this token counts. One that does bars all older ones from then on.
    pub fn accept(&mut self, duty: Duty, token: Token) -> bool {
        let newest = self.newest.entry(duty).or_insert(token);
        let counts = token >= *newest;
        *newest = token.max(*newest);
        counts
    }

    /// The newest token of a duty, if any was seen.
    pub fn newest(&self, duty: Duty) -> Option<Token> {
        self.newest.get(&duty).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_an_older_owner_did_is_refused_for_its_duty_alone() {
        let mut fence = Fence::default();
        let told = [(1, 5), (1, 5), (1, 9), (1, 5), (2, 5), (1, 8), (1, 9), (2, 6)];
        let counted = told.map(|(duty, token)| fence.accept(duty, token));
        assert_eq!(counted, [true, true, true, false, true, false, true, true]);
        assert_eq!((fence.newest(1), fence.newest(2), fence.newest(3)), (Some(9), Some(6), None));
    }
}
