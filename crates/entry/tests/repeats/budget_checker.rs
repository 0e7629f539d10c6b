//! Checks the retries that targets received against the budget of all entry hosts together.

use std::collections::BTreeMap;

use cornelhitch_types::id::Time;

/// The sliding window over which retries are counted.
pub const WINDOW: Time = Time::from_secs(10);
/// Retries allowed per request of a service.
pub const RATIO: f64 = 0.2;
/// Additional retries allowed per window.
pub const SLACK: u32 = 58;

/// What was observed for one service.
#[derive(Debug, Default)]
struct Observed {
    requests: Vec<Time>,
    repeats: Vec<Time>,
}

/// Checks the retries of all services.
#[derive(Debug, Default)]
pub struct BudgetChecker(BTreeMap<&'static str, Observed>);

impl BudgetChecker {
    /// Records a request that a caller sent.
    pub fn request(&mut self, service: &'static str, at: Time) {
        self.0.entry(service).or_default().requests.push(at);
    }

    /// Records that a target received a request that some target had received before.
    pub fn repeat(&mut self, service: &'static str, at: Time) {
        self.0.entry(service).or_default().repeats.push(at);
    }

    /// Returns the number of retries of a service so far.
    pub fn repeats(&self, service: &str) -> usize {
        self.0
            .get(service)
            .map_or(0, |observed| observed.repeats.len())
    }

    /// Returns a description of the worst window of each service that exceeds its budget.
    pub fn violations(&self) -> Vec<String> {
        let worst = self.0.iter().filter_map(|(service, observed)| {
            let windows = observed.repeats.iter().map(|from| observed.window(*from));
            let over = windows.filter(|window| f64::from(window.repeats) > window.allowed);
            let worst = over.max_by_key(|window| window.repeats)?;
            Some(format!("{service}: {worst:?}"))
        });
        worst.collect()
    }
}

/// One window of a service.
#[derive(Debug)]
struct Window {
    #[allow(dead_code)]
    from: Time,
    repeats: u32,
    allowed: f64,
}

impl Observed {
    /// Returns the window that begins at `from`. Its allowance is based on the largest number of
    /// requests in this window, the one before and the one half a window earlier.
    fn window(&self, from: Time) -> Window {
        let starts = [
            from,
            from.saturating_sub(WINDOW),
            from.saturating_sub(WINDOW / 2),
        ];
        let requests = starts.map(|start| count(&self.requests, start));
        let most = requests.into_iter().max().unwrap_or(0);
        Window {
            from,
            repeats: count(&self.repeats, from),
            allowed: RATIO * f64::from(most) + f64::from(SLACK),
        }
    }
}

/// Returns how many times lie in the window that begins at `from`.
fn count(times: &[Time], from: Time) -> u32 {
    let in_it = times
        .iter()
        .filter(|at| **at >= from && **at < from + WINDOW);
    u32::try_from(in_it.count()).unwrap_or(u32::MAX)
}

#[test]
fn the_checker_detects_one_retry_too_many() {
    for (more, broken) in [(0, false), (1, true)] {
        let mut checker = BudgetChecker::default();
        for at in 0..100 {
            checker.request("booking", Time::from_millis(at * 99));
        }
        for at in 0..u64::from(SLACK) + 20 + more {
            checker.repeat("booking", Time::from_secs(2) + Time::from_millis(at));
        }
        assert_eq!(
            !checker.violations().is_empty(),
            broken,
            "{:?}",
            checker.violations()
        );
    }
}
