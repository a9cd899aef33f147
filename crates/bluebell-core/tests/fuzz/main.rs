//! Stateful fuzzing of the decisions against a simple oracle.
//!
//! A world of entries, sidecars, operators and a table takes random steps: messages are delivered late, twice, out
//! of order or never, processes are frozen or begin anew with empty memory, the table is down or loses answers. After
//! each step the oracle checks what must always hold.

#[path = "../support/fuzzing.rs"]
mod fuzzing;
mod once;
mod oracle;
mod parts;
mod table;
mod world;

use fuzzing::{Steppable, Steps};
use parts::Op;
use proptest::{
    prelude::{BoxedStrategy, Strategy, any},
    prop_oneof,
};
use proptest_state_machine::prop_state_machine;
use world::World;

/// Cases where no number is set.
const DEFAULT_CASES: u32 = 64;

impl Steppable for World {
    type Op = Op;

    fn new() -> Self {
        World::new()
    }

    fn ops() -> BoxedStrategy<Op> {
        let byte = any::<u8>;
        prop_oneof![
            3 => (byte(), byte()).prop_map(|(kind, version)| Op::Commit { kind, version }),
            6 => byte().prop_map(|node| Op::Poll { node }),
            6 => (byte(), byte()).prop_map(|(from, to)| Op::Gossip { from, to }),
            40 => byte().prop_map(|at| Op::Deliver { at }),
            4 => byte().prop_map(|at| Op::Duplicate { at }),
            2 => byte().prop_map(|at| Op::Drop { at }),
            2 => byte().prop_map(|node| Op::Restart { node }),
            2 => byte().prop_map(|entry| Op::Freeze { entry }),
            4 => byte().prop_map(|entry| Op::Thaw { entry }),
            2 => byte().prop_map(|fault| Op::Table { fault }),
            8 => (byte(), byte(), byte()).prop_map(|(entry, sidecar, version)| Op::Chat { entry, sidecar, version }),
            8 => (byte(), byte()).prop_map(|(entry, key)| Op::Call { entry, key }),
            15 => (byte(), byte()).prop_map(|(entry, sidecar)| Op::Step { entry, sidecar }),
            8 => (byte(), byte()).prop_map(|(entry, depth)| Op::Drive { entry, depth }),
            12 => byte().prop_map(|at| Op::Finish { at }),
            1 => byte().prop_map(|sidecar| Op::Leave { sidecar }),
            6 => byte().prop_map(|steps| Op::Advance { steps }),
        ]
        .boxed()
    }

    fn step(&mut self, op: Op) {
        World::step(self, op);
    }

    fn check(&self) {
        World::check(self);
    }

    fn settle(mut self) {
        World::settle(&mut self);
        self.check_bills();
    }
}

prop_state_machine! {
    #![proptest_config(fuzzing::config(DEFAULT_CASES))]

    #[test]
    fn promises_hold_under_faults(sequential 40..240 => Steps<World>);
}
