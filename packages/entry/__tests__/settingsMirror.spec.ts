import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, describe, it } from 'node:test';
import { createMetrics, delay } from '@spoolplank/node';
import { DEFAULT_TIMINGS } from '@spoolplank/settings';
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import type { SettingsPullReply } from '@spoolplank/controller';
import type { VmContext } from '@spoolplank/vm';
import type { ControlCallOptions, ControlClient } from '../src/sessions/controlClient';
import { createSettingsMirror } from '../src/sessions/settingsMirror';
import type { SettingsMirror } from '../src/sessions/settingsMirror';

const LOGGER = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

describe('settings on an entry VM', () => {
  let dataFolder: string;
  const mirrors: SettingsMirror[] = [];

  before(() => {
    dataFolder = mkdtempSync(join(tmpdir(), 'spoolplank-mirror-'));
  });

  afterEach(() => mirrors.forEach((mirror) => mirror.stop()));

  after(() => rmSync(dataFolder, { recursive: true }));

  function createFixture() {
    const clock = createManualClock(1000);
    const metrics = createMetrics();
    const vm = {
      vmId: 'vm1',
      dataCentre: 'dc1',
      host: '127.0.0.1',
      callerPort: 1,
      peerPort: 2,
      roles: ['entry' as const],
    };
    const context = {
      clock,
      metrics,
      logger: LOGGER,
      timings: DEFAULT_TIMINGS,
      random: createSeededRandom(1),
      settings: { vm, peers: [], dataFolder },
    } as unknown as VmContext;
    let nextReply: SettingsPullReply | undefined;
    /** Pulls without backups: each is sent only after the reply to the one before was processed. */
    let pulls = 0;
    const control: ControlClient = {
      call<Result>(_method: string, _params: unknown, options: ControlCallOptions = {}) {
        if (!options.startsElsewhere) pulls += 1;
        const reply = nextReply;
        // Each reply is given once; further calls fail until the next `replyOnceWith`.
        nextReply = undefined;
        return reply ? Promise.resolve(reply as Result) : Promise.reject(new Error('silent'));
      },
    };
    const mirror = createSettingsMirror({ context, control });
    mirrors.push(mirror);
    return {
      clock,
      metrics,
      mirror,
      async replyOnceWith(version: number, waitedMs = 0) {
        const tree = { policy: { priority: version % 10 } };
        nextReply = { version, waitedMs, leaseMs: 3000, delta: { kind: 'tree', version, tree } };
        const pullsBefore = pulls;
        while (pulls < pullsBefore + 2) await delay(5);
      },
    };
  }

  it('count as confirmed for one lease duration from when the pull was sent plus its wait', async () => {
    const { clock, mirror, replyOnceWith } = createFixture();
    await mirror.start();
    await replyOnceWith(5, 500);
    assert.equal(mirror.version, 5);
    assert.equal(mirror.remainingMs(), 3500);
    clock.advance(3499);
    assert.equal(mirror.isFresh(), true);
    clock.advance(1);
    assert.equal(mirror.isFresh(), false);
  });

  it('never revert to a lower version, even after a restart', async () => {
    const { mirror, metrics, replyOnceWith } = createFixture();
    await mirror.start();
    await replyOnceWith(4);
    assert.equal(mirror.isFresh(), false, 'version 5 was in force before the restart');
    assert.equal(mirror.version, 0);
    assert.equal(metrics.valueOf('spoolplank_settings_older_refused_total'), 1);
    await replyOnceWith(6);
    assert.equal(mirror.isFresh(), true);
    await replyOnceWith(5);
    assert.equal(mirror.version, 6);
  });

  it('are relayed to other VMs with no more than the remaining time of the lease', async () => {
    const { clock, mirror, replyOnceWith } = createFixture();
    await mirror.start();
    await replyOnceWith(7);
    clock.advance(1000);
    const reply = await mirror.relay({ reports: [], sinceVersion: 0, waitMs: 0 });
    assert.equal(reply.leaseMs, 2000);
    assert.equal(reply.version, 7);
    clock.advance(2000);
    await assert.rejects(mirror.relay({ reports: [], sinceVersion: 0, waitMs: 0 }), {
      code: 'settings-stale',
    });
  });
});
