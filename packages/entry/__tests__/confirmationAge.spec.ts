import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { createEventLog } from '@spoolplank/node';
import type { RoutingDocument } from '@spoolplank/routing';
import { createEntryFacts } from '../src/gossip/entryFacts';
import { createSilentControlVms } from './silentControlVms';
import type { SilentControlVmsOptions } from './silentControlVms';

const STEP_MS = 10;
const SETTLE_MS = 4000;
const WATCHED_MS = 4000;
const CHANGE_BOUNDS = { applyMs: 2000, contactMs: 3000 };
const HOSTS = ['10.0.0.1', '10.0.0.2', '10.0.0.3'];

interface Play extends Omit<SilentControlVmsOptions, 'hosts'> {
  /** Control VMs whose live connections fall silent. */
  readonly silent: readonly string[];
  readonly unreachable?: readonly string[];
  /** Time from the silence until a change. */
  readonly changeAfterMs: number;
}

interface PlayResult {
  /** Highest age of the confirmation while the entry is in contact. */
  readonly maxAgeMs: number;
  /** Time for which it held the older version past the bound. */
  readonly oldMs: number;
  /** Calls to control VMs in the calm second half of the settling time. */
  readonly calmCallsPerS: number;
}

async function play({ silent, unreachable, changeAfterMs, ...options }: Play): Promise<PlayResult> {
  const controls = createSilentControlVms({ ...options, hosts: HOSTS });
  const clock = { nowMs: () => Date.now(), steadyMs: () => Date.now(), wallMs: () => Date.now() };
  const settings = {
    clock,
    log: createEventLog({
      vmId: 'vm1',
      clock,
      writeChunk: (chunk, done) => done(null, chunk.length),
    }),
    peers: controls.peers,
    run: 'run-1',
    host: '10.0.1.1',
    dataCentre: 'a',
    seeds: () => HOSTS,
    controlPeerPort: 1,
    readDocument: ({ version }: { readonly version: number }) =>
      ({ version, routes: [], services: [], organisations: [] }) as unknown as RoutingDocument,
    announcementMs: 1200,
    changeBounds: CHANGE_BOUNDS,
    publishedLoad: () => ({}),
    onDocument: () => {},
  };
  const facts = createEntryFacts(settings);
  let passedMs = 0;
  async function passUntil(endMs: number, onStep = () => {}): Promise<void> {
    for (; passedMs < endMs; passedMs += STEP_MS) {
      for (let turn = 0; turn < 3; turn += 1) await nextTurn();
      onStep();
      mock.timers.tick(STEP_MS);
    }
  }
  facts.start();
  await passUntil(SETTLE_MS / 2);
  const callsBefore = controls.calls;
  await passUntil(SETTLE_MS);
  const calmCallsPerS = ((controls.calls - callsBefore) * 2000) / SETTLE_MS;
  await passUntil(SETTLE_MS + options.phaseMs);
  const silentAtMs = passedMs;
  controls.silence(silent, unreachable);
  await passUntil(silentAtMs + changeAfterMs);
  controls.change();
  const changedAtMs = passedMs;
  const inContactAtMs = silentAtMs + CHANGE_BOUNDS.contactMs;
  let maxAgeMs = 0;
  let oldMs = 0;
  await passUntil(inContactAtMs + WATCHED_MS, () => {
    if (passedMs < inContactAtMs) return;
    maxAgeMs = Math.max(maxAgeMs, facts.documents.confirmedAgeMs());
    const isPastBound = passedMs >= changedAtMs + CHANGE_BOUNDS.applyMs;
    const version = facts.documents.current?.version ?? 0;
    if (isPastBound && version < controls.version) oldMs += STEP_MS;
  });
  facts.stop();
  return { maxAgeMs, oldMs, calmCallsPerS };
}

/** Guards against entries that are in contact and work by an older version. */
describe('the confirmation of the document on an entry', () => {
  beforeEach(() => mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 100_000 }));
  afterEach(() => mock.timers.reset());

  const CASES: readonly (readonly [string, Pick<Play, 'silent' | 'unreachable'>])[] = [
    ['one control VM', { silent: HOSTS.slice(0, 1) }],
    ['two control VMs', { silent: HOSTS.slice(1) }],
    ['all control VMs', { silent: HOSTS }],
    ['all control VMs, one of them unreachable', { silent: HOSTS, unreachable: HOSTS.slice(1, 2) }],
  ];
  CASES.forEach(([name, { silent, unreachable }]) => {
    it(`is younger than the bound after the live connections fell silent to ${name}`, async () => {
      for (const latencyMs of [0, 60]) {
        for (const pooled of [1, 3]) {
          for (let phaseMs = 0; phaseMs < 1600; phaseMs += 230) {
            const changeAfterMs = (phaseMs * 7) % 2600;
            const setting = { silent, unreachable, latencyMs, pooled, phaseMs, changeAfterMs };
            const { maxAgeMs, oldMs } = await play(setting);
            const result = JSON.stringify({ maxAgeMs, oldMs, ...setting });
            assert.ok(maxAgeMs < CHANGE_BOUNDS.applyMs && oldMs === 0, result);
            mock.timers.reset();
            mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 100_000 });
          }
        }
      }
    });
  });

  it('costs no more than the exchanges of facts while nothing is wrong', async () => {
    const setting = { silent: [], latencyMs: 20, pooled: 1, phaseMs: 0, changeAfterMs: 0 };
    assert.ok((await play(setting)).calmCallsPerS <= 1.5);
  });
});
