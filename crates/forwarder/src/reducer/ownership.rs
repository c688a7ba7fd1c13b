//! Ownership: which forwarder owns a destination in the view in force, and what changes when the view does.

use super::Reducer;
use crate::ownership::{HandoverMark, Owner, Owners, Peer, ReceivedMark};
use orchidyoke_core::interface::{DestinationId, Event, Micros};
use orchidyoke_journal::AcceptedMessage;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::rc::Rc;

/// An upper estimate of the bytes of a message's handover records. It includes the longest name of an owner, but not
/// the message's id.
const HANDOVER_RECORDS_BYTES: usize = 320;
/// Maximum number of destinations whose owners are looked up for the metrics. Each lookup computes a hash per member.
const MAX_OWNER_LOOKUPS: usize = 1000;
/// Maximum number of non-members that are logged per view. Each is logged once.
const MAX_LOGGED_NON_MEMBERS: usize = 64;

/// The view of owners in force, and counters of handovers.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    view: Option<Rc<dyn Owners>>,
    view_since: Micros,
    /// The view before the one in force.
    previous_view: Option<Rc<dyn Owners>>,
    /// Destinations that have been slow-started since the view came into force.
    slow_started: BTreeSet<DestinationId>,
    counts: Counts,
    /// Forwarders that have handed over messages and are not members of the view.
    non_members: BTreeSet<String>,
}

/// Counters that start from 0 in each process.
#[derive(Debug, Default)]
struct Counts {
    /// Messages handed over to their owners, which have accepted them.
    handed_over: u64,
    /// Messages that other forwarders have handed over to this one.
    received_by_handover: u64,
    /// Messages handed over by forwarders that are not members.
    from_non_members: u64,
    /// Messages delivered here instead of being handed over to a failing owner.
    delivered_for_owner: u64,
    /// Offers without an answer.
    unanswered: u64,
}

impl Ownership {
    /// Creates the state at the start of the process.
    pub fn new(view: Option<Rc<dyn Owners>>, now: Micros) -> Self {
        Ownership { view, view_since: now, ..Ownership::default() }
    }

    /// Returns whether destinations have owners.
    pub fn has_owners(&self) -> bool {
        self.view.is_some()
    }

    /// Returns the other forwarder that owns a destination, or `None` if this forwarder owns it or the owner is
    /// unknown.
    pub fn other_owner(&self, destination: DestinationId) -> Option<Peer> {
        match self.view.as_ref()?.owner_of(destination) {
            Owner::Peer(peer) => Some(peer),
            Owner::Local | Owner::Unknown => None,
        }
    }

    /// Returns the member with this name.
    pub fn member(&self, name: &str) -> Option<Peer> {
        let address = self.view.as_ref()?.member_address(name)?;
        Some(Peer { name: name.to_owned(), address })
    }

    /// Replaces the view in force.
    fn replace_view(&mut self, now: Micros, view: Option<Rc<dyn Owners>>) {
        self.previous_view = std::mem::replace(&mut self.view, view);
        self.view_since = now;
        self.non_members.clear();
        self.slow_started.clear();
    }

    /// Returns whether this forwarder does not own a destination, or has owned it for such a short time that the
    /// previous owner may still send there.
    fn is_not_established_owner(
        &self,
        now: Micros,
        destination: DestinationId,
        warm_up_time: Micros,
    ) -> bool {
        let owns = |view: &Rc<dyn Owners>| view.owner_of(destination) == Owner::Local;
        let Some(view) = &self.view else { return false };
        let was_owner = self.previous_view.as_ref().is_none_or(owns);
        !owns(view) || !was_owner && now - self.view_since < warm_up_time
    }

    /// Returns how many forwarders share a destination's limit, or `None` if destinations have no owners.
    pub fn owners_per_destination(&self) -> Option<u32> {
        self.view.as_ref().map(|view| view.owners_per_destination())
    }

    /// Returns how many of these destinations this forwarder owns. For more than [`MAX_OWNER_LOOKUPS`] destinations,
    /// estimates the number from evenly spaced ones.
    fn count_owned(&self, destinations: &[DestinationId]) -> u64 {
        let Some(view) = &self.view else { return 0 };
        let step = destinations.len().div_ceil(MAX_OWNER_LOOKUPS).max(1);
        let is_owned = |destination: &&DestinationId| view.owner_of(**destination) == Owner::Local;
        (destinations.iter().step_by(step).filter(is_owned).count() * step) as u64
    }

    /// Returns an upper estimate of the bytes that a snapshot may hold for a message in addition to its record.
    pub fn reserve_bytes(&self, id: &str) -> usize {
        if self.has_owners() { HANDOVER_RECORDS_BYTES + 2 * id.len() } else { 0 }
    }

    /// Returns this forwarder's name among the members, or `None` if destinations have no owners.
    pub fn own_name(&self) -> Option<String> {
        self.view.as_ref().map(|view| view.own_name().to_owned())
    }

