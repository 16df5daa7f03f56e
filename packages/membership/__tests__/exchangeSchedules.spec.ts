/**
 * Random schedules of fact exchanges in simulated time, generated from seeds: three relays that
 * follow each other and followers that follow one relay, with restarts, partitions and delays.
 * Each fact is published once. Every connected VM must hold it within three seconds, even if VMs
 * lost it by a restart.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { Random } from '@spoolplank/shared';
import { createFactTable } from '../src/factTable';
import type { FactTable } from '../src/factTable';

const SCHEDULES = 2000;
const RELAYS = ['r0', 'r1', 'r2'] as const;
const FOLLOWERS = ['f0', 'f1', 'f2', 'f3'] as const;
const STEP_MS = 100;
const STEPS = 60;
const CONVERGENCE_LIMIT_MS = 3000;
const FACTS = 6;
/** Probabilities per step, in percent. */
const RESTART_PERCENT = 4;
const CUT_PERCENT = 6;
const MAX_CUT_STEPS = 15;
const DELAY_PERCENT = 20;

interface Vm {
  readonly name: string;
  table: FactTable<string>;
  runs: number;
  /** Instance and revision of each source's table that the VM has received. */
  readonly known: Map<string, { run: string; revision: number }>;
  followed: string;
}

function createSimulation(random: Random) {
  const clock = createManualClock(100_000);
  const cutUntil = new Map<string, number>();
  const vms = new Map<string, Vm>();

  function createTable(name: string, run: number): FactTable<string> {
    return createFactTable<string>({ clock, instance: `${name}/${run}`, isUrgent: () => true });
  }

  [...RELAYS, ...FOLLOWERS].forEach((name) =>
    vms.set(name, { name, table: createTable(name, 0), runs: 0, known: new Map(), followed: 'r0' }),
  );
  const find = (name: string): Vm => vms.get(name) as Vm;
  const linkOf = (a: string, b: string) => [a, b].sort().join(' ');
  const isCut = (a: string, b: string) => (cutUntil.get(linkOf(a, b)) ?? 0) > clock.nowMs();

  function restart(name: string): void {
    const vm = find(name);
    vm.runs += 1;
    vm.table = createTable(name, vm.runs);
    vm.known.clear();
  }

  /** Table instances that a relay receives directly, including its own. */
  function listOrigins(vm: Vm, source: string): readonly string[] {
    const heard = [...vm.known].filter(([other]) => other !== source && !isCut(vm.name, other));
    return [vm.table.instance, ...heard.map(([, { run }]) => run)];
  }

  function pull(vm: Vm, source: string, isPassingOn: boolean): void {
    if (isCut(vm.name, source)) {
      // Other sources omitted facts that this one delivered directly; they are requested again.
      if (vm.known.delete(source)) vm.known.forEach((row) => Object.assign(row, { revision: -1 }));
      return;
    }
    const { table } = find(source);
    const known = vm.known.get(source);
    const isNewIncarnation = known !== undefined && known.run !== table.instance;
    const run = known && known.revision >= 0 ? known.run : '';
    const except = isPassingOn ? listOrigins(vm, source) : [];
    const delta = table.deltaSince(run, known?.revision ?? 0, except);
    vm.table.merge(delta.updates, clock.nowMs(), isPassingOn ? delta.instance : undefined);
    if (isNewIncarnation) vm.known.forEach((row) => Object.assign(row, { revision: -1 }));
    vm.known.set(source, { run: delta.instance, revision: delta.revision });
  }

  function exchange(): void {
    RELAYS.forEach((name) =>
      RELAYS.filter((other) => other !== name)
        .filter(() => random.nextInt(100) >= DELAY_PERCENT)
        .forEach((other) => pull(find(name), other, true)),
    );
    FOLLOWERS.forEach((name) => {
      const vm = find(name);
      if (isCut(name, vm.followed)) {
        vm.followed = RELAYS[random.nextInt(RELAYS.length)] ?? 'r0';
        vm.known.clear();
      }
      if (random.nextInt(100) >= DELAY_PERCENT) pull(vm, vm.followed, false);
    });
  }

  return { clock, vms, find, restart, exchange, isCut, cutUntil, linkOf };
}

/** Runs one schedule; returns the facts that connected VMs lack. */
function runSchedule(seed: number): readonly string[] {
  const random = createSeededRandom(seed);
  const simulation = createSimulation(random);
  const { clock, find, restart, exchange, cutUntil, linkOf } = simulation;
  const stated: { readonly key: string; atMs: number }[] = [];
  let lastFaultAtMs = clock.nowMs();

  for (let step = 0; step < STEPS; step += 1) {
    const relay = RELAYS[random.nextInt(RELAYS.length)] ?? 'r0';
    const isStable = clock.nowMs() - lastFaultAtMs > CONVERGENCE_LIMIT_MS / 3;
    if (stated.length < FACTS && isStable && random.nextInt(4) === 0) {
      const key = `fact ${stated.length}`;
      find(relay).table.put(key, 1, key);
      stated.push({ key, atMs: clock.nowMs() });
      // At least one more VM receives the fact before the next fault.
      exchange();
      exchange();
    } else if (random.nextInt(100) < RESTART_PERCENT) {
      restart(random.nextInt(2) === 0 ? relay : (FOLLOWERS[random.nextInt(4)] ?? 'f0'));
      lastFaultAtMs = clock.nowMs();
    } else if (random.nextInt(100) < CUT_PERCENT) {
      const other = RELAYS[random.nextInt(RELAYS.length)] ?? 'r1';
      const steps = 1 + random.nextInt(MAX_CUT_STEPS);
      if (other !== relay) cutUntil.set(linkOf(relay, other), clock.nowMs() + steps * STEP_MS);
    }
    clock.advance(STEP_MS);
    exchange();
  }
  cutUntil.clear();
  for (let passedMs = 0; passedMs < CONVERGENCE_LIMIT_MS; passedMs += STEP_MS) {
    clock.advance(STEP_MS);
    exchange();
  }
  return stated.flatMap(({ key }) => {
    const holders = [...simulation.vms.values()].filter(({ table }) => table.find(key));
    const lacking = [...simulation.vms.values()].filter(({ table }) => !table.find(key));
    // A fact that all relays lost at the same time cannot be recovered.
    const isLost = !holders.some(({ name }) => name.startsWith('r'));
    return isLost ? [] : lacking.map(({ name }) => `${name} lacks ${key} (seed ${seed})`);
  });
}

describe('random schedules of fact exchanges', () => {
  it(`deliver each published fact to every connected VM in ${SCHEDULES} schedules`, () => {
    for (let seed = 1; seed <= SCHEDULES; seed += 1) assert.deepEqual(runSchedule(seed), []);
  });
});
