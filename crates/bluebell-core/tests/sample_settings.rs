//! Loads every sample settings file. Valid files must be accepted whole. Invalid ones must be rejected with the error
//! named in their first line, and leave the state unchanged.

use std::path::Path;

use bluebell_core::{
    ids::Revision,
    settings::{Action, Branch, Record, SettingsError, State},
};

type TestResult = datatest_stable::Result<()>;

fn load(text: &str, state: &mut State) -> Result<(), SettingsError> {
    let branches = Branch::file_from_yaml(text)?;
    let texts = branches.iter().map(Branch::to_yaml).collect::<Result<Vec<_>, _>>()?;
    let record = Record {
        revision: state.revision.next(),
        change: "sample".parse().expect("a valid id"),
        author: "test".to_owned(),
        action: Action::Set { texts, base: Revision(u64::MAX) },
    };
    state.apply(&record)
}

fn valid(path: &Path) -> TestResult {
    let mut state = State::default();
    let base = std::fs::read_to_string(path.with_file_name("two_crews.yaml"))?;
    load(&base, &mut state)?;
    load(&std::fs::read_to_string(path)?, &mut state)?;
    assert_eq!(state.revision, Revision(2));
    Ok(())
}

fn invalid(path: &Path) -> TestResult {
    let text = std::fs::read_to_string(path)?;
    let expected = text.lines().next().and_then(|line| line.strip_prefix("# expect: ")).ok_or("no expectation")?;
    let mut state = State::default();
    let error = load(&text, &mut state).expect_err("the sample is invalid").to_string();
    assert!(error.contains(expected), "expected {expected:?}, found {error:?}");
    assert_eq!(state, State::default(), "no part of an invalid tree is applied");
    Ok(())
}

datatest_stable::harness! {
    { test = valid, root = "../../sample_configs/settings/valid", pattern = r".*\.yaml$" },
    { test = invalid, root = "../../sample_configs/settings/invalid", pattern = r".*\.yaml$" },
}
