//! The decisions of a forwarder of outbound messages, and the data that they depend on.
//!
//! A forwarder passes [`Event`](interface::Event)s to [`Controller::step`] and carries out the resulting
//! [`Action`](interface::Action)s: what to send, where and when, what to reject, what to fail. Each
//! rule has its own module, which does no I/O and reads no clock:
//!
//! | module | decides |
//! |---|---|
//! | `admission` | which queued message is shed when capacity runs out, and the Retry-After of a rejection |
//! | `queue` | the order of waiting messages |
//! | `retry` | whether, where and when a message is attempted again, and whether it may be rejected |
//! | `selection` | which endpoint gets a call |
//! | `concurrency_limit` | how many calls a route may have in flight |
//! | `pacing` | the rate of calls to a route that cannot take one call in flight from each forwarder |
//! | `capacity_share` | this forwarder's share of a route's capacity |
//! | `outlier_detection` | when a route is ejected |
//! | `slow_start` | how many calls an ejected or recovering route gets |
//! | `timeouts` | when a call is overdue, timed out or cancelled |
//! | `draining` | whether a draining endpoint gets calls, and whether a call starts before a shutdown |
//!
//! Terms for a route or an endpoint that gets fewer calls:
//!
//! - Ejected (route): set by an outage, by health checks when the route becomes critical, or by `RouteState`. The route
//!   gets trial calls, one at a time, within a budget. Ends with a success that ends the failures (`is_ended_by`).
//! - Warming up (route): set by the success that ends an ejection. The route gets a budget of calls that grows. Ends
//!   after `warm_up_time`.
//! - Critical (route): set by health checks if no endpoint of the route passes and one fails. The route is ejected when
//!   it becomes critical. Ends when an endpoint of the route passes.
//! - Faulty (route): set by an ejection, consecutive failures or an overdue call. The route gets fewer calls in flight
//!   and a higher cost. Ends when none of these causes is left. The routes of [`Controller::faulty_routes`]
//!   meet another condition.
//! - Excluded (endpoint): set by a failing health check while another endpoint passes. The endpoint gets no calls. Ends
//!   when the health check no longer fails or no other endpoint passes.
//! - Suspect (endpoint): set by recent errors (the endpoint is avoided) or by a health check that warns. The endpoint
//!   gets a higher cost, so other endpoints are preferred. After errors, ends with a success or after some seconds;
//!   after a warning, ends when the health check no longer warns.
//! - Does not accept calls (endpoint): set by the endpoint list if the endpoint drains, is removed, or is listed under
//!   another destination. The endpoint gets no calls. Ends when the endpoint list shows it as active again under its
//!   destination.

#![deny(missing_docs)]

mod admission;
mod call;
mod capacity_share;
mod concurrency_limit;
mod controller;
mod draining;
mod endpoint;
pub mod endpoint_list;
pub mod interface;
mod message;
mod outlier_detection;
mod pacing;
pub mod poll_schedule;
mod queue;
mod retry;
pub mod rng;
mod route;
mod route_users;
mod schedule;
mod selection;
pub mod settings;
mod slow_start;
mod timeouts;
mod timer_queue;
pub mod traffic;
mod waiting_index;

pub use controller::Controller;
