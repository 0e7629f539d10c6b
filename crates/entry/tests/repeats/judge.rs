//! Whether the repeats that targets saw are within what all entry hosts may make together.

use std::collections::BTreeMap;

use cornelhitch_types::id::Time;

/// The window over which repeats are counted; it slides.
pub const WINDOW: Time = Time::from_secs(10);
/// Repeats that each request of a service allows.
pub const RATIO: f64 = 0.2;
/// Repeats that are allowed besides.
pub const SLACK: u32 = 58;

/// What was seen of one service.
#[derive(Debug, Default)]
struct Seen {
    requests: Vec<Time>,
    repeats: Vec<Time>,
}

/// What was seen of all services.
#[derive(Debug, Default)]
pub struct Judge(BTreeMap<&'static str, Seen>);

impl Judge {
    /// A caller sent a request.
    pub fn request(&mut self, service: &'static str, at: Time) {
        self.0.entry(service).or_default().requests.push(at);
    }

    /// A target got a request that a target had got before.
    pub fn repeat(&mut self, service: &'static str, at: Time) {
        self.0.entry(service).or_default().repeats.push(at);
    }

    /// Repeats of a service so far.
    pub fn repeats(&self, service: &str) -> usize {
        self.0.get(service).map_or(0, |seen| seen.repeats.len())
    }

    /// The worst window of each service that is over its budget, in words.
    pub fn faults(&self) -> Vec<String> {
        let worst = self.0.iter().filter_map(|(service, seen)| {
            let windows = seen.repeats.iter().map(|from| seen.window(*from));
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

impl Seen {
    /// The window that begins at a time. Requests count in it, in the one before and in the one half a
    /// window before, whichever has most.
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

/// How many times lie in the window that begins at a time.
fn count(times: &[Time], from: Time) -> u32 {
    let in_it = times
        .iter()
        .filter(|at| **at >= from && **at < from + WINDOW);
    u32::try_from(in_it.count()).unwrap_or(u32::MAX)
}

#[test]
fn the_judge_finds_one_repeat_too_many() {
    for (more, broken) in [(0, false), (1, true)] {
        let mut judge = Judge::default();
        for at in 0..100 {
            judge.request("booking", Time::from_millis(at * 99));
        }
        for at in 0..u64::from(SLACK) + 20 + more {
            judge.repeat("booking", Time::from_secs(2) + Time::from_millis(at));
        }
        assert_eq!(!judge.faults().is_empty(), broken, "{:?}", judge.faults());
    }
}
