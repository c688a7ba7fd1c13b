//! Protects the JSON that the evaluating process sends to the forwarder. After an upgrade on disk, the new program
//! evaluates the script for a forwarder that still runs the old one.

use super::*;
use crate::script::Location;
use std::path::PathBuf;

const REJECTED: &str = r#"{"Bad":{"file":"edge.star","place":[3,7],"why":"no"}}"#;
const REJECTED_FILE: &str = r#"{"Bad":{"file":"edge.star","place":null,"why":"no"}}"#;
const EVALUATED: &str = r#"{"Good":{"consul":null,"policy":null,"ownership":null}}"#;

fn rejected(location: Option<Location>) -> ScriptError {
    ScriptError { file: PathBuf::from("edge.star"), location, reason: "no".to_owned() }
}

#[test]
fn outcome_is_written_and_read_in_the_form_of_earlier_versions() {
    for (error, json) in
        [(rejected(Some(Location { line: 3, column: 7 })), REJECTED), (rejected(None), REJECTED_FILE)]
    {
        assert_eq!(serde_json::to_string(&Outcome::Rejected(error.clone())).expect("JSON"), json);
        let Ok(Outcome::Rejected(read)) = serde_json::from_str(json) else { panic!("{json}") };
        assert_eq!(read, error);
    }
    let nothing = Outcome::Evaluated(Box::default());
    assert_eq!(serde_json::to_string(&nothing).expect("JSON"), EVALUATED);
    let Ok(Outcome::Evaluated(read)) = serde_json::from_str(EVALUATED) else { panic!("{EVALUATED}") };
    assert_eq!(*read, Installation::default());
}
