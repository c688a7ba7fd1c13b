//! A progress bar on the terminal, and waits until a moment of a run.

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::time::{Duration, Instant};

const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// The progress of a run in time.
pub struct Progress {
    bar: ProgressBar,
    start: Instant,
}

impl Progress {
    /// A run of this length that began at `start`.
    pub fn new(name: &str, length: Duration, start: Instant) -> Self {
        let bar = ProgressBar::with_draw_target(Some(length.as_secs()), ProgressDrawTarget::stderr());
        let style = ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len} s");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar.set_message(name.to_owned());
        Progress { bar, start }
    }

    /// Waits until this long after the start.
    pub fn wait_until(&self, elapsed: Duration) {
        while self.start.elapsed() < elapsed {
            self.update();
            std::thread::sleep((elapsed - self.start.elapsed()).min(UPDATE_INTERVAL));
        }
    }

    /// Shows the time that has passed.
    pub fn update(&self) {
        self.bar.set_position(self.start.elapsed().as_secs());
    }

    /// Removes the bar.
    pub fn finish(&self) {
        self.bar.finish_and_clear();
    }
}
