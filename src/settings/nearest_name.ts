/** Returns the known name with the smallest edit distance, if there is any. */
export function nearestName(
  name: string,
  known: Iterable<string>,
): string | undefined {
  let nearest: string | undefined;
  let smallestDistance = Infinity;
  for (const candidate of known) {
    const distance = editDistance(name, candidate);
    if (distance >= smallestDistance) continue;
    smallestDistance = distance;
    nearest = candidate;
  }
  return nearest;
}

const MAXIMUM_COMPARED_CHARACTERS = 64;

/** Returns the Levenshtein distance; only the start of `from` is compared. */
function editDistance(from: string, to: string): number {
  const source = from.slice(0, MAXIMUM_COMPARED_CHARACTERS);
  let previous = Array.from({length: to.length + 1}, (_, index) => index);
  for (let row = 1; row <= source.length; row++) {
    const current = [row];
    for (let column = 1; column <= to.length; column++) {
      const replacementCost = source[row - 1] === to[column - 1] ? 0 : 1;
      current[column] = Math.min(
        previous[column] + 1,
        current[column - 1] + 1,
        previous[column - 1] + replacementCost,
      );
    }
    previous = current;
  }
  return previous[to.length];
}
