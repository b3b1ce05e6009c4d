import {appendFileSync, existsSync, readFileSync} from 'node:fs';

/** Functions shared by the main files of the stand-ins. */

interface Closable {
  listen(address?: string): Promise<string>;
  close(): Promise<void>;
}

/** Listens, prints the address as JSON, and closes on SIGTERM or SIGINT. */
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

/** Appends a value as a JSON line, so that it survives a process restart. */
export function appendLine(file: string, value: object): void {
  appendFileSync(file, `${JSON.stringify(value)}\n`);
}

/** Reads a file of JSON lines; ignores an incomplete last line. */
export function readLines<Value>(file: string): Value[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, 'utf8').split('\n');
  lines.pop();
  return lines.map(line => JSON.parse(line) as Value);
}
