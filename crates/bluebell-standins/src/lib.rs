//! Stand-ins for the services around bluebellstack, a fault-injecting TCP proxy and a load generator, for tests, the
//! demo and measurements.
//!
//! The stand-ins implement the parts of the real services' HTTP interfaces that the product uses, and can be told to
//! fail. The product itself does not depend on this crate.

pub mod args;
pub mod baseline;
pub mod caller;
pub mod engine;
pub mod error;
pub mod ledger;
pub mod load;
pub mod process;
pub mod proxy;
pub mod site;
pub mod wait;
mod web;

use args::{Command, Options};
use error::{ServeSnafu, StandinError};
use snafu::ResultExt;

/// Runs the program that the command line selects.
///
/// # Errors
/// If a server cannot listen or fails, or if a load run cannot be set up.
pub async fn run(options: Options) -> Result<(), StandinError> {
    match options.command {
        Command::Store(listen) => serve_store(&listen).await,
        Command::Engine(options) => engine::serve(options).await,
        Command::Ledger(options) => ledger::serve(options).await,
        Command::Baseline(options) => baseline::serve(options).await,
        Command::Load(options) => load::run(options).await,
    }
}

async fn serve_store(listen: &str) -> Result<(), StandinError> {
    let context = ServeSnafu { address: listen };
    let address = listen.parse().map_err(std::io::Error::other).context(context)?;
    site::serve(bluebell_wire::listen(address).context(context)?).await;
    Ok(())
}
