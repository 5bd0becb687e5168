//! Sizes of the modelled installations.

use serde::Serialize;

/// One data centre.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Centre {
    /// Number of its region.
    pub region: usize,
    /// Daemons in it.
    pub daemons: usize,
    /// Model endpoints in it.
    pub endpoints: usize,
}

/// What one engine can do.
#[derive(Clone, Copy, PartialEq, Debug)]
#[derive(Serialize)]
pub struct EngineSize {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that it computes in a millisecond.
    pub prefill: f64,
    /// Milliseconds between two tokens of one request that runs alone.
    pub step: f64,
    /// Milliseconds added by each further request.
    pub step_each: f64,
    /// Tokens that its prefix cache holds.
    pub cache: u64,
}

/// One installation.
#[derive(Clone, PartialEq, Debug)]
pub struct Size {
    /// Its name in the output.
    pub name: &'static str,
    /// Its data centres.
    pub centres: Vec<Centre>,
    /// Its engines, all alike.
    pub engine: EngineSize,
    /// Institutions.
    pub institutions: usize,
    /// Client accounts.
    pub accounts: usize,
    /// Mean output of a request, in tokens.
    pub output: f64,
    /// Model time before the measurement, in seconds.
    pub warm: u64,
    /// Model time of the measurement, in seconds.
    pub measured: u64,
    /// Model time of one step, in milliseconds.
    pub step: u64,
}

const SMALL_ENGINE: EngineSize = EngineSize {
    slots: 16,
    prefill: 8.0,
    step: 16.0,
    step_each: 0.6,
    cache: 500_000,
};

const LARGE_ENGINE: EngineSize = EngineSize {
    slots: 128,
    prefill: 40.0,
    step: 16.0,
    step_each: 0.15,
    cache: 3_000_000,
};

fn centre(region: usize, daemons: usize, endpoints: usize) -> Centre {
    Centre {
        region,
        daemons,
        endpoints,
    }
}

impl Size {
    /// Three data centres, 20 replicas, 8 daemons.
    pub fn padkos() -> Self {
        Self {
            name: "padkos",
            centres: vec![centre(0, 3, 7), centre(0, 3, 7), centre(0, 2, 6)],
            engine: SMALL_ENGINE,
            institutions: 5,
            accounts: 10,
            output: 250.0,
            warm: 600,
            measured: 480,
            step: 10,
        }
    }

    /// Four data centres, 10 replicas, 8 daemons.
    pub fn kelaniya() -> Self {
        let centres = [3, 3, 2, 2].map(|endpoints| centre(0, 2, endpoints));
        Self {
            name: "kelaniya",
            centres: centres.to_vec(),
            ..Self::padkos()
        }
    }

    /// A tenth of the design size: 3 regions, 11 data centres, 35 daemons, 450 replicas.
    pub fn tenth() -> Self {
        let daemons = [4, 3, 3, 3, 3, 3, 3, 4, 3, 3, 3];
        let regions = [0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2];
        let of = |n: usize| centre(regions[n], daemons[n], if n == 10 { 40 } else { 41 });
        Self {
            name: "tenth",
            centres: (0..daemons.len()).map(of).collect(),
            engine: LARGE_ENGINE,
            institutions: 18,
            accounts: 74,
            output: 400.0,
            warm: 240,
            measured: 240,
            step: 20,
        }
    }

    /// A size for quick tests: 4 daemons, 8 replicas.
    pub fn small() -> Self {
        Self {
            name: "small",
            centres: vec![centre(0, 2, 4), centre(0, 2, 4)],
            warm: 60,
            measured: 60,
            ..Self::padkos()
        }
    }

    /// The size of this name.
    pub fn named(name: &str) -> Option<Self> {
        let all = [
            Self::padkos(),
            Self::kelaniya(),
            Self::tenth(),
            Self::small(),
        ];
        all.into_iter().find(|size| size.name == name)
    }

    /// Endpoints in all.
    pub fn endpoints(&self) -> usize {
        self.centres.iter().map(|centre| centre.endpoints).sum()
    }

    /// Daemons in all.
    pub fn daemons(&self) -> usize {
        self.centres.iter().map(|centre| centre.daemons).sum()
    }

    /// Regions.
    pub fn regions(&self) -> usize {
        let last = self.centres.iter().map(|centre| centre.region).max();
        last.map_or(0, |last| last + 1)
    }
}
