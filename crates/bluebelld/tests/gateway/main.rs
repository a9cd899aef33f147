//! Tests that run gateways as real processes against a stand-in for the users' platform. They check what callers and
//! upstreams observe when parts of the system fail.

mod answers;
mod caller_limits;
mod crash_storm;
mod cut_heads;
mod early_answers;
mod endless;
mod evacuations;
mod explain;
mod kept_answers;
mod leaving;
mod left_out;
mod limits;
mod members;
mod odd_rows;
mod pauses;
mod poison;
mod poison_parts;
mod ramp_ups;
mod readers;
mod refusals;
mod restarted;
mod restores;
mod resumed_streams;
mod rollouts;
mod silent;
mod site;
mod stops;
mod streams;

use bluebell_standins::{caller, process, wait::until};
