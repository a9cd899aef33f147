//! Shared harness of the randomized state-machine tests: the trait of a simulated world, its proptest adapter and the
//! configuration of a run.
//!
//! `BLUEBELL_SEED` sets the seed and `PROPTEST_CASES` the number of cases; both are printed.

use std::{fmt, marker::PhantomData};

use proptest::{
    prelude::{BoxedStrategy, Just, Strategy},
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Seed used unless `BLUEBELL_SEED` is set.
const DEFAULT_SEED: u64 = 20_261_204;
/// Maximum number of attempts to shrink a failing case; each takes as long as running a case.
const MAX_SHRINK_ITERATIONS: u32 = 100;

/// Parses an environment variable; returns the default if it is unset or invalid.
fn env_or<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Configuration of a run, from the environment or else with the default seed and `default_cases`.
pub fn config(default_cases: u32) -> Config {
    let seed = env_or("BLUEBELL_SEED", DEFAULT_SEED);
    let cases = env_or("PROPTEST_CASES", default_cases);
    eprintln!("BLUEBELL_SEED={seed} PROPTEST_CASES={cases}");
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERATIONS,
        ..Config::default()
    }
}

/// A simulated world that a test drives by random operations.
pub trait Simulation: 'static {
    /// A random operation.
    type Op: Clone + fmt::Debug + 'static;

    fn new() -> Self;

    /// Strategy that draws operations by their relative weights.
    fn ops() -> BoxedStrategy<Self::Op>;

    fn step(&mut self, op: Self::Op);

    /// Checks invariants after each operation, in addition to the checks that the operations make themselves.
    fn check(&self) {}

    /// Ends all faults, lets the world converge and checks the resulting state.
    fn converge(self);
}

/// Adapts a [`Simulation`] to proptest's state machines. The reference model is empty, since the world checks itself.
pub struct SimulationTest<W>(PhantomData<W>);

impl<W: Simulation> ReferenceStateMachine for SimulationTest<W> {
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

impl<W: Simulation> StateMachineTest for SimulationTest<W> {
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
        world.converge();
    }
}
