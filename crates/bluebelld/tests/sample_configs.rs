//! Loads every sample settings file of the daemon. Each invalid one must be rejected with an error that contains the
//! text given in the file's first line, after `# expect: `.

use std::path::Path;

use bluebelld::{config::Config, gateway::GatewaySettings};

type TestResult = datatest_stable::Result<()>;

fn valid(path: &Path) -> TestResult {
    Config::load(path)?;
    Ok(())
}

fn invalid(path: &Path) -> TestResult {
    assert_error(path, &Config::load(path).expect_err("the sample is invalid").to_string())
}

fn valid_gateway(path: &Path) -> TestResult {
    GatewaySettings::load(path)?;
    Ok(())
}

fn invalid_gateway(path: &Path) -> TestResult {
    assert_error(path, &GatewaySettings::load(path).expect_err("the sample is invalid").to_string())
}

fn assert_error(path: &Path, error: &str) -> TestResult {
    let text = std::fs::read_to_string(path)?;
    let expected = text.lines().next().and_then(|line| line.strip_prefix("# expect: ")).ok_or("no expectation")?;
    assert!(error.contains(expected), "expected {expected:?}, found {error:?}");
    Ok(())
}

datatest_stable::harness! {
    { test = valid, root = "../../sample_configs/daemon/valid", pattern = r".*\.yaml$" },
    { test = invalid, root = "../../sample_configs/daemon/invalid", pattern = r".*\.yaml$" },
    { test = valid_gateway, root = "../../sample_configs/gateway/valid", pattern = r".*\.yaml$" },
    { test = invalid_gateway, root = "../../sample_configs/gateway/invalid", pattern = r".*\.yaml$" },
}
