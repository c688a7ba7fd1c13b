//! Tests of the progress record and of the next step chosen from it.

use orchidyoke_rollout::progress::{Progress, ProgressRecord, Step};
use orchidyoke_rollout::progress_file::ProgressFile;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const STAGE_SIZES: [usize; 3] = [1, 2, 4];

fn next(records: &[ProgressRecord]) -> Step {
    Progress::of(records).next_step(&NAMES, &STAGE_SIZES)
}

fn changed(name: &str) -> [ProgressRecord; 2] {
    [ProgressRecord::ChangeStarted(name.into()), ProgressRecord::ChangeApplied(name.into())]
}

#[test]
fn next_step_goes_stage_by_stage() {
    assert_eq!(next(&[]), Step::ApplyChange(0));
    let mut records = changed("a").to_vec();
    assert_eq!(next(&records), Step::RunStage(0));
    records.push(ProgressRecord::StagePassed(0));
    assert_eq!(next(&records), Step::ApplyChange(1));
    records.extend(changed("b"));
    assert_eq!(next(&records), Step::RunStage(1));
    records.push(ProgressRecord::StagePassed(1));
    records.extend(changed("c"));
    assert_eq!(next(&records), Step::ApplyChange(3));
    records.extend(changed("d"));
    assert_eq!(next(&records), Step::RecordCompletion);
    records.push(ProgressRecord::Completed);
    assert_eq!(next(&records), Step::Completed);
}

// Guards against a forwarder that stays partly changed after a kill between the two records, and against changing a
// forwarder twice.
#[test]
fn unfinished_change_is_repeated_first_and_a_finished_change_is_not_repeated() {
    let records = [
        changed("a").to_vec(),
        vec![ProgressRecord::StagePassed(0), ProgressRecord::ChangeStarted("b".into())],
    ]
    .concat();
    assert_eq!(next(&records), Step::ApplyChange(1));
    let records = [records, vec![ProgressRecord::ChangeApplied("b".into())]].concat();
    assert_eq!(next(&records), Step::RunStage(1));
}

// Guards against a stopped rollout that does not roll back a forwarder that is changed or partly changed.
#[test]
fn stop_rolls_back_every_forwarder_whose_change_started() {
    let records = [
        changed("a").to_vec(),
        vec![
            ProgressRecord::StagePassed(0),
            ProgressRecord::ChangeStarted("b".into()),
            ProgressRecord::Stopped("worse".into()),
        ],
    ]
    .concat();
    assert_eq!(next(&records), Step::RollBack(0));
    let records =
        [records, vec![ProgressRecord::RollbackStarted("a".into()), ProgressRecord::RolledBack("a".into())]]
            .concat();
    assert_eq!(next(&records), Step::RollBack(1));
    let records = [records, vec![ProgressRecord::RolledBack("b".into())]].concat();
    assert_eq!(next(&records), Step::RolledBack("worse".into()));
}

/// Continues from these records and appends the records that `run` would write, until no step is left. Stage `stop_at`
/// stops the rollout instead of passing.
fn run_all_steps(mut records: Vec<ProgressRecord>, stop_at: Option<usize>) -> Vec<ProgressRecord> {
    loop {
        match Progress::of(&records).next_step(&NAMES, &STAGE_SIZES) {
            Step::ApplyChange(index) => {
                records.push(ProgressRecord::ChangeStarted(NAMES[index].into()));
                records.push(ProgressRecord::ChangeApplied(NAMES[index].into()));
            }
            Step::RunStage(stage) if Some(stage) == stop_at => {
                records.push(ProgressRecord::Stopped("worse".into()))
            }
            Step::RunStage(stage) => records.push(ProgressRecord::StagePassed(stage)),
            Step::RollBack(index) => {
                records.push(ProgressRecord::RollbackStarted(NAMES[index].into()));
                records.push(ProgressRecord::RolledBack(NAMES[index].into()));
            }
            Step::RecordCompletion => records.push(ProgressRecord::Completed),
            Step::Completed | Step::RolledBack(_) => return records,
        }
    }
}

