/** Returns a Markdown table; pipes in cells are escaped. */
export function markdownTable(
  headings: readonly string[],
  rows: ReadonlyArray<ReadonlyArray<string | number>>,
): string {
  const lines = [headings, headings.map(() => '---'), ...rows].map(
    cells => `| ${cells.map(cell => escapeCell(String(cell))).join(' | ')} |`,
  );
  return lines.join('\n');
}

/** Joins blocks with empty lines between them. */
export function joinBlocks(blocks: readonly string[]): string {
  return `${blocks.join('\n\n')}\n`;
}

/** First line of the pages that `npm run docs` writes. */
export const GENERATED_PAGE_COMMENT =
  '<!-- Written by `npm run docs` from the code; change it there. -->';

function escapeCell(text: string): string {
  return text.replace(/\|/g, '\\|');
}
