//! Randomized state-machine test of the decisions that entries and sidecars make, checked by a simple oracle.
//!
//! A simulated world of entries, sidecars, operators and the platform's table executes random operations. Messages are
//! delayed, duplicated, reordered or lost, processes freeze or restart with empty memory, and the table is unavailable
//! or loses its responses. Invariants are checked during and after each operation.

#[path = "../support/fuzzing.rs"]
mod fuzzing;
mod model;
mod oracle;
mod pending_call;
mod table;
mod world;

use fuzzing::{Simulation, SimulationTest};
use model::Op;
use proptest::{
    prelude::{BoxedStrategy, Strategy, any},
    prop_oneof,
};
use proptest_state_machine::prop_state_machine;
use world::World;

/// Number of cases unless `PROPTEST_CASES` is set.
const DEFAULT_CASES: u32 = 64;

impl Simulation for World {
    type Op = Op;

    fn new() -> Self {
        World::new()
    }

    fn ops() -> BoxedStrategy<Op> {
        let byte = any::<u8>;
        prop_oneof![
            3 => (byte(), byte()).prop_map(|(kind, version)| Op::ChangeSettings { kind, version }),
            6 => byte().prop_map(|node| Op::PollTable { node }),
            6 => (byte(), byte()).prop_map(|(from, to)| Op::Gossip { from, to }),
            40 => byte().prop_map(|index| Op::Deliver { index }),
            4 => byte().prop_map(|index| Op::Duplicate { index }),
            2 => byte().prop_map(|index| Op::Drop { index }),
            2 => byte().prop_map(|node| Op::Restart { node }),
            2 => byte().prop_map(|entry| Op::Freeze { entry }),
            4 => byte().prop_map(|entry| Op::Thaw { entry }),
            2 => byte().prop_map(|fault| Op::SetTableFault { fault }),
            8 => (byte(), byte(), byte())
                .prop_map(|(entry, sidecar, version)| Op::StartChat { entry, sidecar, version }),
            8 => (byte(), byte()).prop_map(|(entry, key)| Op::StartCall { entry, key }),
            15 => (byte(), byte()).prop_map(|(entry, sidecar)| Op::AdvanceCall { entry, sidecar }),
            8 => (byte(), byte()).prop_map(|(entry, steps)| Op::RunCall { entry, steps }),
            12 => byte().prop_map(|index| Op::FinishWork { index }),
            1 => byte().prop_map(|sidecar| Op::Leave { sidecar }),
            6 => byte().prop_map(|steps| Op::AdvanceTime { steps }),
        ]
        .boxed()
    }

    fn step(&mut self, op: Op) {
        World::step(self, op);
    }

    fn check(&self) {
        World::check(self);
    }

    fn converge(mut self) {
        World::converge(&mut self);
        self.check_billing();
    }
}

prop_state_machine! {
    #![proptest_config(fuzzing::config(DEFAULT_CASES))]

    #[test]
    fn invariants_hold_under_faults(sequential 40..240 => SimulationTest<World>);
}
