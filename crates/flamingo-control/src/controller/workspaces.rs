//! What operators are shown of workspaces and their quotas.

use flamingo_guard::quota::ledger::Level;
use flamingo_guard::quota::limits;
use flamingo_wire::admin::{Workspace, Workspaces};
use flamingo_wire::route::Set;
use flamingo_wire::workspace;
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns the workspaces of a configuration with what they used over the time `observed`.
///
/// ```
/// use flamingo_control::controller::workspaces::summarize;
/// use flamingo_guard::quota::ledger::Level;
/// use flamingo_wire::route::Set;
/// use flamingo_wire::workspace::{Quota, Workspace};
/// use std::time::Duration;
///
/// let quota = Some(Quota { per_s: 10.0, ..Quota::default() });
/// let workspace = Workspace { name: "w".into(), quota, ..Workspace::default() };
/// let set = Set { workspaces: Some(vec![workspace]), ..Set::default() };
/// let level = Level { workspace: "w".into(), granted: 40.0, ..Level::default() };
/// let summary = summarize(&set, &[level], Duration::from_secs(8));
/// assert_eq!(summary.workspaces[0].fraction, 0.5);
/// ```
#[must_use]
pub fn summarize(set: &Set, levels: &[Level], observed: Duration) -> Workspaces {
    let levels = levels.iter().map(|level| (level.workspace.as_str(), level));
    let levels: BTreeMap<&str, &Level> = levels.collect();
    let workspaces = set.workspaces.iter().flatten();
    let workspaces = workspaces.map(|workspace| {
        let level = levels.get(workspace.name.as_str()).copied();
        row(workspace, level, observed)
    });
    Workspaces {
        version: set.version,
        window_ms: u64::try_from(observed.as_millis()).unwrap_or(u64::MAX),
        workspaces: workspaces.collect(),
    }
}

fn row(workspace: &workspace::Workspace, level: Option<&Level>, observed: Duration) -> Workspace {
    let unlimited = Workspace {
        workspace: workspace.name.clone(),
        rank: workspace.rank,
        ..Workspace::default()
    };
    let Some(quota) = workspace.quota.filter(limits) else {
        return unlimited;
    };
    let used = level.map_or(0.0, |level| level.granted);
    let allowed = quota.per_s * observed.as_secs_f64();
    Workspace {
        unit: quota.unit,
        per_s: Some(quota.per_s),
        burst: quota.burst,
        used,
        fraction: if allowed > 0.0 { used / allowed } else { 0.0 },
        over: level.is_some_and(|level| level.refused > 0.0),
        ..unlimited
    }
}
