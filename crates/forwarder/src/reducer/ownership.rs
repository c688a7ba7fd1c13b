//! Ownership: which forwarder owns a destination by the view in force, and what changes with the view.

use super::Reducer;
use crate::ownership::{HandoverMark, Owner, Owners, Peer, ReceivedMark};
use orchidyoke_core::interface::{DestinationId, Event, Micros};
use orchidyoke_journal::AcceptedMessage;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::rc::Rc;

/// An upper estimate of the bytes of the records of a message's handover, beside its id and the longest name of an owner.
const HANDOVER_RECORDS_BYTES: usize = 320;
/// The owners of so many destinations are looked up for the figures: each costs a hash for each member.
const MAX_OWNER_LOOKUPS: usize = 1000;
/// Forwarders that are no members are logged once each, and at most so many in a view.
const MAX_LOGGED_NON_MEMBERS: usize = 64;

/// The view of owners in force, and counts of what followed from it.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    view: Option<Rc<dyn Owners>>,
    view_since: Micros,
    /// The view before it.
    previous_view: Option<Rc<dyn Owners>>,
    /// Destinations that were slow-started since the view is in force.
    slow_started: BTreeSet<DestinationId>,
    counts: Counts,
    /// Forwarders that hand over and are no members.
    non_members: BTreeSet<String>,
}

/// Counts from 0 in each process.
#[derive(Debug, Default)]
struct Counts {
    /// Messages that their owners have accepted.
    handed_over: u64,
    /// Messages that other forwarders have handed over to this one.
    taken_over: u64,
    /// Of those, the ones from a forwarder that is no member.
    from_non_members: u64,
    /// Messages delivered here in the place of a failing owner.
    delivered_for_owner: u64,
    /// Offers without an answer.
    unanswered: u64,
}

impl Ownership {
    /// At a start.
    pub fn new(view: Option<Rc<dyn Owners>>, now: Micros) -> Self {
        Ownership { view, view_since: now, ..Ownership::default() }
    }

    /// Whether there are owners at all.
    pub fn is_on(&self) -> bool {
        self.view.is_some()
    }

    /// The other forwarder that owns a destination.
    pub fn other_owner(&self, destination: DestinationId) -> Option<Peer> {
        match self.view.as_ref()?.owner_of(destination) {
            Owner::Peer(peer) => Some(peer),
            Owner::Local | Owner::Unknown => None,
        }
    }

    /// The member of this name.
    pub fn member(&self, name: &str) -> Option<Peer> {
        let address = self.view.as_ref()?.member_address(name)?;
        Some(Peer { name: name.to_owned(), address })
    }

    /// Another view is in force.
    fn replace_view(&mut self, now: Micros, view: Option<Rc<dyn Owners>>) {
        self.previous_view = std::mem::replace(&mut self.view, view);
        self.view_since = now;
        self.non_members.clear();
        self.slow_started.clear();
    }

    /// Whether this forwarder does not own a destination, or so lately that the owner before it may still send there.
    fn is_new_to(&self, now: Micros, destination: DestinationId, warm_up_time: Micros) -> bool {
        let owns = |view: &Rc<dyn Owners>| view.owner_of(destination) == Owner::Local;
        let Some(view) = &self.view else { return false };
        let was_owner = self.previous_view.as_ref().is_none_or(owns);
        !owns(view) || !was_owner && now - self.view_since < warm_up_time
    }

    /// How many forwarders share a destination's limit, where each destination has owners.
    pub fn owners_of_each(&self) -> Option<u32> {
        self.view.as_ref().map(|view| view.owners_per_destination())
    }

    /// How many of these destinations this forwarder owns; beyond some, estimated from evenly chosen ones.
    fn owned(&self, destinations: &[DestinationId]) -> u64 {
        let Some(view) = &self.view else { return 0 };
        let step = destinations.len().div_ceil(MAX_OWNER_LOOKUPS).max(1);
        let is_owned = |destination: &&DestinationId| view.owner_of(**destination) == Owner::Local;
        (destinations.iter().step_by(step).filter(is_owned).count() * step) as u64
    }

    /// An upper estimate of the bytes that a snapshot may hold of a message beside its record.
    pub fn reserve_bytes(&self, id: &str) -> usize {
        if self.is_on() { HANDOVER_RECORDS_BYTES + 2 * id.len() } else { 0 }
    }

    /// The name of this forwarder among the members; none without owners.
    pub fn own_name(&self) -> Option<String> {
        self.view.as_ref().map(|view| view.own_name().to_owned())
    }

    /// A message is accepted: whether another forwarder handed it over is in its handover state.
    pub fn count_received_by_handover(&mut self, accepted: &AcceptedMessage) {
        self.counts.taken_over += u64::from(accepted.handover.kept_local);
    }

    /// An owner has accepted a message.
    pub fn count_handed_over(&mut self) {
        self.counts.handed_over += 1;
    }

