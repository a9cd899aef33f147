//! Command line of the stand-ins.

use bpaf::Bpaf;

/// Stand-ins for the services around bluebellstack, and a load tool.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub struct Options {
    /// What to run.
    #[bpaf(external(command))]
    pub command: Command,
}

/// What to run.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// The platform's store of rows and objects
    #[bpaf(command("store"))]
    Store(#[bpaf(external(listen))] String),
    /// A model engine
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_options))] EngineOptions),
    /// A ledger of loans, whose calls may not be repeated
    #[bpaf(command("ledger"))]
    Ledger(#[bpaf(external(ledger_options))] LedgerOptions),
    /// A hop that passes requests on and decides nothing
    #[bpaf(command("floor"))]
    FloorEntry(#[bpaf(external(floor_options))] FloorOptions),
    /// Sends requests at a fixed rate and reports latencies
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_options))] LoadOptions),
}

fn listen() -> impl bpaf::Parser<String> {
    use bpaf::Parser;
    bpaf::long("listen").help("Address to listen on, IP and port").argument::<String>("ADDRESS").map(|text| text)
}

/// Settings of an engine.
#[derive(Debug, Clone, Bpaf)]
pub struct EngineOptions {
    /// Address to listen on, IP and port
    #[bpaf(argument("ADDRESS"))]
    pub listen: String,
    /// File that gets a line for each run
    #[bpaf(argument("FILE"))]
    pub log: Option<String>,
    /// Time for one token of each sequence, in microseconds
    #[bpaf(argument("MICROS"), fallback(2000))]
    pub step: u64,
    /// Time that each further sequence adds to a step, in microseconds
    #[bpaf(argument("MICROS"), fallback(100))]
    pub slope: u64,
    /// Sequences in one batch
    #[bpaf(argument("COUNT"), fallback(16))]
    pub batch: usize,
    /// Prompt blocks that the prefix cache holds
    #[bpaf(argument("COUNT"), fallback(4096))]
    pub cache: usize,
    /// Obey orders that carry an old fencing number
    pub unfenced: bool,
}

/// Settings of a ledger.
#[derive(Debug, Clone, Bpaf)]
pub struct LedgerOptions {
    /// Address to listen on, IP and port
    #[bpaf(argument("ADDRESS"))]
    pub listen: String,
    /// File that gets a line for each call
    #[bpaf(argument("FILE"))]
    pub log: Option<String>,
    /// Time that a call takes, in microseconds
    #[bpaf(argument("MICROS"), fallback(1000))]
    pub work: u64,
}

/// Settings of a hop that decides nothing.
#[derive(Debug, Clone, Bpaf)]
pub struct FloorOptions {
    /// Address to listen on, IP and port
    #[bpaf(argument("ADDRESS"))]
    pub listen: String,
    /// Where requests go, each an http://ip:port; taken in turn
    #[bpaf(argument("URL"), some("at least one --next"))]
    pub next: Vec<String>,
    /// Threads
    #[bpaf(argument("COUNT"), fallback(2))]
    pub threads: usize,
}

/// Settings of a load run.
#[derive(Debug, Clone, Bpaf)]
pub struct LoadOptions {
    /// Where requests go, each an http://ip:port; taken in turn
    #[bpaf(argument("URL"), some("at least one --target"))]
    pub target: Vec<String>,
    /// Requests a second
    #[bpaf(argument("RATE"), fallback(100.0))]
    pub rate: f64,
    /// Length of the run, in seconds
    #[bpaf(argument("SECONDS"), fallback(5.0))]
    pub seconds: f64,
    /// Requests sent in a closed loop by this many senders, in place of a fixed rate
    #[bpaf(argument("COUNT"))]
    pub closed: Option<usize>,
    /// Requests that may be waiting for an answer at once
    #[bpaf(argument("COUNT"), fallback(4096))]
    pub bound: usize,
    /// JSON file with the mix of callers
    #[bpaf(argument("FILE"))]
    pub mix: Option<String>,
    /// Key of a single caller, where no mix is given
    #[bpaf(argument("KEY"), fallback("none".to_owned()))]
    pub key: String,
    /// Tokens to ask for
    #[bpaf(argument("COUNT"), fallback(16))]
    pub tokens: u64,
    /// Ask for streamed answers
    pub stream: bool,
    /// Seed of arrivals and mix
    #[bpaf(argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Print JSON in place of text
    pub json: bool,
}
