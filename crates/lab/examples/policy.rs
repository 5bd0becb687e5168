//! Measures the routing policy against baselines, in model time.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use medlarrill_lab::policy::scenario::NAMES;
use medlarrill_lab::policy::size::Size;
use medlarrill_lab::policy::{Options, POLICIES, Policy, Switches, plot, report, run};

/// Measures placement, bound and limits of the fleet against baselines.
#[derive(Parser)]
struct Args {
    /// Prints JSON in place of a table.
    #[arg(long)]
    json: bool,
    /// Seed of traces and draws; the same seed gives the same figures.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Sizes: padkos, kelaniya, small, or tenth, which takes many minutes.
    #[arg(long, value_delimiter = ',', default_value = "padkos,kelaniya")]
    sizes: Vec<String>,
    /// Scenarios; all if none is named.
    #[arg(long, value_delimiter = ',')]
    scenarios: Vec<String>,
    /// Policies; all if none is named.
    #[arg(long, value_delimiter = ',')]
    policies: Vec<String>,
    /// Seconds of model time measured, in place of the size's own.
    #[arg(long)]
    measured: Option<u64>,
    /// Lag of the engines' reports in milliseconds.
    #[arg(long, default_value_t = 500)]
    report_lag: u64,
    /// Ignores cache events.
    #[arg(long)]
    no_hints: bool,
    /// Share of cache events that are lost.
    #[arg(long, default_value_t = 0.1)]
    event_gaps: f64,
    /// Writes plots to this directory.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Threads; the machine's processors if absent.
    #[arg(long)]
    threads: Option<usize>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let options = match options(&args) {
        Ok(options) => options,
        Err(text) => {
            eprintln!("policy: {text}");
            return ExitCode::FAILURE;
        }
    };
    let rows = run(&options, &|over, of| {
        eprint!("\rpolicy: {over} of {of} runs");
        let _ = std::io::stderr().flush();
    });
    eprintln!();
    if args.json {
        for row in &rows {
            match serde_json::to_string(row) {
                Ok(line) => println!("{line}"),
                Err(error) => eprintln!("policy: {error}"),
            }
        }
    } else {
        print!("{}", report::table(&rows));
    }
    if let Some(dir) = &args.plot
        && let Err(error) = plot::write(&rows, dir)
    {
        eprintln!("policy: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn options(args: &Args) -> Result<Options, String> {
    let mut sizes = Vec::new();
    for name in &args.sizes {
        let mut size = Size::named(name).ok_or_else(|| format!("`{name}` is not a size"))?;
        size.measured = args.measured.unwrap_or(size.measured);
        sizes.push(size);
    }
    let mut scenarios = args.scenarios.clone();
    if scenarios.is_empty() {
        scenarios = NAMES.map(String::from).to_vec();
    }
    if let Some(name) = scenarios
        .iter()
        .find(|name| !NAMES.contains(&name.as_str()))
    {
        return Err(format!("`{name}` is not one of {}", NAMES.join(", ")));
    }
    let named =
        |policy: &Policy| args.policies.is_empty() || args.policies.contains(&policy.to_string());
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    Ok(Options {
        seed: args.seed,
        sizes,
        scenarios,
        policies: POLICIES.into_iter().filter(named).collect(),
        switches: Switches {
            report_lag: args.report_lag,
            hints: !args.no_hints,
            event_gaps: args.event_gaps,
        },
        threads: args.threads.unwrap_or(processors),
    })
}
