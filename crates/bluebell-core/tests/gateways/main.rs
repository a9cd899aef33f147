//! Randomized state-machine test of the decisions that gateways make, checked by a simple oracle.
//!
//! A simulated world of gateways, upstreams, operators and a store executes random operations. Change feeds have gaps,
//! and messages between gateways are delayed, duplicated, reordered or lost. Gateways freeze, restart or can't reach
//! the store, and the store compacts its history. Upstreams crash with requests in flight, drain and come back, and
//! releases are rolled out. Each invariant is checked at the operations that could break it.

#[path = "../support/fuzzing.rs"]
mod fuzzing;
mod gateway;
mod oracle;
mod store;
mod world;

use fuzzing::{Simulation, SimulationTest};
use proptest::{
    prelude::{BoxedStrategy, Just, Strategy, any},
    prop_oneof,
};
use proptest_state_machine::prop_state_machine;
use world::{Op, World};

/// Number of cases unless `PROPTEST_CASES` is set.
const DEFAULT_CASES: u32 = 256;

impl Simulation for World {
    type Op = Op;

    fn new() -> Self {
        World::new()
    }

    fn ops() -> BoxedStrategy<Op> {
        let byte = any::<u8>;
        prop_oneof![
            16 => byte().prop_map(|gateway| Op::ReadStore { gateway }),
            6 => (byte(), byte()).prop_map(|(from, to)| Op::Gossip { from, to }),
            30 => byte().prop_map(|index| Op::Deliver { index }),
            3 => byte().prop_map(|index| Op::Duplicate { index }),
            2 => byte().prop_map(|index| Op::Drop { index }),
            24 => (byte(), byte()).prop_map(|(gateway, body)| Op::Request { gateway, body }),
            24 => byte().prop_map(|index| Op::FinishAttempt { index }),
            10 => byte().prop_map(|gateway| Op::Tick { gateway }),
            3 => byte().prop_map(|upstream| Op::CrashUpstream { upstream }),
            6 => byte().prop_map(|upstream| Op::StartUpstream { upstream }),
            2 => byte().prop_map(|upstream| Op::DrainUpstream { upstream }),
            2 => byte().prop_map(|upstream| Op::ToggleRegistration { upstream }),
            2 => Just(Op::ChangeConfig),
            1 => any::<bool>().prop_map(|faulty| Op::OrderRollout { faulty }),
            12 => byte().prop_map(|gateway| Op::AdvanceRollout { gateway }),
            1 => byte().prop_map(|gateway| Op::Restart { gateway }),
            2 => byte().prop_map(|gateway| Op::ToggleFreeze { gateway }),
            3 => byte().prop_map(|gateway| Op::ToggleStoreAccess { gateway }),
            1 => Just(Op::CompactStore),
            12 => byte().prop_map(|steps| Op::AdvanceTime { steps }),
        ]
        .boxed()
    }

    fn step(&mut self, op: Op) {
        World::step(self, op);
    }

    fn converge(mut self) {
        World::converge(&mut self);
    }
}

prop_state_machine! {
    #![proptest_config(fuzzing::config(DEFAULT_CASES))]

    #[test]
    fn gateway_invariants_hold_under_faults(sequential 60..300 => SimulationTest<World>);
}
