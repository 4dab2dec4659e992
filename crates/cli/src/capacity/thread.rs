//! CPU time of this process's threads, read from `/proc`.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// CPU time used so far by all live threads of this name; zero if `/proc` can't be read.
pub fn cpu_time(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let paths = tasks.filter_map(|task| Some(task.ok()?.path()));
    paths.filter(|path| is_named(path, name)).filter_map(|path| task_time(&path)).sum()
}

fn is_named(task: &Path, name: &str) -> bool {
    fs::read_to_string(task.join("comm")).is_ok_and(|text| text.trim() == name)
}

fn task_time(task: &Path) -> Option<Duration> {
    let text = fs::read_to_string(task.join("schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}
