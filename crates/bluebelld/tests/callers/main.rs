//! Tests with callers outside the limits. Each checks that the gateway's process lives, that its memory and descriptors
//! stay within the machine of its settings, and that an ordinary request is answered afterwards. None checks times or
//! how many requests were served.

mod bodies;
mod connections;
mod heads;
mod hostile;
mod pipelined;
#[allow(dead_code, unused_imports)]
#[path = "../gateway/site.rs"]
mod site;
mod slow_readers;

use bluebell_standins::{caller, process, wait::until};
