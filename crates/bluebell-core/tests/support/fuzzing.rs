//! What the stateful fuzzers share: a world that takes steps, and the settings of a run.
//!
//! `BLUEBELL_SEED` sets the seed and `PROPTEST_CASES` the number of cases; both are printed.

use std::{fmt, marker::PhantomData};

use proptest::{
    prelude::{BoxedStrategy, Just, Strategy},
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Seed where none is set.
const DEFAULT_SEED: u64 = 20_261_204;
/// Tries to make a failing case shorter; each takes as long as a case.
const MAX_SHRINKS: u32 = 100;

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The run that the environment asks for, or one of so many cases.
pub fn config(default_cases: u32) -> Config {
    let seed = setting("BLUEBELL_SEED", DEFAULT_SEED);
    let cases = setting("PROPTEST_CASES", default_cases);
    eprintln!("BLUEBELL_SEED={seed} PROPTEST_CASES={cases}");
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINKS,
        ..Config::default()
    }
}

/// A world that random steps are taken in.
pub trait Steppable: 'static {
    /// A step.
    type Op: Clone + fmt::Debug + 'static;

    fn new() -> Self;

    /// Steps, each as often as it should come.
    fn ops() -> BoxedStrategy<Self::Op>;

    fn step(&mut self, op: Self::Op);

    /// Checks what must hold after each step, where the steps don't.
    fn check(&self) {}

    /// Ends all faults, and checks what must hold then.
    fn settle(self);
}

/// Steps in a world, without a model beside it.
pub struct Steps<W>(PhantomData<W>);

impl<W: Steppable> ReferenceStateMachine for Steps<W> {
    type State = ();
    type Transition = W::Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<W::Op> {
        W::ops()
    }

    fn apply((): (), _: &W::Op) {}
}

impl<W: Steppable> StateMachineTest for Steps<W> {
    type SystemUnderTest = W;
    type Reference = Self;

    fn init_test((): &()) -> W {
        W::new()
    }

    fn apply(mut world: W, (): &(), op: W::Op) -> W {
        world.step(op);
        world
    }

    fn check_invariants(world: &W, (): &()) {
        world.check();
    }

    fn teardown(world: W, (): ()) {
        world.settle();
    }
}
