import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberFact } from '@spoolplank/membership';
import { createEventLog, createMetrics } from '@spoolplank/node';
import type { PeerTarget } from '@spoolplank/node';
import { createManualClock, createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { createIndirectProbes } from '../src/indirectProbes';
import type { IndirectProbes, LossVerdict } from '../src/indirectProbes';

const SERVERS = Array.from({ length: 12 }, (_, index) => `s${index}:80`);

interface Setting {
  readonly vms: number;
  readonly seed?: number;
  /** Whether a VM reaches a server. */
  readonly reaches: (host: string, address: string) => boolean;
  /** Whether a VM receives bytes over connections that were open before. */
  readonly hasTraffic?: (host: string) => boolean;
  readonly answers?: (host: string) => boolean;
}

function createVms({ vms, seed = 1, reaches, hasTraffic, answers }: Setting) {
  const clock = createManualClock(1000);
  const random = createSeededRandom(seed);
  const probesByHost = new Map<string, IndirectProbes>();
  const members = Array.from({ length: vms }, (_, index) => ({
    host: `h${index}`,
    peerPort: 1,
    dataCentre: `dc${index % 3}`,
  })) as unknown as readonly MemberFact[];
  let attempts = 0;
  members.forEach(({ host, dataCentre }) => {
    let contacts = 0;
    const probes = createIndirectProbes({
      clock,
      random,
      log: createEventLog({ vmId: host, clock, writeChunk: () => {} }),
      metrics: createMetrics(),
      host,
      dataCentre,
      listEntries: () => members,
      listServers: () => SERVERS,
      isReachable(address) {
        attempts += 1;
        return Promise.resolve(reaches(host, address));
      },
      countContacts() {
        if (hasTraffic?.(host)) contacts += 1;
        return contacts;
      },
      peers: {
        async call<Result>({ host: called }: PeerTarget, method: string, params: unknown) {
          const answer = probesByHost.get(called)?.methods[method];
          if (!answer || answers?.(called) === false) throw new SpoolplankError('unreachable');
          return (await answer(params as JsonValue, host)) as Result;
        },
      },
    });
    probesByHost.set(host, probes);
  });
  return {
    clock,
    attempts: () => attempts,
    confirm: (host: string, address: string): Promise<LossVerdict> =>
      probesByHost.get(host)?.confirmLoss(address) ?? Promise.reject(new Error('no such VM')),
  };
}

describe('a server that a VM does not reach', () => {
  it('is lost when no other VM reaches it either, while they reach others', async () => {
    const { confirm } = createVms({ vms: 3, reaches: (_host, address) => address !== 's4:80' });
    assert.equal(await confirm('h0', 's4:80'), 'lost');
  });

  it('is not lost when another VM reaches it', async () => {
    const { confirm } = createVms({ vms: 3, reaches: (host) => host !== 'h0' });
    assert.equal(await confirm('h0', 's4:80'), 'unreachable');
  });

  it('is not lost when one VM reaches it, though another one with working links does not', async () => {
    const { confirm } = createVms({
      vms: 3,
      reaches: (host, address) => host === 'h2' || (host === 'h1' && address !== 's4:80'),
    });
    assert.equal(await confirm('h0', 's4:80'), 'unreachable');
  });

  it('is not lost when only VMs that are partitioned themselves miss it', async () => {
    const { confirm } = createVms({ vms: 3, reaches: () => false });
    assert.equal(await confirm('h0', 's4:80'), 'unreachable');
  });

  it('is lost for a VM without others if it reaches other servers', async () => {
    const alone = createVms({ vms: 1, reaches: (_host, address) => address !== 's4:80' });
    assert.equal(await alone.confirm('h0', 's4:80'), 'lost');
    const cut = createVms({ vms: 1, reaches: () => false });
    assert.equal(await cut.confirm('h0', 's4:80'), 'unreachable');
  });

  it('is decided upon by a VM alone when no other one answers', async () => {
    const { confirm } = createVms({
      vms: 3,
      reaches: (_host, address) => address !== 's4:80',
      answers: () => false,
    });
    assert.equal(await confirm('h0', 's4:80'), 'lost');
  });

  it('is lost also for VMs that receive bytes but can open no connection', async () => {
    const { confirm, attempts } = createVms({
      vms: 3,
      reaches: () => false,
      hasTraffic: (host) => host !== 'h0',
    });
    assert.equal(await confirm('h0', 's4:80'), 'lost');
    assert.equal(attempts(), 2);
  });

  it('causes a bounded number of connections, however many VMs ask', async () => {
    const { confirm, attempts } = createVms({
      vms: 300,
      reaches: (_host, address) => address !== 's4:80',
    });
    const verdicts = await Promise.all(
      Array.from({ length: 300 }, (_, index) => confirm(`h${index}`, 's4:80')),
    );
    assert.deepEqual([...new Set(verdicts)], ['lost']);
    assert.ok(attempts() <= 300 * 4, `${attempts()} connections`);
  });

  it('is never lost for a cut of VMs, and always when it is down, in 1,200 schedules', async () => {
    for (const vms of [3, 11, 78, 300]) {
      for (let seed = 1; seed <= 300; seed += 1) {
        const draw = createSeededRandom(seed * 1000 + vms);
        const share = draw.nextInt(100) / 100;
        const cut = new Set(
          Array.from({ length: vms }, (_, index) => `h${index}`).filter(
            () => draw.nextInt(100) / 100 < share,
          ),
        );
        const down = SERVERS[draw.nextInt(SERVERS.length)] ?? '';
        const reaches = (host: string, address: string) => !cut.has(host) && address !== down;
        const { confirm } = createVms({ vms, seed, reaches });
        const sound = SERVERS.find((address) => address !== down) ?? '';
        for (const host of [...cut].slice(0, 3)) {
          assert.equal(await confirm(host, sound), 'unreachable', `${vms} VMs, seed ${seed}`);
        }
        const whole = Array.from({ length: vms }, (_, index) => `h${index}`).find(
          (host) => !cut.has(host),
        );
        if (whole) assert.equal(await confirm(whole, down), 'lost', `${vms} VMs, seed ${seed}`);
      }
    }
  });
});
