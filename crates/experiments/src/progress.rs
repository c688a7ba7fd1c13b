//! A progress bar on the terminal, and waits for given times of a run.

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::time::{Duration, Instant};

const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// The elapsed time of a run, shown as a progress bar.
pub struct Progress {
    bar: ProgressBar,
    start: Instant,
}

impl Progress {
    /// Creates the progress bar of a run with this length that began at `start`.
    pub fn new(name: &str, length: Duration, start: Instant) -> Self {
        let bar = ProgressBar::with_draw_target(Some(length.as_secs()), ProgressDrawTarget::stderr());
        let style = ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len} s");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar.set_message(name.to_owned());
        Progress { bar, start }
    }

    /// Waits until `elapsed` has passed since the start.
    pub fn wait_until(&self, elapsed: Duration) {
        while self.start.elapsed() < elapsed {
            self.update();
            std::thread::sleep((elapsed - self.start.elapsed()).min(UPDATE_INTERVAL));
        }
    }

    /// Shows the elapsed time.
    pub fn update(&self) {
        self.bar.set_position(self.start.elapsed().as_secs());
    }

    /// Removes the bar.
    pub fn finish(&self) {
        self.bar.finish_and_clear();
    }
}
