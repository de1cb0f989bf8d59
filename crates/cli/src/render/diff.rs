use std::fmt::Write;

/// Unchanged lines shown around a change.
const CONTEXT_LINES: usize = 3;

#[derive(Clone, Copy, Eq, PartialEq)]
enum Mark {
    Same,
    Removed,
    Added,
}

impl Mark {
    fn sign(self) -> char {
        match self {
            Mark::Same => ' ',
            Mark::Removed => '-',
            Mark::Added => '+',
        }
    }
}

/// Shows what turns one text into another, line by line, with some
/// unchanged lines around; empty if they are the same.
///
/// The longest common subsequence between the common start and end decides.
/// It takes time and memory by the product of the differing parts; a
/// configuration has some hundred lines.
///
/// # Example
///
/// ```
/// use pomeloslip::render::diff_lines;
///
/// assert_eq!(diff_lines("a\nb\n", "a\nc\n"), " a\n-b\n+c\n");
/// assert_eq!(diff_lines("a\n", "a\n"), "");
/// ```
pub fn diff_lines(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    show(&compare(&old, &new))
}

fn compare<'a>(old: &[&'a str], new: &[&'a str]) -> Vec<(Mark, &'a str)> {
    let start = common(old.iter(), new.iter());
    let (old_rest, new_rest) = (&old[start..], &new[start..]);
    let end = common(old_rest.iter().rev(), new_rest.iter().rev());
    let old_middle = &old_rest[..old_rest.len() - end];
    let new_middle = &new_rest[..new_rest.len() - end];

    let same = |line: &&'a str| (Mark::Same, *line);
    let mut lines: Vec<_> = old[..start].iter().map(same).collect();
    lines.extend(compare_middle(old_middle, new_middle));
    lines.extend(old[old.len() - end..].iter().map(same));
    lines
}

fn common<'a>(
    a: impl Iterator<Item = &'a &'a str>,
    b: impl Iterator<Item = &'a &'a str>,
) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

fn compare_middle<'a>(
    old: &[&'a str],
    new: &[&'a str],
) -> Vec<(Mark, &'a str)> {
    let lengths = common_lengths(old, new);
    let mut lines = Vec::new();
    let (mut i, mut j) = (0, 0);
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            lines.push((Mark::Same, old[i]));
            i += 1;
            j += 1;
        } else if j == new.len()
            || (i < old.len() && lengths[i + 1][j] >= lengths[i][j + 1])
        {
            lines.push((Mark::Removed, old[i]));
            i += 1;
        } else {
            lines.push((Mark::Added, new[j]));
            j += 1;
        }
    }
    lines
}

/// Lengths of the longest common subsequences of all pairs of tails.
fn common_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
    let mut lengths = vec![vec![0; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i][j] = if old[i] == new[j] {
                lengths[i + 1][j + 1] + 1
            } else {
                lengths[i + 1][j].max(lengths[i][j + 1])
            };
        }
    }
    lengths
}

fn show(lines: &[(Mark, &str)]) -> String {
    let changed: Vec<usize> = (0..lines.len())
        .filter(|n| lines[*n].0 != Mark::Same)
        .collect();
    let near = |n: usize| {
        let next = changed.partition_point(|c| *c + CONTEXT_LINES < n);
        changed
            .get(next)
            .is_some_and(|c| c.abs_diff(n) <= CONTEXT_LINES)
    };
    let mut text = String::new();
    let mut skipping = false;
    for (n, (mark, line)) in lines.iter().enumerate() {
        if near(n) {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{}{line}", mark.sign());
        } else if !skipping && !changed.is_empty() {
            text.push_str("...\n");
        }
        skipping = !near(n);
    }
    text
}
