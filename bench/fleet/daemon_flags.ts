import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

const DAEMON = new URL('../../burdockmoord.cjs', import.meta.url);
const FLAG = /^--/;

/** Node's flags, as the first line of the daemon's program has them. */
export function readDaemonFlags(): string[] {
  const text = readFileSync(fileURLToPath(DAEMON), 'utf8');
  const firstLine = text.slice(0, text.indexOf('\n'));
  return firstLine.split(' ').filter(word => FLAG.test(word));
}
