/** Runs a case, writes its record, and exits as the review asks for. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const LIMIT_MILLIS = 115_000;
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** `play` resolves to a list of sentences, one for each time the rule broke. */
export async function runCase(moduleUrl, fleet, play) {
  const file = path.join(path.dirname(fileURLToPath(moduleUrl)), 'record.txt');
  let code = 2;
  let verdict;
  const limit = setTimeout(() => finish('it took too long'), LIMIT_MILLIS);
  const finish = async text => {
    clearTimeout(limit);
    const lines = fleet.records.map(record => JSON.stringify(record));
    writeFileSync(file, [`trouble: ${HAS_TROUBLE ? 'yes' : 'no'}`, ...lines, `verdict: ${text}`, ''].join('\n'));
    console.log(text);
    await fleet.stop();
    process.exit(code);
  };
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => void finish('it was interrupted'));
  try {
    await fleet.start();
    const broken = await play();
    code = broken.length > 0 ? 1 : 0;
    verdict = broken.length > 0 ? `broken: ${broken.join('; ')}` : 'the rule held';
  } catch (error) {
    verdict = `the case could not run: ${error.stack}`;
  }
  await finish(verdict);
}
