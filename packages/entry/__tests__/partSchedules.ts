/**
 * Random schedules of requests that share a part of their prompts which ends engines, beside sound
 * requests and engines that end for other reasons, over several VMs in virtual time.
 */
import { createFactTable } from '@spoolplank/membership';
import type { SystemFact } from '@spoolplank/membership';
import { createEventLog, createMetrics } from '@spoolplank/node';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { ManualClock, Random } from '@spoolplank/shared';
import { createFactPublisher } from '../src/gossip/factPublisher';
import { createQuarantine } from '../src/quarantine/quarantine';
import type { Quarantine } from '../src/quarantine/quarantine';
import { digestContent, partsOf } from '../src/quarantine/requestContent';
import type { RequestContent } from '../src/quarantine/requestContent';

export interface PartScheduleOptions {
  readonly seed: number;
  /** Parts that end each engine which begins an answer on them. */
  readonly deadlyParts: number;
  readonly vms: number;
  /** Mean time between two deadly requests, and between two sound ones, in milliseconds. */
  readonly deadlyEveryMs: number;
  readonly soundEveryMs: number;
  /** How engines end that no request ends: all at once, one after the other, or not at all. */
  readonly otherEnds: 'none' | 'at-once' | 'in-series';
}

export interface PartScheduleResult {
  readonly ends: number;
  /** Deadly requests sent later than `CONTACT_MS` after the fifth end under their part. */
  readonly sentLate: number;
  readonly soundRefused: number;
  readonly soundSent: number;
}

export interface Vm {
  readonly quarantine: Quarantine;
  exchange(other: Vm): void;
  readonly table: ReturnType<typeof createFactTable<SystemFact>>;
}

interface Run {
  readonly content: RequestContent;
  readonly vm: Vm;
  readonly engine: number;
  readonly sentAtMs: number;
  readonly deadlyPart: string | undefined;
}

const ENGINES = 12;
const ENGINE_DOWN_MS = 1500;
const FIRST_EVENT_MS = 60;
const STEP_MS = 10;
/** Time for a fact to reach the other VMs. */
const EXCHANGE_MS = 100;
const DURATION_MS = 20_000;
const CONTACT_MS = 3000;
const COUNTED_ENDS = 5;
const OTHER_ENDS = 5;
const OTHER_ENDS_FROM_MS = 5000;
const OTHER_ENDS_EVERY_MS = 300;
const SOUND_FIRST_PARTS = 4;

export function createVm(clock: ManualClock, name: string, later: (run: () => void) => void): Vm {
  let onFact = (_body: SystemFact): void => {};
  const table = createFactTable<SystemFact>({
    clock,
    instance: name,
    isUrgent: () => true,
    onUrgent: (body) => onFact(body),
  });
  const quarantine = createQuarantine({
    clock,
    random: createSeededRandom(1),
    log: createEventLog({ vmId: name, clock, writeChunk: () => {} }),
    metrics: createMetrics(),
    table,
    publisher: createFactPublisher({ clock, table, exchangeNow: () => {} }),
    deferClearance: later,
  });
  onFact = (body) => {
    if (body.kind === 'crash' || body.kind === 'clearance') quarantine.onFact(body);
  };
  return {
    quarantine,
    table,
    exchange(other) {
      table.merge(other.table.deltaSince('', 0).updates, clock.nowMs(), other.table.instance);
    },
  };
}

/** Draws the shared parts of a request; the deadly one stands at any place among sound ones. */
function drawParts(random: Random, deadlyPart: string | undefined): readonly string[] {
  const sound = [`m/a${random.nextInt(SOUND_FIRST_PARTS)}`, `m/b${random.nextInt(2)}`];
  if (deadlyPart === undefined) return sound;
  const place = random.nextInt(3);
  const kept = place === 2 ? sound : sound.slice(0, 1);
  return place === 0 ? [deadlyPart, ...kept] : [...kept, deadlyPart];
}

