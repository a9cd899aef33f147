//! Decision logic of the bluebellstack router, without I/O.
//!
//! No code in this crate opens a socket, starts a thread, reads a clock or uses unseeded randomness. Each component
//! takes typed events together with the current time and returns typed effects, so that the same code runs in the
//! daemon, under the fuzzer and in other programs that embed it.

pub mod billing;
pub mod calls;
pub mod canary;
pub mod cascade;
pub mod clock;
pub mod cold_start;
pub mod dissemination;
pub mod events;
pub mod gate;
pub mod ids;
pub mod ingress;
pub mod intent;
pub mod kernel;
pub mod keys;
pub mod lease;
pub mod members;
pub mod placing;
pub mod poison;
pub mod quality;
pub mod rate_limit;
pub mod replica;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod session;
pub mod settings;
pub mod store_version;
pub mod stream_end;
pub mod units;
pub mod upstreams;
