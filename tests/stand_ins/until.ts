/** Resolves once the condition is true, checked every event loop turn. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve));
}
