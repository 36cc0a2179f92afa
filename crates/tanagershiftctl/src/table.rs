//! Tables for people.

/// Prints rows under a heading, each column as wide as its widest cell.
pub fn print(heading: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([heading[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let pad = |(cell, width): (&&str, &usize)| format!("{cell:<width$}");
        let cells: Vec<String> = cells.iter().zip(&widths).map(pad).collect();
        println!("{}", cells.join("  ").trim_end());
    };
    line(heading.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}
