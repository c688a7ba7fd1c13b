//! Drives the controller. Collects events between its rounds and keeps its timers.
//!
//! A round takes place at most once per tick. Components that own other state only push events here.
//! [`Reducer::run_controller`](super::Reducer) carries out the actions that a round returns.

use orchidyoke_core::Controller;
use orchidyoke_core::interface::{Action, EndpointId, Event, Micros, RouteRef, Settings};
use std::collections::BTreeSet;

/// The controller, the events for its next round, and its timers.
#[derive(Debug)]
pub(super) struct ControllerDriver {
    controller: Controller,
    events: Vec<Event>,
    timers: BTreeSet<(Micros, u64)>,
    last_round_at: Micros,
    /// Limit on calls in flight, as last passed to the controller.
    max_calls: usize,
    /// Number of forwarders in the fleet, as last passed to the controller.
    fleet_size: u32,
}

impl ControllerDriver {
    /// Creates a controller with these settings. Its first round may take place immediately.
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

    /// Adds an event for the controller's next round.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Adds several events for the controller's next round.
    pub fn extend(&mut self, events: impl IntoIterator<Item = Event>) {
        self.events.extend(events);
    }

    /// Passes new settings to the controller, whether or not they differ.
    pub fn replace_settings(&mut self, settings: Settings) {
        self.max_calls = settings.max_calls;
        self.fleet_size = settings.fleet_size;
        self.push(Event::Settings(Box::new(settings)));
    }

    /// Passes new settings to the controller if their limit on calls in flight differs.
    pub fn update_max_calls(&mut self, settings: Settings) {
        if settings.max_calls != self.max_calls {
            self.max_calls = settings.max_calls;
            self.push(Event::Settings(Box::new(settings)));
        }
    }

    /// Passes new settings to the controller if their fleet size differs.
    pub fn update_fleet_size(&mut self, settings: Settings) {
        if settings.fleet_size != self.fleet_size {
            self.fleet_size = settings.fleet_size;
            self.push(Event::Settings(Box::new(settings)));
        }
    }

    /// Returns whether events wait for the next round.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns when the last round took place.
    pub fn last_round_at(&self) -> Micros {
        self.last_round_at
    }

    /// Returns when the next timer is due, or `None` if none is set.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Sets a timer of the controller. `token` is returned to the controller when the timer is due.
    pub fn set_timer(&mut self, at: Micros, token: u64) {
        self.timers.insert((at, token));
    }

    /// Turns timers that are due into events.
    pub fn fire_timers(&mut self, now: Micros) {
        while let Some((at, token)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            self.events.push(Event::Timer { token });
        }
    }

    /// Runs one round, in which the controller processes the events since the last one, and returns its actions.
    pub fn run_round(&mut self, now: Micros) -> Vec<Action> {
        self.last_round_at = now;
        let mut actions = Vec::new();
        self.controller.step(now, &self.events, &mut actions);
        self.events.clear();
        actions
    }

    /// Returns whether the controller currently sends only trial calls to this endpoint.
    pub fn gets_no_regular_calls(&self, endpoint: EndpointId) -> bool {
        self.controller.gets_no_regular_calls(endpoint)
    }

    /// Returns whether the set of faulty routes has changed since the previous call of this function.
    pub fn take_faulty_routes_changed(&mut self) -> bool {
        self.controller.take_faulty_routes_changed()
    }

    /// Returns the faulty routes; each is a destination or one endpoint of a destination.
    pub fn faulty_routes(&self) -> BTreeSet<RouteRef> {
        self.controller.faulty_routes()
    }
}
