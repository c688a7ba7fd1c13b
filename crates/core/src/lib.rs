//! The decisions of a forwarder of outbound messages, and the data that they rest on.
//!
//! A forwarder feeds [`Controller::step`] with [`Event`](interface::Event)s and carries out the
//! [`Action`](interface::Action)s that come back: what to send, where and when, what to reject, what to fail. Each rule
//! has a module of its own, without I/O and without a clock:
//!
//! | module | decides |
//! |---|---|
//! | `admission` | which queued message is shed when capacity runs out, and the Retry-After of a rejection |
//! | `queue` | the order of waiting messages |
//! | `retry` | whether, where and when a message is attempted again, and whether it may be rejected |
//! | `selection` | which endpoint a call goes to |
//! | `concurrency_limit` | how many calls a route has in flight |
//! | `pacing` | the rate of calls where one in flight is too many |
//! | `capacity_share` | this forwarder's share of a route's capacity |
//! | `outlier_detection` | when a route is ejected |
//! | `slow_start` | how much an ejected or recovering route gets |
//! | `timeouts` | when a call is overdue, timed out or cancelled |
//! | `draining` | what still goes to an endpoint that leaves, and what is begun before a shutdown |
//!
//! Words for a route or an endpoint that gets fewer calls:
//!
//! | word | set by | effect | ends with |
//! |---|---|---|---|
//! | ejected (route) | an outage, health checks none of which passes, `RouteState` | trial calls, one at a time, within a budget | a success that answers the failures (`is_answered_by`) |
//! | warming up (route) | that success | a budget of calls that grows | the end of `warm_up_time` |
//! | critical (route) | health checks: no endpoint passes, one fails | it is ejected when this begins | an endpoint that passes |
//! | faulty (route) | ejection, failures in a row, a call overdue | fewer calls in flight, and a greater cost | the end of its causes |
//! | excluded (endpoint) | a failing health check while another endpoint passes | no call | health checks that say otherwise |
//! | suspect (endpoint) | errors of late (avoided), a health check that warns | a greater cost, so others go before it | a success or some seconds; the check |
//! | does not accept calls (endpoint) | the list: it drains or is removed | no call | the list |

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
