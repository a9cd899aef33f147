//! Command line options of the stand-ins.

use bpaf::Bpaf;

/// Stand-ins for the services around bluebellstack, and a load generator.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub struct Options {
    /// Program to run.
    #[bpaf(external(command))]
    pub command: Command,
}

/// Program to run.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// The platform's store of rows and objects
    #[bpaf(command("store"))]
    Store(#[bpaf(external(listen))] String),
    /// A simulated model engine
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_options))] EngineOptions),
    /// A ledger of loans, whose calls are not idempotent
    #[bpaf(command("ledger"))]
    Ledger(#[bpaf(external(ledger_options))] LedgerOptions),
    /// A pass-through proxy, the baseline for measurements of added latency
    #[bpaf(command("floor"))]
    Baseline(#[bpaf(external(baseline_options))] BaselineOptions),
    /// A load generator: sends requests at a fixed rate and reports latencies
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_options))] LoadOptions),
}

fn listen() -> impl bpaf::Parser<String> {
    use bpaf::Parser;
    bpaf::long("listen").help("Address to listen on, IP and port").argument::<String>("ADDRESS").map(|text| text)
}

/// Options of an engine.
#[derive(Debug, Clone, Bpaf)]
pub struct EngineOptions {
    /// Address to listen on, IP and port
    #[bpaf(argument("ADDRESS"))]
    pub listen: String,
    /// File to which a line is appended for each run
    #[bpaf(argument("FILE"))]
    pub log: Option<String>,
    /// Time of one decoding step (one token of each sequence), in microseconds
    #[bpaf(argument("MICROS"), fallback(2000))]
    pub step: u64,
    /// Time that each further sequence in the batch adds to a step, in microseconds
    #[bpaf(argument("MICROS"), fallback(100))]
    pub slope: u64,
    /// Maximum number of sequences in a batch
    #[bpaf(argument("COUNT"), fallback(16))]
    pub batch: usize,
    /// Capacity of the prefix cache, in prompt blocks
    #[bpaf(argument("COUNT"), fallback(4096))]
    pub cache: usize,
    /// Accept orders that carry an outdated fencing number
    pub unfenced: bool,
}

/// Options of a ledger.
#[derive(Debug, Clone, Bpaf)]
pub struct LedgerOptions {
    /// Address to listen on, IP and port
    #[bpaf(argument("ADDRESS"))]
    pub listen: String,
    /// File to which a line is appended for each call
    #[bpaf(argument("FILE"))]
    pub log: Option<String>,
    /// Processing time of a call, in microseconds
    #[bpaf(argument("MICROS"), fallback(1000))]
    pub work: u64,
}

/// Options of the baseline proxy.
#[derive(Debug, Clone, Bpaf)]
pub struct BaselineOptions {
    /// Address to listen on, IP and port
    #[bpaf(argument("ADDRESS"))]
    pub listen: String,
    /// Base URL to which requests are sent, as http://ip:port; several are used in round-robin order
    #[bpaf(argument("URL"), some("at least one --next"))]
    pub next: Vec<String>,
    /// Number of threads
    #[bpaf(argument("COUNT"), fallback(2))]
    pub threads: usize,
}

/// Options of a load run.
#[derive(Debug, Clone, Bpaf)]
pub struct LoadOptions {
    /// Base URL to which requests are sent, as http://ip:port; several are used in round-robin order
    #[bpaf(argument("URL"), some("at least one --target"))]
    pub target: Vec<String>,
    /// Mean number of requests per second
    #[bpaf(argument("RATE"), fallback(100.0))]
    pub rate: f64,
    /// Duration of the run, in seconds
    #[bpaf(argument("SECONDS"), fallback(5.0))]
    pub seconds: f64,
    /// Send requests in a closed loop with this many concurrent senders, in place of a fixed rate
    #[bpaf(argument("COUNT"))]
    pub closed: Option<usize>,
    /// Maximum number of requests in flight; further ones are counted as failed
    #[bpaf(argument("COUNT"), fallback(4096))]
    pub bound: usize,
    /// JSON file with the mix of callers
    #[bpaf(argument("FILE"))]
    pub mix: Option<String>,
    /// API key of the single caller that is used without a mix
    #[bpaf(argument("KEY"), fallback("none".to_owned()))]
    pub key: String,
    /// Number of tokens to request, without a mix
    #[bpaf(argument("COUNT"), fallback(16))]
    pub tokens: u64,
    /// Request streamed answers, without a mix
    pub stream: bool,
    /// Random seed for the arrival times and the choice of callers
    #[bpaf(argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Print the report as JSON
    pub json: bool,
}
