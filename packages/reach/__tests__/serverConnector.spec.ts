import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { MemberFact } from '@spoolplank/membership';
import { createEventLog, createMetrics } from '@spoolplank/node';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import { createRelayChoice } from '../src/relayChoice';
import { createServerConnector } from '../src/serverConnector';
import { createServerReach } from '../src/serverReach';

const ADDRESS = 's1:80';

/** Time after which a route answers, and whether it leads to the server. */
interface RouteAnswer {
  readonly afterMs: number;
  readonly result: 'connected' | 'failed' | 'unreachable-for-relay';
}

interface Setting {
  readonly direct: RouteAnswer;
  readonly relay?: (host: string) => RouteAnswer;
  readonly vms?: number;
}

interface FakeConnection {
  readonly route: string;
  isDiscarded: boolean;
}

const TEST_MS = 2000;

class UnreachableForRelayError extends Error {}

function createSetting({ direct, relay = () => direct, vms = 4 }: Setting) {
  const clock = createManualClock(1000);
  const timers: { readonly atMs: number; readonly resolve: () => void }[] = [];
  const delay = (durationMs: number) =>
    new Promise<void>((resolve) => {
      timers.push({ atMs: clock.nowMs() + durationMs, resolve });
    });
  const log = createEventLog({ vmId: 'h0', clock, writeChunk: () => {} });
  const metrics = createMetrics();
  const connections: FakeConnection[] = [];
  const asked: string[] = [];
  const members = Array.from({ length: vms }, (_, index) => ({
    host: `h${index}`,
    peerPort: 1,
    dataCentre: 'a',
    state: 'ready',
  })) as unknown as readonly MemberFact[];
  const reach = createServerReach({
    clock,
    log,
    metrics,
    countContacts: () => 0,
    countServers: () => 40,
    onChange: () => {},
  });
  const relays = createRelayChoice({
    clock,
    random: createSeededRandom(1),
    host: 'h0',
    dataCentre: 'a',
    listEntries: () => members,
    dataCentreOf: () => 'a',
  });

  async function take(route: string, { afterMs, result }: RouteAnswer): Promise<FakeConnection> {
    await delay(afterMs);
    if (result === 'unreachable-for-relay') throw new UnreachableForRelayError(route);
    if (result === 'failed') throw new Error(`${route} failed`);
    const connection = { route, isDiscarded: false };
    connections.push(connection);
    return connection;
  }

  const connector = createServerConnector<FakeConnection>({
    clock,
    log,
    metrics,
    reach,
    relays,
    async connectDirectly(_address, signal) {
      const connection = await take('direct', direct);
      if (signal.aborted) throw new Error('aborted');
      return connection;
    },
    connectThrough({ host }) {
      asked.push(host);
      return take(host, relay(host));
    },
    isAboutServer: (error) => error instanceof UnreachableForRelayError,
    onClosed: () => {},
    discard(connection) {
      connection.isDiscarded = true;
    },
    delay,
  });
  return {
    reach,
    connections,
    asked,
    async connect(
      address = ADDRESS,
      testMs = TEST_MS,
    ): Promise<{ readonly route: string; readonly tookMs: number }> {
      const startedAtMs = clock.nowMs();
      const found = connector.connect(address).then(
        ({ route }) => ({ route, tookMs: clock.nowMs() - startedAtMs }),
        (error: unknown) => ({
          route: error instanceof Error ? error.message : '',
          tookMs: clock.nowMs() - startedAtMs,
        }),
      );
      for (let passedMs = 0; passedMs < testMs; passedMs += 1) {
        await nextTurn();
        clock.advance(1);
        timers.filter(({ atMs }) => atMs === clock.nowMs()).forEach(({ resolve }) => resolve());
      }
      return found;
    },
  };
}

const CONNECTED: RouteAnswer = { afterMs: 2, result: 'connected' };
const REFUSED: RouteAnswer = { afterMs: 1, result: 'failed' };
const HANGING: RouteAnswer = { afterMs: 1500, result: 'failed' };

