//! Tests of the stored format of the supervisor's folder. The state that an earlier version persisted there is read
//! with every field. The same state is written as the same text under the same file name.

use super::*;

const RUNNING: &str = include_str!("../../tests/fixtures/supervised.json");
/// The state while no process runs.
const IDLE: &str = include_str!("../../tests/fixtures/supervised-alone.json");
fn running() -> PersistedState {
    let processes =
        [(4_194_304, u64::MAX), (17, 0)].map(|(pid, start_ticks)| ProcessIdentity { pid, start_ticks });
    PersistedState { release: "v1.2-rc3".to_owned(), processes: processes.into() }
}

fn idle() -> PersistedState {
    PersistedState { release: "v1".to_owned(), processes: Vec::new() }
}

/// A temporary folder for one test, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("orchidyoke-{name}-{}", std::process::id()));
        drop(std::fs::remove_dir_all(&path));
        std::fs::create_dir_all(&path).expect("folder created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

#[test]
fn state_of_the_previous_version_is_read_field_by_field() {
    let folder = Folder::new("supervisor-read");
    for (text, state) in [(RUNNING, running()), (IDLE, idle())] {
        std::fs::write(folder.0.join("supervised.json"), text).expect("file written");
        let file = StateFile::open(&folder.0, "v0").expect("opened");
        assert_eq!((&file.state.release, &file.state.processes), (&state.release, &state.processes));
    }
}

#[test]
fn state_is_written_as_the_same_text_under_the_same_name() {
    let folder = Folder::new("supervisor-written");
    let mut file = StateFile::open(&folder.0, "v1").expect("opened");
    for (text, state) in [(IDLE, file.state.clone()), (RUNNING, running())] {
        file.state = state;
        file.save();
        assert_eq!(std::fs::read_to_string(folder.0.join("supervised.json")).expect("file read"), text);
    }
    assert!(folder.0.join("lock").exists());
    assert!(matches!(StateFile::open(&folder.0, "v1"), Err(SupervisorError::InUse { .. })));
}
