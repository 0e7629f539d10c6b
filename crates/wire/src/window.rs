//! Replay protection with a sliding window of sequence numbers, as in RFC 4303.

/// Size of the window in sequence numbers.
const WIDTH: u64 = 64;

/// The most recent sequence numbers of one sender; each is accepted once.
///
/// ```
/// use cornelhitch_wire::window::ReplayWindow;
///
/// let mut window = ReplayWindow::default();
/// assert!(window.accept(7));
/// assert!(!window.accept(7));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    accepted_mask: u64,
}

impl ReplayWindow {
    /// Records a sequence number. Returns `false` if it was accepted before, is too old for the
    /// window, or is 0; numbers start at 1.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let shift = number - self.highest;
            self.accepted_mask = if shift < WIDTH {
                self.accepted_mask << shift
            } else {
                0
            };
            self.accepted_mask |= 1;
            self.highest = number;
            return true;
        }
        let age = self.highest - number;
        if age >= WIDTH || number == 0 {
            return false;
        }
        let bit = 1 << age;
        let is_new = self.accepted_mask & bit == 0;
        self.accepted_mask |= bit;
        is_new
    }
}
