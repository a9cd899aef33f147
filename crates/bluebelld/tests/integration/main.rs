//! Integration tests with real processes on loopback.

mod util;

mod path;
