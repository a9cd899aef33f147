//! Stand-ins for the services around bluebellstack, a fault proxy and a load tool.
//!
//! They speak the same HTTP as the real services, in the small, and can be told to fail. Nothing of the product
//! depends on them.

pub mod args;
pub mod engine;
pub mod error;
pub mod floor;
pub mod ledger;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod site;
mod web;

use args::{Command, Options};
use error::StandinError;

/// Runs what the command line asks for.
///
/// # Errors
/// When a server can't listen, or a load run can't be made.
pub async fn run(options: Options) -> Result<(), StandinError> {
    match options.command {
        Command::Platform(listen) => platform::serve(&listen).await,
        Command::Engine(options) => engine::serve(options).await,
        Command::Ledger(options) => ledger::serve(options).await,
        Command::FloorEntry(options) => floor::serve(options).await,
        Command::Load(options) => load::run(options).await,
    }
}
