import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { MemberFact } from '@spoolplank/membership';
import { createEventLog } from '@spoolplank/node';
import type { PeerClient, PeerTarget } from '@spoolplank/node';
import { createManualClock, SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import type { BackendTarget } from '../src/dispatch/backendOperations';
import { createEngineProbes } from '../src/repair/engineProbes';
import type { EngineProbes } from '../src/repair/engineProbes';
import { createVirtualTime } from './virtualTime';

const ENTRIES = 78;
const PATH = ['e1', 'e2', 'e3'].map((id) => ({ instanceId: id, address: `${id}:80` }));

/** All entries of a data centre; the first one is designated to probe for all. */
function createEntries(answer: (address: string, tries: number) => boolean) {
  const clock = createManualClock(1000);
  const tries = new Map<string, number>();
  const timeoutsMs: number[] = [];
  const probes = new Map<string, EngineProbes>();
  const designated = { host: 'h0', peerPort: 1 } as MemberFact;
  let isDesignatedUp = true;
  const peersOf = (sender: string): PeerClient => ({
    async call<Result>({ vmId }: PeerTarget, method: string, params: unknown): Promise<Result> {
      const called = isDesignatedUp ? probes.get(vmId)?.methods[method] : undefined;
      if (!called) throw new SpoolplankError('unreachable');
      return (await called(structuredClone(params) as JsonValue, sender)) as Result;
    },
    close() {},
  });
  for (let index = 0; index < ENTRIES; index += 1) {
    const host = `h${index}`;
    const created = createEngineProbes({
      clock,
      delay: async () => {
        await nextTurn();
      },
      log: createEventLog({ vmId: host, clock, writeChunk: () => {} }),
      peers: peersOf(host),
      host,
      operations: {
        isReachable(address, timeoutMs) {
          timeoutsMs.push(timeoutMs);
          const count = (tries.get(address) ?? 0) + 1;
          tries.set(address, count);
          return Promise.resolve(answer(address, count));
        },
      },
      findDesignated: () => designated,
      countEntries: () => ENTRIES,
    });
    probes.set(host, created);
  }
  return {
    clock,
    tries,
    timeoutsMs,
    requestFromAll: () =>
      Promise.all([...probes.values()].map((entry) => entry.requestProbe('a', PATH))),
    requestFrom: (host: string) => probes.get(host)?.requestProbe('a', PATH),
    stopDesignated() {
      isDesignatedUp = false;
    },
  };
}

describe('a path that falls silent on all entries at once', () => {
  it('is probed once for all of them, and each receives the lost engines', async () => {
    const { requestFromAll, tries } = createEntries((address) => address !== 'e2:80');
    const answers = await requestFromAll();
    assert.equal(answers.length, ENTRIES);
    answers.forEach((lost) => assert.deepEqual(lost, ['e2']));
    // At most three attempts per engine, whatever the number of requests.
    tries.forEach((count) => assert.ok(count <= 3, `${count} connections`));
  });

  it('is not probed when only one or two VMs report it', async () => {
    const { requestFrom, tries } = createEntries(() => false);
    assert.deepEqual(await Promise.all([requestFrom('h1'), requestFrom('h2')]), [[], []]);
    assert.equal(tries.size, 0);
  });

  it('is not reported as lost for one or two lost packets', async () => {
    const { requestFromAll } = createEntries((_address, count) => count >= 3);
    (await requestFromAll()).forEach((lost) => assert.deepEqual(lost, []));
  });

  it('is not reported as lost by a VM that was frozen, whose attempts still have a timeout', async () => {
    const { requestFromAll, clock, timeoutsMs } = createEntries(() => {
      clock.advance(50);
      return false;
    });
    (await requestFromAll()).forEach((lost) => assert.deepEqual(lost, []));
    timeoutsMs.forEach((timeoutMs) => assert.ok(timeoutMs >= 1, `${timeoutMs} ms`));
  });

  it('is probed again when it is still silent a moment later', async () => {
    const { requestFromAll, tries, clock } = createEntries(() => true);
    await requestFromAll();
    const before = tries.get('e1:80') ?? 0;
    clock.advance(200);
    await requestFromAll();
    assert.ok((tries.get('e1:80') ?? 0) > before);
  });

  it('is left to each entry when the designated VM does not reply', async () => {
    const { requestFromAll, stopDesignated } = createEntries(() => true);
    stopDesignated();
    const [own, ...others] = await requestFromAll();
    assert.deepEqual(own, []);
    others.forEach((answer) => assert.equal(answer, null));
  });
});

const VMS = 37;
const STREAMS = 60;
const ENGINES = 30;
const PATHS = 12;
/** Time for which the designated VM reuses a probe. */
const CACHE_MS = 150;

/** Path of four engines; each engine is on one or two of the twelve paths. */
function createPath(path: number): readonly BackendTarget[] {
  return [0, 1, 2, 3].map((stage) => {
    const id = `e${(path * 4 + stage) % ENGINES}`;
    return { instanceId: id, address: `${id}:80` };
  });
}

/** Entries in virtual time; the first one is designated and probes engines that answer in 1 ms. */
function createNetwork(lostIds: readonly string[], answerAsOlder?: PeerClient['call']) {
  const time = createVirtualTime();
  const { clock, delay } = time;
  const connections = new Map<string, number>();
  const lostRequests = new Set<string>();
  const entries: EngineProbes[] = [];
  for (let index = 0; index < VMS; index += 1) {
    const host = `v${index}`;
    const peers = {
      async call(
        peer: PeerTarget,
        method: string,
        params: unknown,
        { timeoutMs }: { readonly timeoutMs: number },
      ) {
        if (lostRequests.has(host)) {
          await delay(timeoutMs);
          throw new SpoolplankError('unreachable');
        }
        await delay(0.5);
        if (answerAsOlder) return answerAsOlder(peer, method, params as never, { timeoutMs });
        return entries[0]?.methods[method]?.(structuredClone(params) as JsonValue, host);
      },
      close() {},
    } as unknown as PeerClient;
    entries.push(
      createEngineProbes({
        clock,
        delay,
        log: createEventLog({ vmId: host, clock, writeChunk: () => {} }),
        peers,
        host,
        operations: {
          async isReachable(address) {
            connections.set(address, (connections.get(address) ?? 0) + 1);
            await delay(1);
            return !lostIds.includes(address.replace(':80', ''));
          },
        },
        findDesignated: () => ({ host: 'v0', peerPort: 1 }) as MemberFact,
        countEntries: () => VMS,
      }),
    );
  }
  return {
    ...time,
    connections,
    lostRequests,
    /** Requests a probe of a path from a VM; the reply is undefined until it has arrived. */
    request(vm: number, path: readonly BackendTarget[]) {
      const startMs = clock.nowMs();
      const sent: { lost?: readonly string[] | null; tookMs?: number } = {};
      void entries[vm]?.requestProbe('a', path).then((lost) => {
        sent.lost = lost;
        sent.tookMs = clock.nowMs() - startMs;
      });
      return sent;
    },
  };
}

const targetsOf = (ids: readonly string[]): readonly BackendTarget[] =>
  ids.map((id) => ({ instanceId: id, address: `${id}:80` }));

describe('engines named in many silent paths', () => {
  it('are found lost by the VMs of different paths, each receiving those of its own', async () => {
    const { request, pass } = createNetwork(['x', 'y']);
    const sent = ['x', 'x y', 'x', 'y', 'y'].map((ids, vm) =>
      request(vm, targetsOf([`own${vm}`, ...ids.split(' ')])),
    );
    await pass(50);
    assert.deepEqual(
      sent.map(({ lost }) => lost),
      [['x'], ['x', 'y'], ['x'], ['y'], ['y']],
    );
  });

  it('are found lost behind an intact engine that is named more often', async () => {
    const { request, pass } = createNetwork(['x']);
    const [first] = [1, 2].map((vm) => request(vm, targetsOf(['shared', 'x'])));
    request(3, targetsOf(['shared']));
    await pass(20);
    request(4, targetsOf(['x']));
    await pass(30);
    assert.deepEqual(first?.lost, ['x'], 'the probe of the shared engine does not end the wait');
  });

  it('are reported at once while just found lost, also to a single VM', async () => {
    const { request, pass } = createNetwork(['x']);
    [1, 2, 3].forEach((vm) => request(vm, targetsOf(['x'])));
    await pass(CACHE_MS - 50);
    const late = request(4, targetsOf(['other', 'x']));
    await pass(5);
    assert.deepEqual(late.lost, ['x']);
  });

  it('are not probed when only two VMs name them in several paths, and the wait ends', async () => {
    const { request, pass, connections } = createNetwork(['x']);
    const sent = [1, 1, 2, 2].map((vm, index) => request(vm, targetsOf([`own${index}`, 'x'])));
    await pass(90);
    sent.forEach(({ lost, tookMs }) => {
      assert.deepEqual(lost, []);
      assert.ok((tookMs ?? 0) <= 82, `${tookMs} ms`);
    });
    assert.equal(connections.size, 0);
  });

  it('are probed at most once in a cache period, for 60 streams of 37 VMs on 12 paths', async () => {
    const { request, pass, connections } = createNetwork([]);
    for (let passedMs = 0; passedMs < CACHE_MS; passedMs += 50) {
      for (let stream = 0; stream < STREAMS; stream += 1) {
        request(stream % VMS, createPath(stream % PATHS));
      }
      await pass(passedMs + 50 < CACHE_MS ? 50 : 0);
    }
    assert.equal(connections.size, ENGINES, 'each engine is named by at least three VMs');
    connections.forEach((count, address) => assert.equal(count, 1, address));
  });

  it('are found lost by the others when the request of one VM is lost', async () => {
    const { request, pass, lostRequests } = createNetwork(['x']);
    lostRequests.add('v1');
    const [unanswered, ...others] = [1, 2, 3, 4].map((vm) => request(vm, targetsOf(['x'])));
    await pass(10);
    others.forEach(({ lost }) => assert.deepEqual(lost, ['x']));
    await pass(300);
    assert.equal(unanswered?.lost, null);
  });

  // A designated VM of the older version counts requests for exactly equal lists of engines.
  it('are found by a designated VM of an older version, by the same message', async () => {
    const calls: unknown[] = [];
    const answerAsOlder = ((_peer: PeerTarget, method: string, params: unknown) => {
      calls.push([method, params]);
      return Promise.resolve(calls.length < 3 ? [] : ['x']);
    }) as PeerClient['call'];
    const { request, pass } = createNetwork([], answerAsOlder);
    const sent = [1, 2, 3].map((vm) => request(vm, targetsOf(['x'])));
    await pass(10);
    assert.deepEqual(
      sent.map(({ lost }) => lost),
      [[], [], ['x']],
    );
    const message = ['engines.probe', { engines: [{ instanceId: 'x', address: 'x:80' }] }];
    assert.deepEqual(calls, [message, message, message]);
  });
});
