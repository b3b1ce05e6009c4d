/** Rows under headings, in columns as wide as their longest cell. */
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

/** Calendar time for people; a hyphen for none. */
export function formatTime(wallTime: number): string {
  return wallTime > 0 ? new Date(wallTime).toISOString() : '-';
}

/** A hyphen for an empty text. */
export function orHyphen(text: string | undefined): string {
  return text === undefined || text === '' ? '-' : text;
}
