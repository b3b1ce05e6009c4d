import {DemoRun} from './demo_run.js';
import {Fleet} from './fleet.js';
import {SMALL_FLEET} from './fleet_layout.js';

/** Usage: npm run demo. Ends with one JSON line and 0 when all went well. */
const startedAt = performance.now();

function report(text: string): void {
  const seconds = (performance.now() - startedAt) / 1_000;
  console.log(`${seconds.toFixed(1).padStart(5)} s  ${text}`);
}

async function main(): Promise<number> {
  const fleet = await Fleet.create({layout: SMALL_FLEET, onProgress: report});
  const demo = new DemoRun(fleet, report);
  let ok = false;
  try {
    await fleet.start();
    report('every entry sees every VM');
    const result = await demo.run();
    for (const problem of demo.problems()) report(`wrong: ${problem}`);
    console.log(JSON.stringify(result));
    ok = result.ok;
  } catch (thrown) {
    report(`wrong: ${thrown instanceof Error ? thrown.message : thrown}`);
    console.log(JSON.stringify({ok: false}));
  } finally {
    await fleet.dispose({keepFolder: !ok});
    if (!ok) console.error(`logs and records: ${fleet.folder}`);
  }
  return ok ? 0 : 1;
}

process.exitCode = await main();