fn count(records: &[ProgressRecord], wanted: impl Fn(&ProgressRecord) -> bool) -> usize {
    records.iter().filter(|record| wanted(record)).count()
}

// Guards against a rollout that was killed between any two records and then changes a forwarder twice, leaves one
// unchanged, or after a stop does not roll back one whose change had begun.
#[test]
fn rollout_killed_between_any_two_records_reaches_the_same_end() {
    for stop_at in [None, Some(0), Some(1)] {
        let all_records = run_all_steps(Vec::new(), stop_at);
        for kill_index in 0..=all_records.len() {
            let resumed = run_all_steps(all_records[..kill_index].to_vec(), stop_at);
            let progress = Progress::of(&resumed);
            for name in NAMES {
                let changed = count(&resumed, |record| *record == ProgressRecord::ChangeApplied(name.into()));
                assert!(
                    changed <= 1,
                    "{name} changed twice after a kill at record {kill_index}: {resumed:?}"
                );
                match stop_at {
                    None => assert_eq!(changed, 1, "{name} after a kill at record {kill_index}"),
                    Some(_) => assert_eq!(
                        progress.change_started.contains(name),
                        progress.rolled_back.contains(name),
                        "{name} after a kill at record {kill_index}: {resumed:?}"
                    ),
                }
            }
            assert_eq!(progress.completed, stop_at.is_none(), "after a kill at record {kill_index}");
        }
    }
}

// Guards against a line that a kill truncated and that makes the progress file unreadable or damages the next record.
#[test]
fn progress_file_keeps_complete_lines_and_removes_a_truncated_one() {
    let folder = std::env::temp_dir().join(format!("orchidyoke-rollout-log-{}", std::process::id()));
    drop(std::fs::remove_dir_all(&folder));
    let (mut file, records) = ProgressFile::open(&folder).unwrap();
    assert!(records.is_empty());
    file.append(&ProgressRecord::ChangeStarted("a".into())).unwrap();
    file.append(&ProgressRecord::ChangeApplied("a".into())).unwrap();
    drop(file);
    let path = folder.join("rollout.jsonl");
    let mut text = std::fs::read_to_string(&path).unwrap();
    text.push_str("{\"chang");
    std::fs::write(&path, text).unwrap();
    let (mut file, records) = ProgressFile::open(&folder).unwrap();
    assert_eq!(records, changed("a"));
    file.append(&ProgressRecord::StagePassed(0)).unwrap();
    let (_, records) = ProgressFile::open(&folder).unwrap();
    assert_eq!(records.last(), Some(&ProgressRecord::StagePassed(0)));
    drop(std::fs::remove_dir_all(&folder));
}

// Guards against a renamed record, because a rollout is resumed from the progress file of an earlier release.
#[test]
fn records_keep_their_stored_form() {
    let stored = [
        (ProgressRecord::Started { plan_digest: "d".into() }, r#"{"began":{"plan":"d"}}"#),
        (ProgressRecord::ChangeStarted("f".into()), r#"{"changing":"f"}"#),
        (ProgressRecord::ChangeApplied("f".into()), r#"{"changed":"f"}"#),
        (ProgressRecord::StagePassed(1), r#"{"passed":1}"#),
        (ProgressRecord::Stopped("worse".into()), r#"{"stopped":"worse"}"#),
        (ProgressRecord::RollbackStarted("f".into()), r#"{"taking_back":"f"}"#),
        (ProgressRecord::RolledBack("f".into()), r#"{"taken_back":"f"}"#),
        (ProgressRecord::Completed, r#""done""#),
    ];
    for (record, line) in stored {
        assert_eq!(serde_json::to_string(&record).unwrap(), line);
        assert_eq!(serde_json::from_str::<ProgressRecord>(line).unwrap(), record);
    }
}
