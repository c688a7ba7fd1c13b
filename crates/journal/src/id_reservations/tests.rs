//! Protects the reservations of ids.

use super::*;

// Guards against an id that two processes reserve at the same time, and against one that stays reserved.
#[test]
fn id_is_reserved_by_one_process_at_a_time() {
    let folder = std::env::temp_dir().join(format!("orchidyoke-ids-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    // Each opened file counts as a process of its own.
    let open = || IdReservations::open(&folder).expect("it opens");
    let (first, second) = (open(), open());
    let reserve = |reservations: &Rc<IdReservations>, id: &str| reservations.reserve(id).expect("it locks");
    let held = reserve(&first, "a");
    assert!(held.is_some() && reserve(&second, "a").is_none());
    assert!(reserve(&second, "b").is_some(), "another id must be free");
    drop(held);
    assert!(reserve(&second, "a").is_some());
    let held = reserve(&second, "a");
    drop((held, second));
    assert!(reserve(&first, "a").is_some(), "the id of a process that has ended must be free");
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

// Guards against a process that starts and that another one does not notice.
#[test]
fn each_start_changes_the_count() {
    let folder = std::env::temp_dir().join(format!("orchidyoke-starts-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let first = IdReservations::open(&folder).expect("it opens");
    for start in 0..2 * MAX_STARTS {
        let before = first.starts().expect("it can be read");
        let other = IdReservations::open(&folder).expect("it opens");
        other.count_start().expect("it can be written");
        assert_ne!(first.starts().expect("it can be read"), before, "start {start}");
        assert!(before <= MAX_STARTS);
    }
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}
