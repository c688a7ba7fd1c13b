use super::*;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn poll_once<F: Future>(future: std::pin::Pin<&mut F>) -> Poll<F::Output> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

// Guards against bytes that stay reserved, or count as awaited, after the request that asked for them has ended.
#[test]
fn bytes_are_given_back_whether_or_not_the_reservation_was_granted() {
    let memory = RequestMemory::new(100);
    let first = memory.try_reserve(70).expect("the bytes are available");
    assert_eq!(memory.reserved_bytes(), 70);
    {
        let mut second = pin!(memory.reserve(50));
        assert!(poll_once(second.as_mut()).is_pending());
        assert_eq!(memory.missing_bytes(), 20);
        assert!(memory.try_reserve(10).is_none(), "an earlier request waits");
    }
    assert_eq!((memory.missing_bytes(), memory.reserved_bytes()), (0, 70));
    drop(first);
    assert_eq!(memory.reserved_bytes(), 0);
    let all = memory.try_reserve(100).expect("the bytes are available");
    assert_eq!(all.bytes(), 100);
}

// Guards against a limit that is lowered while bytes are reserved and never takes effect, or takes effect twice.
#[test]
fn lower_limit_takes_effect_as_bytes_are_given_back() {
    let memory = RequestMemory::new(100);
    let reservations: Vec<_> = (0..10).map(|_| memory.try_reserve(10).expect("available")).collect();
    memory.set_limit(25);
    assert_eq!(memory.reserved_bytes(), 100);
    assert!(memory.try_reserve(1).is_none());
    drop(reservations);
    assert_eq!(memory.reserved_bytes(), 0);
    assert!(memory.try_reserve(26).is_none());
    let held = memory.try_reserve(25).expect("available");
    memory.set_limit(10);
    memory.set_limit(60);
    drop(held);
    assert!(memory.try_reserve(61).is_none());
    assert!(memory.try_reserve(60).is_some());
}
