/** Renders rows as a text table: each column is as wide as its widest cell; no trailing spaces. */
export function renderTable(rows: readonly (readonly string[])[]): readonly string[] {
  const widths =
    rows[0]?.map((_cell, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0))) ?? [];
  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
