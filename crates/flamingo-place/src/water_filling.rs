//! Water-filling: distributes work over servers so that the highest load is as low as possible.

/// Returns the part of `work` that each server takes, given the load that each has already.
///
/// `loads` and `work` are in the same unit. The shares are in the order of `loads` and sum up to
/// `work`.
///
/// ```
/// use flamingo_place::water_filling::fill;
///
/// assert_eq!(fill(&[1.0, 2.0, 9.0], 3.0), [2.0, 1.0, 0.0]);
/// ```
#[must_use]
pub fn fill(loads: &[f64], work: f64) -> Vec<f64> {
    let mut shares = Vec::with_capacity(loads.len());
    fill_into(loads, work, &mut Vec::new(), &mut shares);
    shares
}

/// As [`fill`], into `shares`, whose previous content is dropped. `sorted` is scratch space.
pub fn fill_into(loads: &[f64], work: f64, sorted: &mut Vec<f64>, shares: &mut Vec<f64>) {
    sorted.clear();
    sorted.extend_from_slice(loads);
    sorted.sort_unstable_by(f64::total_cmp);
    let mut level = 0.0;
    let mut sum = 0.0;
    let mut count = 0.0;
    for (index, load) in sorted.iter().enumerate() {
        sum += load;
        count += 1.0;
        level = (sum + work) / count;
        let next = sorted.get(index + 1);
        if next.is_none_or(|next| level <= *next) {
            break;
        }
    }
    shares.clear();
    shares.extend(loads.iter().map(|load| (level - load).max(0.0)));
}
