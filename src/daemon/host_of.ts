/** Returns the `HOST:PORT` of an HTTP address. */
export function hostOf(address: string): string {
  return new URL(address).host;
}
