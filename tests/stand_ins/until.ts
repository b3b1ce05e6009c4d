/** Resolves once the condition holds, looked at in each turn of the loop. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve));
}