    /// A message is delivered here in the place of a failing owner.
    pub fn count_delivered_for_owner(&mut self) {
        self.counts.delivered_for_owner += 1;
    }

    /// An offer had no answer.
    pub fn count_unanswered(&mut self) {
        self.counts.unanswered += 1;
    }

    /// A message is taken over from this forwarder. Gives whether it is to be logged: it is no member, and not logged yet
    /// in this view.
    fn count_handover_from(&mut self, forwarder: &str) -> bool {
        let is_member = self.view.as_ref().is_some_and(|view| view.member_address(forwarder).is_some());
        if is_member {
            return false;
        }
        self.counts.from_non_members += 1;
        self.non_members.len() < MAX_LOGGED_NON_MEMBERS && self.non_members.insert(forwarder.to_owned())
    }

    /// Whether the first message of a destination comes that is not, or not for long, this forwarder's own.
    fn take_slow_start(&mut self, now: Micros, destination: DestinationId, warm_up_time: Micros) -> bool {
        self.is_new_to(now, destination, warm_up_time) && self.slow_started.insert(destination)
    }
}

impl Reducer {
    /// The mark of a submission, as far as it counts here: without owners none does.
    ///
    /// # Errors
    ///
    /// It cannot be read: the words of the answer.
    pub(super) fn read_handover_mark(
        &self,
        mark: &ReceivedMark,
    ) -> Result<Option<HandoverMark>, &'static str> {
        if !self.ownership.is_on() {
            return Ok(None);
        }
        match mark {
            ReceivedMark::Absent => Ok(None),
            ReceivedMark::Malformed => Err("X-Handover: malformed\n"),
            ReceivedMark::Valid(mark) => Ok(Some(mark.clone())),
        }
    }

    /// A message is taken over from another forwarder. That of a non-member is accepted all the same: the other may know a
    /// later view, and a message that is handed on could go in a circle.
    pub(super) fn note_handover_from(&mut self, forwarder: &str) {
        if self.ownership.count_handover_from(forwarder) {
            self.log(format!(
                "handover: accepted a message from a forwarder that is no member forwarder={forwarder:?}"
            ));
        }
    }

    /// Another view is known. One that is older than the view in force changes nothing.
    pub(super) fn on_owners_changed(&mut self, now: Micros, view: Rc<dyn Owners>) {
        let in_force = self.ownership.view.as_ref().map(|view| view.version());
        if let Some(in_force) = in_force.filter(|in_force| view.version() < *in_force) {
            let older = view.version();
            return self.log(format!(
                "owners: ignored a view older than the one in force version={older} in_force={in_force}"
            ));
        }
        self.replace_owners(now, Some(view));
    }

    /// Another view is in force, or none: what waits for an owner goes where it belongs now.
    pub(super) fn replace_owners(&mut self, now: Micros, view: Option<Rc<dyn Owners>>) {
        self.ownership.replace_view(now, view);
        for number in self.handovers.ids() {
            // One whose offer is in flight is looked at when that has ended.
            if !self.handovers.is_offer_in_flight(number) {
                self.reassign_owner(now, number);
            }
        }
        let view = self.ownership.view.as_ref();
        self.handovers.update_members(|name| view.and_then(|view| view.member_address(name)));
        self.controller.update_fleet_size(self.controller_settings());
    }

    /// The first message of a destination that is not, or not for long, this forwarder's own: the controller begins there
    /// as after an outage, with a trial call and a ramp.
    pub(super) fn slow_start_destination(&mut self, now: Micros, destination: DestinationId) {
        if self.ownership.take_slow_start(now, destination, self.settings.warm_up_time) {
            self.controller.push(Event::RouteState {
                destination,
                endpoint: None,
                begins_cold: true,
                retry_after: 0,
            });
        }
    }

    /// The figures of hand-overs, a line each; none where there are no owners.
    pub(super) fn ownership_metrics(&self, now: Micros) -> String {
        let Some(view) = &self.ownership.view else { return String::new() };
        let counts = &self.ownership.counts;
        let (waiting, local_deliveries) = self.handovers.counts();
        let age = (now - self.ownership.view_since).max(0) / 1_000_000;
        let mut lines = String::new();
        for (name, value) in [
            ("owned", self.ownership.owned(&self.endpoints.destinations().with_endpoints())),
            ("handed_over", counts.handed_over),
            ("taken_over", counts.taken_over),
            ("taken_over_from_strangers", counts.from_non_members),
            ("delivered_for_lack_of_owner", counts.delivered_for_owner),
            ("delivering_for_lack_of_owner", local_deliveries as u64),
            ("handover_unanswered", counts.unanswered),
            ("handover_waiting", waiting as u64),
            ("owners_members", view.member_count() as u64),
            ("owners_view", view.version()),
            ("owners_view_age_s", age.unsigned_abs()),
        ] {
            // Writing to a string does not fail.
            let _ = writeln!(lines, "app_{name} {value}");
        }
        lines
    }
}
