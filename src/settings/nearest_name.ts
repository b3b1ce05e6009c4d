/** The known name that takes the fewest edits to reach; undefined for none. */
export function nearestName(
  name: string,
  known: Iterable<string>,
): string | undefined {
  let nearest: string | undefined;
  let fewest = Infinity;
  for (const candidate of known) {
    const edits = editDistance(name, candidate);
    if (edits >= fewest) continue;
    fewest = edits;
    nearest = candidate;
  }
  return nearest;
}

const MAXIMUM_COMPARED_CHARACTERS = 64;

/** Insertions, deletions and replacements that turn one text into the other. */
function editDistance(from: string, to: string): number {
  const source = from.slice(0, MAXIMUM_COMPARED_CHARACTERS);
  let previous = Array.from({length: to.length + 1}, (_, index) => index);
  for (let row = 1; row <= source.length; row++) {
    const current = [row];
    for (let column = 1; column <= to.length; column++) {
      const replaced = source[row - 1] === to[column - 1] ? 0 : 1;
      current[column] = Math.min(
        previous[column] + 1,
        current[column - 1] + 1,
        previous[column - 1] + replaced,
      );
    }
    previous = current;
  }
  return previous[to.length];
}
