/** Network addresses of processes, as written in settings. */

export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/** Parses `HOST:PORT`; removes square brackets around the host. */
export function parseAddress(address: string): NetworkAddress {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

/** Returns `HOST:PORT`, with square brackets around a host with colons. */
export function formatAddress(address: NetworkAddress): string {
  const {host, port} = address;
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
