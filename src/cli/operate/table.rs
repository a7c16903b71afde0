//! Plain-text tables and time formatting.

/// Table with a header row and left-aligned columns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header and no other rows.
    pub(super) fn new<const N: usize>(header: [&str; N]) -> Self {
        Self {
            rows: vec![header.map(str::to_string).to_vec()],
        }
    }

    /// Adds a row.
    pub(super) fn add<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    /// Formats the table. Every column is as wide as its widest cell.
    pub(super) fn text(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            text.push_str(padded.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}

/// Formats Unix milliseconds as `YYYY-MM-DD hh:mm:ss` in UTC.
pub(super) fn format_time(at_ms: u64) -> String {
    let seconds = at_ms / 1_000;
    let (day, second) = (seconds / 86_400, seconds % 86_400);
    let (year, month, date) = civil_from_days(day as i64);
    let (hour, minute) = (second / 3_600, second / 60 % 60);
    format!(
        "{year:04}-{month:02}-{date:02} {hour:02}:{minute:02}:{:02}",
        second % 60
    )
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar.
fn civil_from_days(days: i64) -> (i64, i64, i64) {
    let shifted = days + 719_468;
    let era = shifted.div_euclid(146_097);
    let day_of_era = shifted.rem_euclid(146_097);
    let leaps = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leaps) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month, day)
}