export function runPartSchedule(options: PartScheduleOptions): PartScheduleResult {
  const { seed, deadlyParts, deadlyEveryMs, soundEveryMs, otherEnds } = options;
  const random = createSeededRandom(seed);
  const clock = createManualClock(100_000);
  const startedAtMs = clock.nowMs();
  let due: { readonly atMs: number; readonly run: () => void }[] = [];
  const later = (delayMs: number) => (run: () => void) => {
    due.push({ atMs: clock.nowMs() + delayMs, run });
  };
  const vms = Array.from({ length: options.vms }, (_unused, index) =>
    createVm(clock, `vm${index}`, later(EXCHANGE_MS)),
  );
  const upAtMs = Array<number>(ENGINES).fill(0);
  const incarnations = Array<number>(ENGINES).fill(0);
  let running: Run[] = [];
  const endsByPart = new Map<string, number[]>();
  const result = { ends: 0, sentLate: 0, soundRefused: 0, soundSent: 0 };
  let requests = 0;

  function endEngine(engine: number): void {
    const lost = running.filter((run) => run.engine === engine);
    running = running.filter((run) => run.engine !== engine);
    lost.forEach(({ content, vm, sentAtMs }) =>
      vm.quarantine.recordCrash({
        content: digestContent(content),
        instanceId: `e${engine}/${incarnations[engine]}`,
        turn: 0,
        evidence: 'run',
        ranMs: clock.nowMs() - sentAtMs,
        parts: partsOf(content),
      }),
    );
    incarnations[engine] = (incarnations[engine] ?? 0) + 1;
    upAtMs[engine] = clock.nowMs() + ENGINE_DOWN_MS;
    result.ends += 1;
  }

  function finish(run: Run): void {
    if (!running.includes(run)) return;
    const { deadlyPart, vm, content, sentAtMs, engine } = run;
    if (deadlyPart === undefined) {
      running = running.filter((other) => other !== run);
      vm.quarantine.recordServed(content, sentAtMs);
      return;
    }
    endsByPart.set(deadlyPart, [...(endsByPart.get(deadlyPart) ?? []), clock.nowMs()]);
    endEngine(engine);
  }

  function send(deadlyPart: string | undefined): void {
    requests += 1;
    const promptParts = drawParts(random, deadlyPart);
    const body = Buffer.from(`request ${requests}`);
    const request = { host: 'users', method: 'POST', url: '/draft/1', body, promptParts };
    const content: RequestContent = { organisation: 'acme', request };
    const vm = vms[random.nextInt(vms.length)];
    const up = upAtMs.flatMap((atMs, engine) => (atMs <= clock.nowMs() ? [engine] : []));
    const engine = up[random.nextInt(Math.max(1, up.length))];
    if (!vm || engine === undefined) return;
    if (deadlyPart === undefined) result.soundSent += 1;
    if (vm.quarantine.has(content)) {
      if (deadlyPart === undefined) result.soundRefused += 1;
      return;
    }
    const fifthAtMs = endsByPart.get(deadlyPart ?? '')?.[COUNTED_ENDS - 1];
    if (fifthAtMs !== undefined && clock.nowMs() > fifthAtMs + CONTACT_MS) result.sentLate += 1;
    const run: Run = { content, vm, engine, sentAtMs: clock.nowMs(), deadlyPart };
    running.push(run);
    later(FIRST_EVENT_MS / 2 + random.nextInt(FIRST_EVENT_MS))(() => finish(run));
  }

  function scheduleOtherEnds(): void {
    if (otherEnds === 'none') return;
    for (let count = 0; count < OTHER_ENDS; count += 1) {
      const gapMs = otherEnds === 'at-once' ? 0 : OTHER_ENDS_EVERY_MS;
      later(OTHER_ENDS_FROM_MS + count * gapMs)(() => endEngine(random.nextInt(ENGINES)));
    }
  }

  scheduleOtherEnds();
  let exchangedAtMs = clock.nowMs();
  while (clock.nowMs() - startedAtMs < DURATION_MS) {
    clock.advance(STEP_MS);
    const ready = due.filter(({ atMs }) => atMs <= clock.nowMs());
    due = due.filter(({ atMs }) => atMs > clock.nowMs());
    ready.forEach(({ run }) => run());
    if (clock.nowMs() - exchangedAtMs >= EXCHANGE_MS) {
      exchangedAtMs = clock.nowMs();
      vms.forEach((vm) => vms.forEach((other) => other !== vm && vm.exchange(other)));
    }
    if (deadlyParts > 0 && random.nextFloat() < STEP_MS / deadlyEveryMs)
      send(`m/dead${random.nextInt(deadlyParts)}`);
    if (random.nextFloat() < STEP_MS / soundEveryMs) send(undefined);
  }
  return result;
}
