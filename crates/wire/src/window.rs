//! Which numbers were seen before, after the anti-replay window of RFC 4303.

/// Numbers that the window reaches back.
const WIDTH: u64 = 64;

/// The newest numbers of one sender, each accepted once.
///
/// ```
/// use cornelhitch_wire::window::Window;
///
/// let mut window = Window::default();
/// assert!(window.accept(7));
/// assert!(!window.accept(7));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Window {
    newest: u64,
    seen: u64,
}

impl Window {
    /// Whether a number is new; it is not from then on. Numbers start from 1.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.newest {
            let step = number - self.newest;
            self.seen = if step < WIDTH { self.seen << step } else { 0 };
            self.seen |= 1;
            self.newest = number;
            return true;
        }
        let back = self.newest - number;
        if back >= WIDTH || number == 0 {
            return false;
        }
        let bit = 1 << back;
        let fresh = self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }
}
