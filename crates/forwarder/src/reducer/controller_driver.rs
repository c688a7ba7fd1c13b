//! Drives the controller: events are gathered between its rounds, and its timers wake it.
//!
//! A round takes place at most once a tick. Whoever owns other state only pushes events here; the actions that a
//! round gives are carried out by [`Reducer::run_controller`](super::Reducer).

use orchidyoke_core::Controller;
use orchidyoke_core::interface::{Action, EndpointId, Event, FaultyRouteId, Micros, Settings};
use std::collections::BTreeSet;

/// The controller, what it is to be told in its next round, and its timers.
#[derive(Debug)]
pub(super) struct ControllerDriver {
    controller: Controller,
    events: Vec<Event>,
    timers: BTreeSet<(Micros, u64)>,
    last_round_at: Micros,
    /// Limit on calls in flight and size of the fleet, as the controller was last told.
    max_calls: usize,
    fleet_size: u32,
}

impl ControllerDriver {
    /// A controller with these settings; its first round may take place at once.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        ControllerDriver {
            events: Vec::new(),
            timers: BTreeSet::new(),
            last_round_at: now - settings.tick,
            max_calls: settings.max_calls,
            fleet_size: settings.fleet_size,
            controller: Controller::new(settings, seed),
        }
    }

    /// The controller is told of this in its next round.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// The same for several events.
    pub fn extend(&mut self, events: impl IntoIterator<Item = Event>) {
        self.events.extend(events);
    }

    /// New settings, whatever they change.
    pub fn replace_settings(&mut self, settings: Settings) {
        self.max_calls = settings.max_calls;
        self.fleet_size = settings.fleet_size;
        self.push(Event::Settings(Box::new(settings)));
    }

    /// New settings if their limit on calls in flight is another.
    pub fn update_max_calls(&mut self, settings: Settings) {
        if settings.max_calls != self.max_calls {
            self.max_calls = settings.max_calls;
            self.push(Event::Settings(Box::new(settings)));
        }
    }

    /// New settings if the size of the fleet is another.
    pub fn update_fleet_size(&mut self, settings: Settings) {
        if settings.fleet_size != self.fleet_size {
            self.fleet_size = settings.fleet_size;
            self.push(Event::Settings(Box::new(settings)));
        }
    }

    /// Whether there is something to tell the controller.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// When the last round took place.
    pub fn last_round_at(&self) -> Micros {
        self.last_round_at
    }

    /// When the next timer is due.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Sets a timer of the controller.
    pub fn set_timer(&mut self, at: Micros, token: u64) {
        self.timers.insert((at, token));
    }

    /// Timers that are due become events.
    pub fn fire_timers(&mut self, now: Micros) {
        while let Some((at, token)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            self.events.push(Event::Timer { token });
        }
    }

    /// One round: the controller decides on the events since the last one.
    pub fn run_round(&mut self, now: Micros) -> Vec<Action> {
        self.last_round_at = now;
        let mut actions = Vec::new();
        self.controller.step(now, &self.events, &mut actions);
        self.events.clear();
        actions
    }

    /// Whether nothing but trial calls goes to this endpoint at present; also of one that the controller does not know.
    pub fn is_avoided(&self, endpoint: EndpointId) -> bool {
        self.controller.is_avoided(endpoint)
    }

    /// Whether the set of faulty routes has changed since this was last asked.
    pub fn take_faulty_routes_changed(&mut self) -> bool {
        self.controller.take_faulty_routes_changed()
    }

    /// Faulty routes: a destination, or one endpoint of it.
    pub fn faulty_routes(&self) -> BTreeSet<FaultyRouteId> {
        self.controller.faulty_routes()
    }
}
