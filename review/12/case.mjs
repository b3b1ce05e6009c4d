/** EVAC: a start in an evacuated zone after all entries were lost for a while. */
import {randomBytes} from 'node:crypto';
import {HAS_TROUBLE, runCase} from '../stand_ins_3/case.mjs';
import {Fleet} from '../stand_ins_3/fleet.mjs';
import {sleep} from '../stand_ins_3/http.mjs';

const EVACUATE_MILLIS = 5_000;
const DARK_MILLIS = 9_500;
const ZONE = 'z1';
const TASKS = 12;

const fleet = new Fleet({entries: 3, zones: ['z1', 'z2', 'z3', 'z1', 'z2', 'z3']});

await runCase(import.meta.url, fleet, async () => {
  await sleep(3_000);
  const id = randomBytes(8).toString('hex');
  const entries = fleet.entries().map(({name}) => fleet.processes.get(name));
  let acknowledgedAt = Infinity;
  const evacuate = async () => {
    await fleet.store.operatorWrite(`op/evacuate/${ZONE}`, {});
    acknowledgedAt = fleet.now;
    fleet.record({event: 'operator', what: `the evacuation of ${ZONE} is acknowledged`});
  };
  // The placements have just been stored.
  const isPlaced = new Promise(resolve => {
    fleet.store.onTransaction = ({puts}) => {
      if (!puts.some(({Key}) => Key.endsWith(`/progress/${id}`))) return;
      fleet.store.onTransaction = () => {};
      if (HAS_TROUBLE) {
        for (const entry of entries) entry.signal('SIGKILL');
        fleet.record({event: 'trouble', what: 'all entries lose power'});
      }
      resolve(evacuate());
    };
  });
  const step = {Count: TASKS, Cpu: 500, MemMb: 256, EstimateMs: 900};
  void fleet.call('POST', id, {body: {Spec: JSON.stringify({ms: 900}), Steps: [step]}});
  await isPlaced;
  if (HAS_TROUBLE) {
    await sleep(DARK_MILLIS);
    for (const entry of entries) entry.start();
    fleet.record({event: 'trouble', what: 'all entries are started again'});
  }
  await sleep(9_000);
  await fleet.call('GET', id);
  return fleet
    .starts(({zone, at}) => zone === ZONE && at > acknowledgedAt + EVACUATE_MILLIS)
    .map(({task, executor, at}) => `${task} was started on ${executor} in ${ZONE}, ${at - acknowledgedAt} ms after the evacuation was acknowledged`);
});
