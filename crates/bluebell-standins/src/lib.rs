//! Stand-ins for the services around bluebellstack, a fault proxy and a load tool.
//!
//! They speak the same HTTP as the real services, in the small, and can be told to fail. Nothing of the product
//! depends on them.

pub mod args;
pub mod caller;
pub mod engine;
pub mod error;
pub mod floor;
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

/// Runs what the command line asks for.
///
/// # Errors
/// When a server can't listen, or a load run can't be made.
pub async fn run(options: Options) -> Result<(), StandinError> {
    match options.command {
        Command::Store(listen) => serve_store(&listen).await,
        Command::Engine(options) => engine::serve(options).await,
        Command::Ledger(options) => ledger::serve(options).await,
        Command::FloorEntry(options) => floor::serve(options).await,
        Command::Load(options) => load::run(options).await,
    }
}

async fn serve_store(listen: &str) -> Result<(), StandinError> {
    let context = ServeSnafu { address: listen };
    let address = listen.parse().map_err(std::io::Error::other).context(context)?;
    site::serve(bluebell_wire::listen(address).context(context)?).await;
    Ok(())
}
