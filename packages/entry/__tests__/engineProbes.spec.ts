import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { MemberFact } from '@spoolplank/membership';
import { createEventLog } from '@spoolplank/node';
import type { PeerClient, PeerTarget } from '@spoolplank/node';
import { createManualClock, SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { createEngineProbes } from '../src/repair/engineProbes';
import type { EngineProbes } from '../src/repair/engineProbes';

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
