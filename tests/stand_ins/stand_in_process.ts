import {appendFileSync, existsSync, readFileSync} from 'node:fs';

/** What the main files of the stand-ins share. */

interface Closable {
  listen(address?: string): Promise<string>;
  close(): Promise<void>;
}

/** Listens, prints the address as a JSON line, and closes on SIGTERM. */
export async function runStandIn(
  standIn: Closable,
  address: string | undefined,
): Promise<void> {
  const stop = () => void standIn.close().then(() => process.exit(0));
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  const listening = await standIn.listen(address);
  console.log(JSON.stringify({listening}));
}

/** Appends a value as a JSON line, so that it outlives the process. */
export function appendLine(file: string, value: object): void {
  appendFileSync(file, `${JSON.stringify(value)}\n`);
}

/** The values of a file of JSON lines; a cut last line is left out. */
export function readLines<Value>(file: string): Value[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, 'utf8').split('\n');
  lines.pop();
  return lines.map(line => JSON.parse(line) as Value);
}
