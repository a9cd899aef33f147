//! The definitions of the command-line parser.

use bluebellctl::args;

#[test]
fn options_are_consistent() {
    args::options().check_invariants(true);
}

#[test]
fn a_change_needs_its_version() {
    let missing = args::options().run_inner(&["--entry=x", "--key=y", "version", "withdraw"]);
    assert!(missing.is_err());
}
