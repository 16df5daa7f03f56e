import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable, CRASH_RETENTION_MS, retentionMsOf } from '@spoolplank/membership';
import type { FactUpdate, SystemFact } from '@spoolplank/membership';
import { createEventLog, createMetrics } from '@spoolplank/node';
import { createManualClock, createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import type { ManualClock } from '@spoolplank/shared';
import { createFactPublisher } from '../src/gossip/factPublisher';
import { createQuarantine } from '../src/quarantine/quarantine';
import type { Quarantine } from '../src/quarantine/quarantine';
import { digestContent } from '../src/quarantine/requestContent';
import type { RequestContent } from '../src/quarantine/requestContent';

function createContent(body: string, organisation: string | null = 'acme'): RequestContent {
  const request = { host: 'users', method: 'POST', url: '/draft/1', body: Buffer.from(body) };
  return { organisation, request };
}

interface Vm {
  readonly quarantine: Quarantine;
  /** Number of published facts that requested an immediate exchange. */
  readonly spreads: () => number;
  /** Records the crash of a server while it ran a content. */
  end(content: RequestContent, instanceId: string, ranMs?: number): void;
  /** The facts that the VM publishes with an exchange. */
  state(): readonly FactUpdate<SystemFact>[];
  mergeFacts(updates: readonly FactUpdate<SystemFact>[]): void;
  /** All facts of the VM, as a starting VM receives them. */
  listAll(): readonly FactUpdate<SystemFact>[];
  sweep(): void;
}

function createVm(clock: ManualClock, name = 'vm'): Vm {
  let onFact = (_body: SystemFact): void => {};
  let spreads = 0;
  const table = createFactTable<SystemFact>({
    clock,
    instance: name,
    isUrgent: () => true,
    onUrgent: (body) => onFact(body),
  });
  const statements = createFactPublisher({
    clock,
    table,
    exchangeNow: () => {
      spreads += 1;
    },
  });
  const quarantine = createQuarantine({
    clock,
    random: createSeededRandom(3),
    log: createEventLog({ vmId: name, clock, writeChunk: () => {} }),
    metrics: createMetrics(),
    table,
    publisher: statements,
  });
  onFact = (body) => {
    if (body.kind === 'crash' || body.kind === 'clearance') quarantine.onFact(body);
  };
  return {
    quarantine,
    spreads: () => spreads,
    end(content, instanceId, ranMs = 80) {
      const run = { content: digestContent(content), instanceId, turn: 0, ranMs };
      quarantine.recordCrash({ ...run, evidence: 'run' });
    },
    state: () => quarantine.listOutgoingFacts(),
    mergeFacts: (updates) => table.merge(updates, clock.nowMs(), name),
    listAll: () => table.deltaSince('', 0).updates,
    sweep() {
      table.sweep(retentionMsOf);
      statements.sweep();
      quarantine.sweep();
    },
  };
}

function codeOf(run: () => void): string {
  try {
    run();
  } catch (error) {
    return error instanceof SpoolplankError ? error.code : String(error);
  }
  return 'none';
}

describe('a content that crashes servers', () => {
  it('is refused as not run, with a retry time, once three servers have crashed', () => {
    const vm = createVm(createManualClock());
    const deadly = createContent('deadly');
    ['s1', 's2'].forEach((id) => vm.end(deadly, id));
    assert.equal(
      codeOf(() => vm.quarantine.check(deadly)),
      'none',
    );
    vm.end(deadly, 's3');
    assert.throws(
      () => vm.quarantine.check(createContent('deadly')),
      (error: unknown) => {
        assert.ok(error instanceof SpoolplankError);
        assert.deepEqual([error.httpStatus, error.outcome], [503, 'not-run']);
        assert.equal(error.retryAfterMs, CRASH_RETENTION_MS);
        return true;
      },
    );
  });

  it('differs from the content of another organisation, and from another body', () => {
    const vm = createVm(createManualClock());
    ['s1', 's2', 's3'].forEach((id) => vm.end(createContent('deadly'), id));
    assert.equal(vm.quarantine.has(createContent('deadly', 'other')), false);
    assert.equal(vm.quarantine.has(createContent('deadly', null)), false);
    assert.equal(vm.quarantine.has(createContent('deadly ')), false);
  });

  it('is counted over all VMs, and an end that two VMs saw counts once', () => {
    const clock = createManualClock();
    const [a, b] = [createVm(clock, 'a'), createVm(clock, 'b')];
    const deadly = createContent('deadly');
    a.end(deadly, 's1');
    b.end(deadly, 's2');
    // Two copies of the request, sent by two VMs, ran on one incarnation of a server: one crash.
    a.end(deadly, 's3');
    b.end(deadly, 's3');
    b.mergeFacts(a.state());
    a.mergeFacts(b.state());
    assert.deepEqual([a.quarantine.has(deadly), b.quarantine.has(deadly)], [true, true]);
    const ends = (a.quarantine.describe() as { ends: unknown[] }[])[0]?.ends.length;
    assert.equal(ends, 3);
  });

  it('is reported once for a run, however many copies of the request were on it', () => {
    const vm = createVm(createManualClock());
    const deadly = createContent('deadly');
    for (let copy = 0; copy < 5; copy += 1) vm.end(deadly, 's1', 80 + copy);
    assert.equal(vm.spreads(), 1);
  });

  it('is known to a VM that has just started from its first exchange', () => {
    const clock = createManualClock();
    const vm = createVm(clock, 'a');
    const deadly = createContent('deadly');
    ['s1', 's2', 's3'].forEach((id) => vm.end(deadly, id));
    clock.advance(60_000);
    const fresh = createVm(clock, 'b');
    fresh.mergeFacts(vm.listAll());
    assert.equal(fresh.quarantine.has(deadly), true);
  });

  it('is republished to restarted control VMs by VMs that did not see the crashes', () => {
    const clock = createManualClock();
    const reporter = createVm(clock, 'a');
    const deadly = createContent('deadly');
    ['s1', 's2', 's3'].forEach((id) => reporter.end(deadly, id));
    const bystander = createVm(clock, 'b');
    bystander.mergeFacts(reporter.listAll());
    clock.advance(10_000);
    const control = createVm(clock, 'c');
    control.mergeFacts(bystander.state());
    assert.equal(control.quarantine.has(deadly), true);
    // Not with each exchange, of which these facts would otherwise make up most.
    assert.deepEqual(bystander.state(), []);
  });

  it('is retried by the router itself after one crash, but not after two', () => {
    const vm = createVm(createManualClock());
    const deadly = createContent('deadly');
    vm.end(deadly, 's1');
    assert.equal(vm.quarantine.mayRetry(deadly), true);
    vm.end(deadly, 's2');
    assert.equal(vm.quarantine.mayRetry(deadly), false);
    assert.equal(vm.quarantine.mayRetry(createContent('honest')), true);
  });

  it('is counted once for a run that was reported as an attempt before', () => {
    const vm = createVm(createManualClock());
    const deadly = createContent('deadly');
    const content = digestContent(deadly);
    ['s1', 's2', 's3'].forEach((instanceId) =>
      vm.quarantine.recordCrash({ content, instanceId, turn: 0, evidence: 'attempt', ranMs: 0 }),
    );
    assert.equal(vm.quarantine.has(deadly), false, 'nothing shows that it was run');
    vm.end(deadly, 's1');
    assert.equal(vm.quarantine.has(deadly), false);
    vm.end(deadly, 's2');
    assert.equal(vm.quarantine.has(deadly), true);
  });

  it('is counted for each of several runs under one instance id', () => {
    const vm = createVm(createManualClock());
    const deadly = createContent('deadly');
    const run = { content: digestContent(deadly), instanceId: 's1', ranMs: 40 };
    [0, 1, 1, 2].forEach((turn) => vm.quarantine.recordCrash({ ...run, turn, evidence: 'run' }));
    assert.equal(vm.quarantine.has(deadly), true);
  });

  it('is retried by the router itself after one crash that was reported twice', () => {
    const vm = createVm(createManualClock());
    const deadly = createContent('deadly');
    vm.end(deadly, 's1');
    const run = { content: digestContent(deadly), instanceId: 's1', turn: 0, ranMs: 0 };
    vm.quarantine.recordCrash({ ...run, evidence: 'attempt' });
    assert.equal(vm.quarantine.mayRetry(deadly), true);
  });

  it('is cleared of the earlier crashes when it is served, but not of later ones', () => {
    const clock = createManualClock();
    const vm = createVm(clock);
    const honest = createContent('honest');
    ['s1', 's2', 's3'].forEach((id) => vm.end(honest, id));
    clock.advance(10);
    vm.quarantine.recordServed(honest);
    assert.equal(vm.quarantine.has(honest), false);
    clock.advance(60_000);
    ['s4', 's5'].forEach((id) => vm.end(honest, id));
    assert.equal(vm.quarantine.has(honest), false);
    vm.end(honest, 's6');
    assert.equal(vm.quarantine.has(honest), true);
  });

  it('is cleared on other VMs through an exchange', () => {
    const clock = createManualClock();
    const [a, b] = [createVm(clock, 'a'), createVm(clock, 'b')];
    const honest = createContent('honest');
    ['s1', 's2', 's3'].forEach((id) => a.end(honest, id));
    b.mergeFacts(a.state());
    clock.advance(50);
    a.quarantine.recordServed(honest);
    b.mergeFacts(a.state());
    assert.equal(b.quarantine.has(honest), false);
  });

  it('is cleared at once, on its VM and on others, each time it is quarantined', () => {
    const clock = createManualClock();
    const [a, b] = [createVm(clock, 'a'), createVm(clock, 'b')];
    const honest = createContent('honest');
    for (let round = 0; round < 3; round += 1) {
      clock.advance(60_000);
      ['s1', 's2', 's3'].forEach((id) => a.end(honest, `${id}/${round}`));
      b.mergeFacts(a.state());
      assert.deepEqual([a.quarantine.has(honest), b.quarantine.has(honest)], [true, true]);
      clock.advance(50);
      a.quarantine.recordServed(honest);
      b.mergeFacts(a.state());
      assert.deepEqual([a.quarantine.has(honest), b.quarantine.has(honest)], [false, false]);
    }
  });

  it('is not suspected if it was served recently, as when all servers lose power at once', () => {
    const clock = createManualClock();
    const vm = createVm(clock);
    const shared = createContent('shared by all callers');
    vm.quarantine.recordServed(shared);
    clock.advance(30_000);
    ['s1', 's2', 's3'].forEach((id) => vm.end(shared, id));
    assert.equal(vm.quarantine.has(shared), false);
    assert.equal(vm.spreads(), 0, 'nothing is published');
    clock.advance(60_000);
    ['s4', 's5', 's6'].forEach((id) => vm.end(shared, id));
    assert.equal(vm.quarantine.has(shared), true);
  });

  it('is cleared for all VMs by a VM that served it recently', () => {
    const clock = createManualClock();
    const [a, b] = [createVm(clock, 'a'), createVm(clock, 'b')];
    const shared = createContent('shared by all callers');
    b.quarantine.recordServed(shared);
    clock.advance(1000);
    ['s1', 's2', 's3'].forEach((id) => a.end(shared, id));
    assert.equal(a.quarantine.has(shared), true);
    b.mergeFacts(a.state());
    assert.equal(b.quarantine.has(shared), false);
    a.mergeFacts(b.state());
    assert.equal(a.quarantine.has(shared), false);
  });

  it('is released by an operator by its digest', () => {
    const clock = createManualClock();
    const vm = createVm(clock);
    const deadly = createContent('deadly');
    ['s1', 's2', 's3'].forEach((id) => vm.end(deadly, id));
    assert.equal(vm.quarantine.release('unknown'), false);
    clock.advance(10);
    assert.equal(vm.quarantine.release(digestContent(deadly)), true);
    assert.equal(vm.quarantine.has(deadly), false);
  });

  it('expires, unless it keeps coming', () => {
    const clock = createManualClock();
    const vm = createVm(clock);
    const [gone, coming] = [createContent('gone'), createContent('coming')];
    ['s1', 's2', 's3'].forEach((id) => vm.end(gone, id));
    ['t1', 't2', 't3'].forEach((id) => vm.end(coming, id));
    for (let part = 0; part < 3; part += 1) {
      clock.advance(CRASH_RETENTION_MS * 0.6);
      assert.equal(
        codeOf(() => vm.quarantine.check(coming)),
        'quarantined',
      );
      vm.sweep();
    }
    assert.equal(vm.quarantine.has(gone), false);
    assert.equal(vm.quarantine.has(coming), true);
  });

  it('stays in quarantine when very many contents are suspected', () => {
    const vm = createVm(createManualClock());
    const deadly = createContent('deadly');
    for (let index = 0; index < 1500; index += 1) vm.end(createContent(`c${index}`), `s${index}`);
    ['t1', 't2', 't3'].forEach((id) => vm.end(deadly, id));
    assert.equal(vm.quarantine.has(deadly), true);
  });
});