describe('a connection to a server', () => {
  it('is direct, and asks no other VM, while the server accepts it', async () => {
    const { connect, asked } = createSetting({ direct: CONNECTED });
    assert.deepEqual(await connect(), { route: 'direct', tookMs: 2 });
    assert.deepEqual(asked, []);
  });

  it('passes through another VM at once when the direct one is refused', async () => {
    const { connect, reach } = createSetting({ direct: REFUSED, relay: () => CONNECTED });
    const { route, tookMs } = await connect();
    assert.match(route, /^h\d$/);
    assert.ok(tookMs <= 5, `${tookMs} ms`);
    assert.equal(reach.isUnreachable(ADDRESS), true);
  });

  it('passes through another VM soon when the direct one hangs, and at once from then on', async () => {
    const { connect } = createSetting({ direct: HANGING, relay: () => CONNECTED });
    assert.ok((await connect()).tookMs <= 65);
    assert.ok((await connect()).tookMs <= 5);
  });

  it('passes over VMs that open no tunnel, and does not ask them again for a while', async () => {
    const { connect, asked } = createSetting({
      direct: REFUSED,
      relay: (host) => (host === 'h3' ? CONNECTED : REFUSED),
    });
    assert.equal((await connect(ADDRESS, 300)).route, 'h3');
    asked.length = 0;
    assert.equal((await connect(ADDRESS, 300)).route, 'h3');
    assert.deepEqual(asked, ['h3']);
  });

  it('fails quickly when the server is down, after three VMs have not reached it either', async () => {
    const { connect, asked } = createSetting({
      direct: REFUSED,
      relay: () => ({ afterMs: 3, result: 'unreachable-for-relay' }),
      vms: 40,
    });
    const { route, tookMs } = await connect();
    assert.equal(route, 'direct failed');
    assert.ok(tookMs <= 12, `${tookMs} ms`);
    assert.equal(asked.length, 3);
  });

  it('asks a VM again for another server after it has not reached this one', async () => {
    const { connect, asked } = createSetting({
      direct: REFUSED,
      relay: (host) =>
        host === 'h2' ? CONNECTED : { afterMs: 1, result: 'unreachable-for-relay' },
      vms: 3,
    });
    assert.equal((await connect()).route, 'h2');
    assert.equal((await connect('s2:80')).route, 'h2');
    assert.ok(asked.filter((host) => host === 'h1').length >= 1);
  });

  it('does not count a server as unreachable whose direct connection is only slow', async () => {
    const { connect, reach } = createSetting({
      direct: { afterMs: 200, result: 'connected' },
      relay: () => CONNECTED,
    });
    assert.match((await connect()).route, /^h\d$/);
    assert.equal(reach.isUnreachable(ADDRESS), false);
  });

  it('is direct, however slow, when there is no other VM', async () => {
    const { connect } = createSetting({ direct: { afterMs: 200, result: 'connected' }, vms: 1 });
    assert.deepEqual(await connect(), { route: 'direct', tookMs: 200 });
  });

  it('is direct when no VM opens a tunnel to a server that was unreachable', async () => {
    const { connect, reach } = createSetting({ direct: CONNECTED, relay: () => REFUSED });
    reach.recordFailure(ADDRESS, 'connection-failed');
    assert.equal((await connect()).route, 'direct');
    assert.equal(reach.isUnreachable(ADDRESS), false);
  });

  it('is the only one that is kept when both routes lead to the server', async () => {
    const { connect, connections } = createSetting({
      direct: { afterMs: 100, result: 'connected' },
      relay: () => ({ afterMs: 30, result: 'connected' }),
    });
    assert.match((await connect()).route, /^h\d$/);
    assert.deepEqual(
      connections.map(({ isDiscarded }) => isDiscarded),
      [false, true],
    );
  });
});
