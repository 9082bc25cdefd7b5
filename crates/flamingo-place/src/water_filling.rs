//! Water-filling: work is spread so that the busiest place is least busy.

/// Spreads `work` over places that are busy already, in any one unit; returns the share of each.
///
/// ```
/// use flamingo_place::water_filling::fill;
///
/// assert_eq!(fill(&[1.0, 2.0, 9.0], 3.0), [2.0, 1.0, 0.0]);
/// ```
#[must_use]
pub fn fill(busy: &[f64], work: f64) -> Vec<f64> {
    let mut sorted = busy.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut level = 0.0;
    let mut sum = 0.0;
    let mut places = 0.0;
    for (place, busy) in sorted.iter().enumerate() {
        sum += busy;
        places += 1.0;
        level = (sum + work) / places;
        let next = sorted.get(place + 1);
        if next.is_none_or(|next| level <= *next) {
            break;
        }
    }
    let share = |busy: &f64| (level - busy).max(0.0);
    busy.iter().map(share).collect()
}
