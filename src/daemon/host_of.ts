/** The `HOST:PORT` of a plain HTTP address. */
export function hostOf(address: string): string {
  return new URL(address).host;
}
