/** Addresses of processes, as settings write them. */

export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/** Splits `HOST:PORT`; a host in square brackets loses them. */
export function parseAddress(address: string): NetworkAddress {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

/** `HOST:PORT`, with square brackets around a host that has colons. */
export function formatAddress(address: NetworkAddress): string {
  const {host, port} = address;
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
