//! Limit of the rate of one kind of log line.

/// Length of the window in which lines are counted, in ms.
const WINDOW_MS: u64 = 1_000;

/// Counts the lines of one kind, and suppresses those beyond a number for each second.
#[derive(Debug)]
pub(crate) struct LineLimit {
    max_lines: u64,
    window_start_ms: u64,
    lines: u64,
    suppressed: u64,
}

impl LineLimit {
    /// Allows `max_lines` lines for each second.
    pub(crate) fn new(max_lines: u64) -> Self {
        Self { max_lines, window_start_ms: 0, lines: 0, suppressed: 0 }
    }

    /// Whether a line may be written now: if so, the number of lines that were suppressed since the
    /// last one; `None` if it is suppressed.
    pub(crate) fn permit(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms >= self.window_start_ms + WINDOW_MS {
            self.window_start_ms = now_ms;
            self.lines = 0;
        }
        if self.lines >= self.max_lines {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
