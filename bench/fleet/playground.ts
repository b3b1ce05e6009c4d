import {Fleet} from './fleet.js';
import {SMALL_FLEET} from './fleet_layout.js';

/** Usage: npm run playground. Keeps the demo's fleet until it is interrupted. */
async function main(): Promise<void> {
  const fleet = await Fleet.create({
    layout: SMALL_FLEET,
    onProgress: text => console.log(text),
  });
  const interrupted = new Promise<void>(resolve => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
  try {
    await fleet.start();
    const {team, service} = fleet.layout;
    const urls = fleet.layout.entries.map(
      ({name}) => `http://${fleet.addresses.of(name, 'callers')}`,
    );
    console.log(`export BURDOCKMOOR_ENTRY=${urls.join(',')}`);
    console.log(`team ${team}, service ${service}`);
    console.log(`settings and logs: ${fleet.folder}`);
    console.log('Interrupt it with Ctrl+C to stop.');
    await interrupted;
    await fleet.stopAll();
  } finally {
    await fleet.dispose();
  }
}

await main();
