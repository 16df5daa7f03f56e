import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FACT_KEYS, parseInstanceId } from '@spoolplank/membership';
import { createEventLog, delay } from '@spoolplank/node';
import { createPendingOrders } from '../src/pendingOrders';
import { createPlacementFixture, nextIncarnationOf } from './placementFixtures';
import type { ReceivedOrder } from './placementFixtures';

/** Longer than the interval at which the loop polls the loaded layers of an engine. */
const LOAD_READ_MS = 400;
const ALL = ['e1', 'e2', 'e3', 'e4'];

function bodyOf(table: ReturnType<typeof createPlacementFixture>['table'], serverId: string) {
  const body = table.find(FACT_KEYS.backend(serverId))?.body;
  assert.ok(body?.kind === 'backend');
  return body;
}

describe('an engine that restarts under its name', () => {
  it('is sent an order immediately, though its earlier incarnation was known just before', async () => {
    const { receivedOrders, runFor } = createPlacementFixture({ answer: () => 'begun' });
    await runFor(2400, ALL);
    const before = receivedOrders.length;
    await runFor(600, [nextIncarnationOf('e1'), 'e2', 'e3', 'e4']);
    const [order] = receivedOrders
      .slice(before)
      .filter(({ instanceId }) => instanceId.startsWith('e1'));
    assert.equal(order?.instanceId, nextIncarnationOf('e1'));
  });

  it('is not published with the layers that its earlier incarnation was ordered to load', async () => {
    const fixture = createPlacementFixture({
      answer({ instanceId }) {
        // The engine responds just before it exits, and its next incarnation announces itself
        // before the response arrives.
        const isFirstIncarnation = parseInstanceId(instanceId).incarnation === 0;
        if (!isFirstIncarnation) return 'refused';
        fixture.announce(nextIncarnationOf(instanceId));
        return 'begun';
      },
    });
    await fixture.runFor(4800, ALL);
    assert.ok(fixture.receivedOrders.length > 0);
    // The loop polls the layers of the earlier incarnation after 250 ms of real time.
    await delay(LOAD_READ_MS);
    fixture.receivedOrders.forEach(({ instanceId }) => {
      const { serverId } = parseInstanceId(instanceId);
      const body = bodyOf(fixture.table, serverId);
      assert.notEqual(body.instanceId, serverId);
      assert.equal(body.engine?.held, null);
    });
  });
});

describe('a pending order', () => {
  const range = { firstLayer: 0, endLayer: 4 };
  const untilMs = 200_000;

  function createPending() {
    const fixture = createPlacementFixture({ answer: () => 'begun' });
    const { clock, table } = fixture;
    const log = createEventLog({ vmId: 'vm', clock, writeChunk: () => {} });
    return { ...fixture, pending: createPendingOrders({ clock, log, table }) };
  }

  it('stays pending until its engine holds the layers', () => {
    const { pending, held, announce } = createPending();
    held.delete('e1');
    announce('e1');
    pending.add('e1', range, untilMs);
    pending.dropSettled();
    assert.equal(pending.find('e1'), range);
    held.set('e1', range);
    announce('e1');
    pending.dropSettled();
    assert.equal(pending.size, 0);
  });

  it('ends with the incarnation of its engine, so that it does not count as a concurrent load', () => {
    const { pending, held, announce } = createPending();
    held.delete('e1');
    announce('e1');
    pending.add('e1', range, untilMs);
    announce(nextIncarnationOf('e1'));
    pending.dropSettled();
    assert.equal(pending.size, 0);
  });

  it('is removed once it is overdue', () => {
    const { pending, clock, announce, held } = createPending();
    held.delete('e1');
    announce('e1');
    pending.add('e1', range, clock.nowMs() + 1000);
    clock.advance(1000);
    pending.dropSettled();
    assert.equal(pending.size, 0);
  });
});

describe('an order', () => {
  /** Engines that count accepted orders and refuse orders that name another count. */
  function createCountingFixture(counts: Map<string, number>) {
    const countOf = (id: string) => counts.get(id) ?? 0;
    const fixture = createPlacementFixture({
      answer({ instanceId, expectedOrders }: ReceivedOrder) {
        if (expectedOrders !== countOf(instanceId)) return 'refused';
        counts.set(instanceId, countOf(instanceId) + 1);
        return 'begun';
      },
      inspect: ({ instanceId }) =>
        Promise.resolve({
          held: fixture.held.get(instanceId) ?? null,
          slowdown: 1,
          acceptedOrders: countOf(instanceId),
        }),
    });
    return fixture;
  }

  it('names the number of accepted orders, which is requested from the engine if unknown', async () => {
    const counts = new Map(ALL.map((id) => [id, 3]));
    const { receivedOrders, runFor, held } = createCountingFixture(counts);
    await runFor(2400, ALL);
    held.delete('e1');
    await runFor(1000, ['e1', 'e2', 'e3', 'e4']);
    assert.ok(receivedOrders.length > 0);
    receivedOrders
      .filter(({ instanceId }) => instanceId !== 'e1')
      .forEach(({ expectedOrders }) => assert.equal(expectedOrders, 3));
  });

  it('is repeated immediately when only the count was wrong', async () => {
    // An engine without layers is assumed to have accepted no order.
    const counts = new Map(ALL.map((id) => [id, 1]));
    const { receivedOrders, runFor, held } = createCountingFixture(counts);
    held.delete('e1');
    await runFor(3600, ALL);
    const toFirst = receivedOrders.filter(({ instanceId }) => instanceId === 'e1');
    assert.deepEqual(
      toFirst.slice(0, 2).map(({ expectedOrders }) => expectedOrders),
      [0, 1],
    );
  });

  it('to the earlier incarnation of an engine is not executed by the next one', async () => {
    const counts = new Map(ALL.map((id) => [id, 2]));
    const executed: ReceivedOrder[] = [];
    const fixture = createPlacementFixture({
      answer(order) {
        // The engine has just restarted without an announcement yet: it has accepted no order.
        if (order.expectedOrders !== undefined && order.expectedOrders !== 0) return 'refused';
        executed.push(order);
        return 'begun';
      },
      inspect: ({ instanceId }) =>
        Promise.resolve({
          held: fixture.held.get(instanceId) ?? null,
          slowdown: 1,
          acceptedOrders: counts.get(instanceId),
        }),
    });
    await fixture.runFor(4800, ALL);
    assert.ok(fixture.receivedOrders.length > 0);
    assert.deepEqual(executed, []);
  });
});
