//! Text tables.

/// The gap between two columns.
const GAP: &str = "  ";

/// Formats `rows` below `headers`, with columns as wide as their longest cell.
pub(crate) fn table<const N: usize>(headers: [&str; N], rows: &[[String; N]]) -> String {
    let headers = headers.map(str::to_owned);
    let all = || std::iter::once(&headers).chain(rows);
    let width = |column: usize| all().map(|row| row[column].chars().count()).max();
    let widths: [usize; N] = std::array::from_fn(|column| width(column).unwrap_or_default());
    let lines: Vec<String> = all().map(|row| line(row, &widths)).collect();
    lines.join("\n")
}

/// Formats one row, without spaces at the end.
fn line<const N: usize>(row: &[String; N], widths: &[usize; N]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    cells.join(GAP).trim_end().to_owned()
}