    /// Counts an accepted message if its handover state says that another forwarder handed it over.
    pub fn count_received_by_handover(&mut self, accepted: &AcceptedMessage) {
        self.counts.received_by_handover += u64::from(accepted.handover.kept_local);
    }

    /// Counts a message that its owner has accepted.
    pub fn count_handed_over(&mut self) {
        self.counts.handed_over += 1;
    }

    /// Counts a message that is delivered here instead of being handed over to a failing owner.
    pub fn count_delivered_for_owner(&mut self) {
        self.counts.delivered_for_owner += 1;
    }

    /// Counts an offer without an answer.
    pub fn count_unanswered(&mut self) {
        self.counts.unanswered += 1;
    }

    /// Counts a message that `forwarder` hands over to this one, if `forwarder` is not a member. Returns whether to log
    /// `forwarder`, which is the case if it is not a member and not yet logged in this view.
    fn count_handover_from(&mut self, forwarder: &str) -> bool {
        let is_member = self.view.as_ref().is_some_and(|view| view.member_address(forwarder).is_some());
        if is_member {
            return false;
        }
        self.counts.from_non_members += 1;
        self.non_members.len() < MAX_LOGGED_NON_MEMBERS && self.non_members.insert(forwarder.to_owned())
    }

    /// Returns whether to slow-start a destination, and if so, remembers that it was slow-started. This is the case for
    /// the first message of a destination that this forwarder does not own or has not owned for long.
    fn take_slow_start(&mut self, now: Micros, destination: DestinationId, warm_up_time: Micros) -> bool {
        self.is_not_established_owner(now, destination, warm_up_time) && self.slow_started.insert(destination)
    }
}

impl Reducer {
    /// Returns the handover mark of a submission, or `None` if it has none or destinations have no owners.
    ///
    /// # Errors
    ///
    /// The mark is malformed. The error is the text of the answer.
    pub(super) fn read_handover_mark(
        &self,
        mark: &ReceivedMark,
    ) -> Result<Option<HandoverMark>, &'static str> {
        if !self.ownership.has_owners() {
            return Ok(None);
        }
        match mark {
            ReceivedMark::Absent => Ok(None),
            ReceivedMark::Malformed => Err("X-Handover: malformed\n"),
            ReceivedMark::Valid(mark) => Ok(Some(mark.clone())),
        }
    }

    /// Counts and logs a message that a non-member hands over. Such a message is accepted as well, because the
    /// non-member may know a later view, and a message that is handed on could circulate between forwarders.
    pub(super) fn note_handover_from(&mut self, forwarder: &str) {
        if self.ownership.count_handover_from(forwarder) {
            self.log(format!(
                "handover: accepted a message from a forwarder that is not a member forwarder={forwarder:?}"
            ));
        }
    }

    /// Applies another view. A view older than the one in force is ignored.
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

    /// Puts another view, or none, in force and reassigns the messages that wait for an owner.
    pub(super) fn replace_owners(&mut self, now: Micros, view: Option<Rc<dyn Owners>>) {
        self.ownership.replace_view(now, view);
        for number in self.handovers.ids() {
            // A message whose offer is in flight is reassigned when the offer has ended.
            if !self.handovers.is_offer_in_flight(number) {
                self.reassign_owner(now, number);
            }
        }
        let view = self.ownership.view.as_ref();
        self.handovers.update_members(|name| view.and_then(|view| view.member_address(name)));
        self.controller.update_fleet_size(self.controller_settings());
    }

    /// Slow-starts a destination at the first message for it, if this forwarder does not own it or has not owned it for
    /// long. The controller then begins as after an outage, with a trial call and a slow start.
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

    /// Returns the metrics of handovers, one per line. Returns an empty string if destinations have no owners.
    pub(super) fn ownership_metrics(&self, now: Micros) -> String {
        let Some(view) = &self.ownership.view else { return String::new() };
        let counts = &self.ownership.counts;
        let (waiting, local_deliveries) = self.handovers.counts();
        let age = (now - self.ownership.view_since).max(0) / 1_000_000;
        let mut lines = String::new();
        for (name, value) in [
            ("owned", self.ownership.count_owned(&self.endpoints.destinations().with_endpoints())),
            ("handed_over", counts.handed_over),
            ("taken_over", counts.received_by_handover),
            ("taken_over_from_strangers", counts.from_non_members),
            ("delivered_for_lack_of_owner", counts.delivered_for_owner),
            ("delivering_for_lack_of_owner", local_deliveries as u64),
            ("handover_unanswered", counts.unanswered),
            ("handover_waiting", waiting as u64),
            ("owners_members", view.member_count() as u64),
            ("owners_view", view.version()),
            ("owners_view_age_s", age.unsigned_abs()),
        ] {
            // Writing to a string cannot fail.
            let _ = writeln!(lines, "app_{name} {value}");
        }
        lines
    }
}
