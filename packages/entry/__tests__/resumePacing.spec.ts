import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { FACT_KEYS } from '@spoolplank/membership';
import type { BackendCall, BackendOperations } from '../src/dispatch/backendOperations';
import { createStreamDispatch } from '../src/dispatch/streamDispatch';
import { createStreamTable } from '../src/dispatch/streamTable';
import {
  createAdmitted,
  createAnswer,
  createChain,
  createContext,
  createRoute,
  createTables,
  MODEL,
} from './fixtures';
import { completeAccount, createDataCentre } from './slotFixtures';
import type { Vm } from './slotFixtures';

const VMS = 37;
const STREAMS = 60;
/** Twice the prefill time of 840 tokens at 100,000 a second. */
const SPACING_MS = 16.8;

describe('streams that lose their head on all VMs at once', () => {
  /** Sends sixty resumed streams and records when each is granted a slot on which chain. */
  async function resumeAll(heads: readonly string[]) {
    const site = createDataCentre(VMS, ['lost', ...heads]);
    await completeAccount(site);
    const startedAtMs = site.clock.nowMs();
    const grantsMs = new Map<string, number[]>(heads.map((headId) => [headId, []]));
    const sent = Array.from({ length: STREAMS }, (_, index) =>
      site.send(site.vms[index % VMS] as Vm, `s${index}`, {
        hasBegun: true,
        excludedHeads: new Set(['lost']),
      }),
    );
    const seen = new Set<number>();
    for (let passedMs = 0; passedMs < 1200; passedMs += 1) {
      await site.pass(1);
      sent.forEach(([outcome], index) => {
        if (outcome?.kind !== 'granted' || seen.has(index)) return;
        seen.add(index);
        grantsMs.get(outcome.chain.headId)?.push(site.clock.nowMs() - startedAtMs);
      });
    }
    return [...grantsMs.values()];
  }

  it('are granted one slot per chain in twice the time of a prefill, over all chains', async () => {
    const grants = await resumeAll(['c1', 'c2', 'c3', 'c4']);
    assert.equal(grants.flat().length, STREAMS);
    grants.forEach((timesMs) => {
      assert.equal(timesMs.length, STREAMS / grants.length);
      const gaps = timesMs.slice(1).map((atMs, index) => atMs - (timesMs[index] ?? 0));
      // Times are read once a millisecond, so a gap is off by up to one.
      gaps.forEach((gapMs) => assert.ok(gapMs >= SPACING_MS - 1, `${gapMs} ms`));
      assert.ok(Math.max(...timesMs) <= 15 * SPACING_MS + 40, `${Math.max(...timesMs)} ms`);
    });
  });

  it('use every turn of a single chain that is left, and are all granted a slot', async () => {
    const [timesMs = []] = await resumeAll(['c1']);
    assert.equal(timesMs.length, STREAMS);
    assert.ok(Math.max(...timesMs) <= STREAMS * SPACING_MS + 60, `${Math.max(...timesMs)} ms`);
  });
});

describe('streams of one VM that resume together', () => {
  /** Runs streams whose first run breaks off after one event; returns the requested delays. */
  async function resumeTwo(grantedBy: string | null, isLeaving = false) {
    const { clock, view, table } = createTables();
    for (let index = 0; index < VMS; index += 1) {
      table.put(FACT_KEYS.member(`h${index}`, 'run'), 1, {
        kind: 'member',
        vmId: `h${index}`,
        dataCentre: 'a',
        host: `h${index}`,
        role: 'entry',
        callerAddress: `h${index}:80`,
        state: 'ready',
      });
    }
    const opened: string[] = [];
    const operations = {
      open({ target }: BackendCall) {
        opened.push(target.instanceId);
        const body = new PassThrough();
        body.write('id: 1\ndata: x\n\n');
        if (target.instanceId === 'lost') setImmediate(() => body.destroy(new Error('aborted')));
        else body.end();
        const response = { status: 200, headers: [], isNotRun: false, problem: null, body };
        return Promise.resolve({ ...response, isMatched: true, limit: null });
      },
    } as unknown as BackendOperations;
    const delaysMs: number[] = [];
    let isClosed = false;
    const dispatch = createStreamDispatch({
      context: createContext(clock, view, operations),
      streams: createStreamTable({ clock }),
      slots: {
        findForNew: () => Promise.resolve(createChain('lost')),
        findForResumed: () => Promise.resolve({ ...createChain('c1'), grantedBy }),
        retryAfterMs: () => 100,
      },
      probeAfterFailure: () => {},
      avoid: () => {},
      async delay(durationMs) {
        delaysMs.push(durationMs);
        isClosed = isLeaving;
        await nextTurn();
      },
    });
    const run = () => {
      const answer = {
        ...createAnswer(),
        get isClosed() {
          return isClosed;
        },
      };
      return dispatch.run(createAdmitted(clock, createRoute('stream'), answer), MODEL);
    };
    const ends = await Promise.all([run(), run()]);
    return { delaysMs, opened, outcomes: ends.map(({ outcome }) => outcome) };
  }

  it('are not delayed by the entry when an allocator granted their slots', async () => {
    const { delaysMs, outcomes } = await resumeTwo('vm0');
    assert.deepEqual(delaysMs, []);
    assert.deepEqual(outcomes, ['served', 'served']);
  });

  it('are spaced by the entry for all entries when no allocator answers', async () => {
    const { delaysMs, outcomes } = await resumeTwo(null);
    assert.deepEqual(delaysMs, [VMS * 8]);
    assert.deepEqual(outcomes, ['served', 'served']);
  });

  it('are not sent again when their callers leave while they are spaced', async () => {
    const { opened, outcomes } = await resumeTwo(null, true);
    assert.deepEqual(opened.filter((id) => id === 'c1').length, 1);
    assert.ok(outcomes.includes('caller-left'));
  });
});
