//! Max-min fair division of a capacity.

/// Returns the level up to which each of `asked` can be served by `capacity`: those who ask for less get
/// all of it, and the others get the same (water filling). `None` if all can be served.
///
/// ```
/// use flamingo_guard::share::level::level;
///
/// assert_eq!(level([1.0, 2.0, 6.0], 9.0), None);
/// assert_eq!(level([1.0, 2.0, 6.0], 7.0), Some(4.0));
/// assert_eq!(level([1.0, 5.0, 6.0], 7.0), Some(3.0));
/// ```
#[must_use]
pub fn level(asked: impl IntoIterator<Item = f64>, capacity: f64) -> Option<f64> {
    let mut asked: Vec<f64> = asked.into_iter().collect();
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut others = asked.len();
    for amount in asked {
        // The number of workspaces is far below the integers that a float represents exactly.
        #[allow(clippy::cast_precision_loss, reason = "a small count")]
        let equal = left / others as f64;
        if amount > equal {
            return Some(equal);
        }
        left -= amount;
        others -= 1;
    }
    None
}
