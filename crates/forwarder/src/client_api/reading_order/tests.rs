use super::*;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

/// Runs a test in a runtime with timers.
fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().build().expect("the runtime starts");
    runtime.block_on(test);
}

fn poll_once<T>(future: std::pin::Pin<&mut impl Future<Output = T>>) -> Poll<T> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

// Guards against a whole request that takes the id of one whose body is still arriving.
#[test]
fn later_request_waits_until_the_earlier_one_is_gone() {
    run(async {
        let order = Rc::new(ReadingOrder::default());
        let mut earlier = order.register("a");
        let mut later = order.register("a");
        assert!(poll_once(pin!(earlier.wait())) == Poll::Ready(Ok(())), "the first request never waits");
        {
            let mut wait = pin!(later.wait());
            assert!(poll_once(wait.as_mut()).is_pending());
            drop(earlier);
            assert!(poll_once(wait) == Poll::Ready(Ok(())));
        }
        drop(later);
        assert!(order.locks.borrow().is_empty(), "an id must not be kept after its requests");
    });
}

// Guards against a client whose request never becomes whole and keeps others with its id from being answered.
#[test]
fn later_request_waits_for_a_limited_time() {
    run(async {
        let order = Rc::new(ReadingOrder::default());
        let _earlier = order.register("a");
        assert!(order.register("a").wait().await.is_err());
    });
}

#[test]
fn requests_with_other_ids_do_not_wait() {
    run(async {
        let order = Rc::new(ReadingOrder::default());
        let _earlier = order.register("a");
        assert!(poll_once(pin!(order.register("b").wait())).is_ready());
        assert_eq!(order.locks.borrow().len(), 1);
    });
}

// Guards against a whole request that another process accepts while an earlier one with its id is still arriving here.
#[test]
fn request_waits_for_an_earlier_one_at_another_process() {
    run(async {
        let folder = std::env::temp_dir().join(format!("orchidyoke-order-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        let order = || {
            let reservations = IdReservations::open(&folder).expect("it opens");
            reservations.set_has_other_processes(true);
            Rc::new(ReadingOrder::shared(Some(reservations)))
        };
        let (here, there) = (order(), order());
        let mut earlier = here.register("a");
        earlier.reserve_while_arriving();
        let mut later = there.register("a");
        assert!(later.wait().await.is_err(), "the earlier request is still arriving");
        assert!(earlier.wait().await.is_ok(), "the earlier request does not wait");
        let reservation = earlier.take_reservation();
        drop(earlier);
        {
            let mut wait = pin!(later.wait());
            assert!(poll_once(wait.as_mut()).is_pending(), "the earlier request is not answered yet");
            drop(reservation);
            assert!(wait.await.is_ok());
        }
        std::fs::remove_dir_all(&folder).expect("the folder is removed");
    });
}
