//! `fit::check` refuses exactly the sets that can't be resident.

use flamingo_place::fit;
use flamingo_test_support::{cases, seed};
use flamingo_wire::config::{Model, Set};

fn set(models: &[(u64, u32)]) -> Set {
    let numbered = models.iter().enumerate();
    let models = numbered.map(|(n, (weights, copies))| Model {
        anonymous: false,
        name: format!("m{n}"),
        version: 1,
        weights: *weights,
        cache: 0,
        copies: *copies,
        importance: 1,
        adapters: Vec::new(),
    });
    Set {
        models: models.collect(),
        ..Set::default()
    }
}

fn check_prints(models: &[(u64, u32)], sizes: &[u64], expected: &str) {
    let result = fit::check(&set(models), sizes);
    let text = result.map_or_else(|error| error.to_string(), |()| "fits".to_owned());
    assert_eq!(text, expected);
}

cases! { check_prints:
    nothing(&[], &[], "fits");
    no_accelerator(&[(1, 1)], &[],
        "model 'm0' needs 1 MiB on one accelerator; the largest has 0 MiB");
    exactly_full(&[(6, 1), (4, 1), (10, 1)], &[10, 10], "fits");
    too_large(&[(11, 1)], &[10, 10],
        "model 'm0' needs 11 MiB on one accelerator; the largest has 10 MiB");
    too_many_copies(&[(6, 3)], &[10, 10, 5],
        "model 'm0' asks for 3 copies of 6 MiB on different accelerators; 2 have that much");
    too_much(&[(6, 2), (5, 2)], &[10, 10],
        "the copies need 22 MiB together; the 2 accelerators have 20 MiB");
    greedy_packing_fails_but_search_finds(
        &[(6, 1), (4, 1), (4, 1), (4, 1), (3, 1), (3, 1)], &[12, 12], "fits");
    no_packing(&[(7, 1), (7, 1), (6, 1)], &[10, 10],
        "no packing found: after 2 of 3 copies, largest first, model 'm2' needs 6 MiB and \
         the most left on one accelerator is 3 MiB");
}

/// Returns whether any placement of the copies exists, by trying all of them.
fn placement_exists(copies: &[(usize, u64)], free: &mut [u64], models: &mut [Vec<usize>]) -> bool {
    let Some(((model, size), rest)) = copies.split_first() else {
        return true;
    };
    for accelerator in 0..free.len() {
        if free[accelerator] < *size || models[accelerator].contains(model) {
            continue;
        }
        free[accelerator] -= size;
        models[accelerator].push(*model);
        let found = placement_exists(rest, free, models);
        models[accelerator].pop();
        free[accelerator] += size;
        if found {
            return true;
        }
    }
    false
}

#[test]
fn a_set_is_refused_exactly_where_no_placement_exists() {
    #[allow(clippy::needless_pass_by_value)] // quickcheck passes arguments by value
    fn agrees(models: Vec<(u8, bool)>, sizes: Vec<u8>) -> bool {
        let models: Vec<(u64, u32)> = models
            .iter()
            .take(5)
            .map(|(size, twice)| (u64::from(size % 10) + 1, 1 + u32::from(*twice)))
            .collect();
        let sizes: Vec<u64> = sizes
            .iter()
            .take(4)
            .map(|size| u64::from(size % 20))
            .collect();
        let copies = models
            .iter()
            .enumerate()
            .flat_map(|(model, (size, copies))| (0..*copies).map(move |_| (model, *size)));
        let copies: Vec<_> = copies.collect();
        let mut placed = vec![Vec::new(); sizes.len()];
        let exists = placement_exists(&copies, &mut sizes.clone(), &mut placed);
        fit::check(&set(&models), &sizes).is_ok() == exists
    }
    seed::check(2_000, 20, agrees as fn(Vec<(u8, bool)>, Vec<u8>) -> bool);
}
