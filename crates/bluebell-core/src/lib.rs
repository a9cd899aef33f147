//! Decisions of the bluebellstack router, free of input and output.
//!
//! Nothing here opens a socket, starts a thread, reads a clock or draws unseeded randomness. Each part takes typed
//! events together with the time and returns typed effects, so the same code runs inside the daemon, under the
//! fuzzer and inside other programs that embed it.

pub mod billing;
pub mod calls;
pub mod canary;
pub mod cascade;
pub mod clock;
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
pub mod replica;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod session;
pub mod settings;
pub mod units;
pub mod upstreams;
