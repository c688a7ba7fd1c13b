//! The progress record and the next step chosen from it.

use orchidyoke_rollout::progress::{Log, Progress, Record, Step};

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const COUNTS: [usize; 3] = [1, 2, 4];

fn next(records: &[Record]) -> Step {
    Progress::of(records).next(&NAMES, &COUNTS)
}

fn changed(name: &str) -> [Record; 2] {
    [Record::Changing(name.into()), Record::Changed(name.into())]
}

#[test]
fn goes_stage_by_stage() {
    assert_eq!(next(&[]), Step::Change(0));
    let mut records = changed("a").to_vec();
    assert_eq!(next(&records), Step::Bake(0));
    records.push(Record::Passed(0));
    assert_eq!(next(&records), Step::Change(1));
    records.extend(changed("b"));
    assert_eq!(next(&records), Step::Bake(1));
    records.push(Record::Passed(1));
    records.extend(changed("c"));
    assert_eq!(next(&records), Step::Change(3));
    records.extend(changed("d"));
    assert_eq!(next(&records), Step::Finish);
    records.push(Record::Done);
    assert_eq!(next(&records), Step::Over);
}

// Guards against a forwarder left half-changed by a kill between the two records, and against changing one twice.
#[test]
fn a_change_begun_is_finished_first_and_none_twice() {
    let records = [changed("a").to_vec(), vec![Record::Passed(0), Record::Changing("b".into())]].concat();
    assert_eq!(next(&records), Step::Change(1));
    let records = [records, vec![Record::Changed("b".into())]].concat();
    assert_eq!(next(&records), Step::Bake(1));
}

// Guards against a stop that leaves a changed forwarder, or one half-changed, as it is.
#[test]
fn a_stop_takes_back_all_that_was_touched() {
    let records = [
        changed("a").to_vec(),
        vec![Record::Passed(0), Record::Changing("b".into()), Record::Stopped("worse".into())],
    ]
    .concat();
    assert_eq!(next(&records), Step::TakeBack(0));
    let records = [records, vec![Record::TakingBack("a".into()), Record::TakenBack("a".into())]].concat();
    assert_eq!(next(&records), Step::TakeBack(1));
    let records = [records, vec![Record::TakenBack("b".into())]].concat();
    assert_eq!(next(&records), Step::TakenBack("worse".into()));
}

/// Carries out steps as `run` writes them, from these records on, until nothing is left; a stop is written
/// when stage `stop_at` is baked.
fn drive(mut records: Vec<Record>, stop_at: Option<usize>) -> Vec<Record> {
    loop {
        match Progress::of(&records).next(&NAMES, &COUNTS) {
            Step::Change(place) => {
                records.push(Record::Changing(NAMES[place].into()));
                records.push(Record::Changed(NAMES[place].into()));
            }
            Step::Bake(stage) if Some(stage) == stop_at => records.push(Record::Stopped("worse".into())),
            Step::Bake(stage) => records.push(Record::Passed(stage)),
            Step::TakeBack(place) => {
                records.push(Record::TakingBack(NAMES[place].into()));
                records.push(Record::TakenBack(NAMES[place].into()));
            }
            Step::Finish => records.push(Record::Done),
            Step::Over | Step::TakenBack(_) => return records,
        }
    }
}

fn count(records: &[Record], wanted: impl Fn(&Record) -> bool) -> usize {
    records.iter().filter(|record| wanted(record)).count()
}

// Guards against a tool killed between any two records that then changes a forwarder twice, leaves one
// unchanged, or after a stop leaves one touched and not taken back.
#[test]
fn a_kill_between_any_two_records_ends_the_same() {
    for stop_at in [None, Some(0), Some(1)] {
        let whole = drive(Vec::new(), stop_at);
        for cut in 0..=whole.len() {
            let resumed = drive(whole[..cut].to_vec(), stop_at);
            let progress = Progress::of(&resumed);
            for name in NAMES {
                let changed = count(&resumed, |r| *r == Record::Changed(name.into()));
                assert!(changed <= 1, "{name} changed twice after a cut at {cut}: {resumed:?}");
                match stop_at {
                    None => assert_eq!(changed, 1, "{name} after a cut at {cut}"),
                    Some(_) => assert_eq!(
                        progress.touched.contains(name),
                        progress.taken_back.contains(name),
                        "{name} after a cut at {cut}: {resumed:?}"
                    ),
                }
            }
            assert_eq!(progress.done, stop_at.is_none(), "after a cut at {cut}");
        }
    }
}

#[test]
fn the_file_keeps_what_was_whole_and_cuts_a_torn_line() {
    let folder = std::env::temp_dir().join(format!("orchidyoke-rollout-log-{}", std::process::id()));
    drop(std::fs::remove_dir_all(&folder));
    let (mut log, records) = Log::open(&folder).unwrap();
    assert!(records.is_empty());
    log.write(&Record::Changing("a".into())).unwrap();
    log.write(&Record::Changed("a".into())).unwrap();
    drop(log);
    let path = folder.join("rollout.jsonl");
    let mut text = std::fs::read_to_string(&path).unwrap();
    text.push_str("{\"chang");
    std::fs::write(&path, text).unwrap();
    let (mut log, records) = Log::open(&folder).unwrap();
    assert_eq!(records, changed("a"));
    log.write(&Record::Passed(0)).unwrap();
    let (_, records) = Log::open(&folder).unwrap();
    assert_eq!(records.last(), Some(&Record::Passed(0)));
    drop(std::fs::remove_dir_all(&folder));
}
