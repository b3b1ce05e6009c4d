/** Returns the lines that differ, marked `<` (first text) or `>` (second). */
export function diffLines(first: string, second: string): string[] {
  const left = first.split('\n');
  const right = second.split('\n');
  const common = commonSubsequenceLengths(left, right);
  const difference: string[] = [];
  let row = 0;
  let column = 0;
  while (row < left.length || column < right.length) {
    if (left[row] === right[column]) {
      row++;
      column++;
    } else if (common[row][column + 1] >= (common[row + 1]?.[column] ?? -1)) {
      difference.push(`> ${right[column++]}`);
    } else {
      difference.push(`< ${left[row++]}`);
    }
  }
  return difference;
}

/** Lengths of the longest common subsequences from each pair of positions. */
function commonSubsequenceLengths(
  left: readonly string[],
  right: readonly string[],
): number[][] {
  const width = right.length + 1;
  const lengths = Array.from({length: left.length + 1}, () =>
    new Array<number>(width).fill(0),
  );
  for (let row = left.length - 1; row >= 0; row--) {
    for (let column = right.length - 1; column >= 0; column--) {
      lengths[row][column] =
        left[row] === right[column]
          ? lengths[row + 1][column + 1] + 1
          : Math.max(lengths[row + 1][column], lengths[row][column + 1]);
    }
  }
  return lengths;
}
