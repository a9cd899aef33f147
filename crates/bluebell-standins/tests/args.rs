//! Checks that the definition of the command line is complete and consistent.

use bluebell_standins::args;

#[test]
fn options_are_consistent() {
    args::options().check_invariants(true);
}
