//! Loads every sample of the daemon's settings: each invalid one is refused with the fault named in its first line.

use std::path::Path;

use bluebelld::config::Config;

type TestResult = datatest_stable::Result<()>;

fn valid(path: &Path) -> TestResult {
    Config::load(path)?;
    Ok(())
}

fn invalid(path: &Path) -> TestResult {
    let text = std::fs::read_to_string(path)?;
    let expected = text.lines().next().and_then(|line| line.strip_prefix("# expect: ")).ok_or("no expectation")?;
    let fault = Config::load(path).expect_err("the sample is invalid").to_string();
    assert!(fault.contains(expected), "expected {expected:?}, found {fault:?}");
    Ok(())
}

datatest_stable::harness! {
    { test = valid, root = "../../sample_configs/daemon/valid", pattern = r".*\.yaml$" },
    { test = invalid, root = "../../sample_configs/daemon/invalid", pattern = r".*\.yaml$" },
}
