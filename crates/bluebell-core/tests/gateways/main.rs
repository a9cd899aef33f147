//! Stateful fuzzing of what gateways decide, against a simple oracle.
//!
//! A world of gateways, upstreams, operators and a store takes random steps: feeds have gaps, words of peers come late,
//! twice, out of order or never, gateways freeze or begin anew, the store turns some away or forgets its history,
//! upstreams end under requests, leave and come back, and releases are rolled out. What must hold is checked at the step
//! that could break it.

#[path = "../support/fuzzing.rs"]
mod fuzzing;
mod gateway;
mod oracle;
mod store;
mod world;

use fuzzing::{Steppable, Steps};
use proptest::{
    prelude::{BoxedStrategy, Just, Strategy, any},
    prop_oneof,
};
use proptest_state_machine::prop_state_machine;
use world::{Op, World};

/// Cases where no number is set.
const DEFAULT_CASES: u32 = 256;

impl Steppable for World {
    type Op = Op;

    fn new() -> Self {
        World::new()
    }

    fn ops() -> BoxedStrategy<Op> {
        let byte = any::<u8>;
        prop_oneof![
            16 => byte().prop_map(|gateway| Op::Read { gateway }),
            6 => (byte(), byte()).prop_map(|(from, to)| Op::Tell { from, to }),
            30 => byte().prop_map(|at| Op::Deliver { at }),
            3 => byte().prop_map(|at| Op::Duplicate { at }),
            2 => byte().prop_map(|at| Op::Drop { at }),
            24 => (byte(), byte()).prop_map(|(gateway, body)| Op::Request { gateway, body }),
            24 => byte().prop_map(|at| Op::Finish { at }),
            10 => byte().prop_map(|gateway| Op::Look { gateway }),
            3 => byte().prop_map(|upstream| Op::End { upstream }),
            6 => byte().prop_map(|upstream| Op::Start { upstream }),
            2 => byte().prop_map(|upstream| Op::Drain { upstream }),
            2 => byte().prop_map(|upstream| Op::Lapse { upstream }),
            2 => Just(Op::Declare),
            1 => any::<bool>().prop_map(|bad| Op::Order { bad }),
            12 => byte().prop_map(|gateway| Op::Drive { gateway }),
            1 => byte().prop_map(|gateway| Op::Restart { gateway }),
            2 => byte().prop_map(|gateway| Op::Freeze { gateway }),
            3 => byte().prop_map(|gateway| Op::TurnAway { gateway }),
            1 => Just(Op::Compact),
            12 => byte().prop_map(|steps| Op::Advance { steps }),
        ]
        .boxed()
    }

    fn step(&mut self, op: Op) {
        World::step(self, op);
    }

    fn settle(mut self) {
        World::settle(&mut self);
    }
}

prop_state_machine! {
    #![proptest_config(fuzzing::config(DEFAULT_CASES))]

    #[test]
    fn gateways_keep_the_rules_under_faults(sequential 60..300 => Steps<World>);
}
