/** Returns a text table with columns as wide as their longest cell. */
export function formatTable(
  headings: readonly string[],
  rows: ReadonlyArray<ReadonlyArray<string | number>>,
): string {
  const cells = rows.map(row => row.map(String));
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...cells.map(row => row[column].length)),
  );
  const lines = [headings, ...cells].map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
  return lines.join('\n');
}

/** Returns a wall-clock time as ISO 8601, or a hyphen if it is not set. */
export function formatTime(wallTime: number): string {
  return wallTime > 0 ? new Date(wallTime).toISOString() : '-';
}

/** Returns the text, or a hyphen if it is empty or undefined. */
export function orHyphen(text: string | undefined): string {
  return text === undefined || text === '' ? '-' : text;
}
