import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CRASH_RETENTION_MS, FACT_KEYS } from '@spoolplank/membership';
import { PART_SETTLE_MS, SERVED_PART_SETTLE_MS } from '@spoolplank/routing';
import { createManualClock, SpoolplankError } from '@spoolplank/shared';
import { digestContent, partsOf } from '../src/quarantine/requestContent';
import type { RequestContent } from '../src/quarantine/requestContent';
import { createVm } from './partSchedules';
import type { Vm } from './partSchedules';

const GAP_MS = 500;
const RAN_MS = 60;

function createContent(name: string, promptParts: readonly string[]): RequestContent {
  const request = {
    host: 'users',
    method: 'POST',
    url: '/d',
    body: Buffer.from(name),
    promptParts,
  };
  return { organisation: 'acme', request };
}

function createFixture() {
  const clock = createManualClock(100_000);
  const vm = createVm(clock, 'vm', (run) => run());
  let ends = 0;
  function end(promptParts: readonly string[], on: Vm = vm): void {
    ends += 1;
    const content = createContent(`deadly ${ends}`, promptParts);
    on.quarantine.recordCrash({
      content: digestContent(content),
      instanceId: `e${ends}`,
      turn: 0,
      evidence: 'run',
      ranMs: RAN_MS,
      parts: partsOf(content),
    });
    clock.advance(GAP_MS);
  }
  const has = (promptParts: readonly string[], on: Vm = vm) =>
    on.quarantine.has(createContent('another', promptParts));
  return { clock, vm, end, has };
}

describe('a part of prompts under which three servers have ended', () => {
  it('is refused at once as not run, whatever else the request holds', () => {
    const { clock, vm, end, has } = createFixture();
    end(['m/a', 'm/dead']);
    end(['m/dead']);
    end(['m/b', 'm/dead']);
    assert.equal(has(['m/dead']), false, 'a part may still be cleared');
    clock.advance(PART_SETTLE_MS);
    assert.equal(has(['m/c', 'm/dead']), true);
    assert.equal(has(['m/a']), false);
    assert.throws(
      () => vm.quarantine.check(createContent('another', ['m/dead'])),
      (error: unknown) =>
        error instanceof SpoolplankError &&
        error.code === 'quarantined' &&
        error.outcome === 'not-run' &&
        error.retryAfterMs === CRASH_RETENTION_MS,
    );
  });

  it('is known to another VM that has only heard of the ends', () => {
    const { clock, vm, end, has } = createFixture();
    const other = createVm(clock, 'other', (run) => run());
    [['m/a', 'm/dead'], ['m/dead'], ['m/dead']].forEach((parts) => end(parts));
    other.exchange(vm);
    clock.advance(PART_SETTLE_MS);
    assert.equal(has(['m/dead'], other), true);
  });

  it('is not cleared by an answer that was sent before the ends', () => {
    const { clock, vm, end, has } = createFixture();
    const sentAtMs = clock.nowMs();
    clock.advance(10);
    end(['m/dead']);
    end(['m/dead']);
    end(['m/dead']);
    vm.quarantine.recordServed(createContent('early', ['m/dead']), sentAtMs);
    clock.advance(SERVED_PART_SETTLE_MS);
    assert.equal(has(['m/dead']), true);
  });

  it('is cleared on all VMs by an answer that was sent after them', () => {
    const { clock, vm, end, has } = createFixture();
    const other = createVm(clock, 'other', (run) => run());
    end(['m/shared']);
    end(['m/shared']);
    end(['m/shared']);
    other.exchange(vm);
    other.quarantine.has(createContent('any', []));
    clock.advance(10);
    other.quarantine.recordServed(createContent('sound', ['m/shared']));
    vm.exchange(other);
    clock.advance(SERVED_PART_SETTLE_MS);
    assert.deepEqual([has(['m/shared']), has(['m/shared'], other)], [false, false]);
  });

  it('is published as cleared once, and not for each request that is served', () => {
    const { clock, vm, end } = createFixture();
    end(['m/shared']);
    vm.quarantine.recordServed(createContent('sound', ['m/shared']));
    const first = vm.table.find(FACT_KEYS.clearance('m/shared'));
    clock.advance(GAP_MS);
    vm.quarantine.recordServed(createContent('sound too', ['m/shared']));
    const second = vm.table.find(FACT_KEYS.clearance('m/shared'));
    assert.ok(first);
    assert.equal(second?.sequence, first.sequence);
  });

  it('stays in quarantine while it comes, with the time between the ends', () => {
    const { clock, vm, end, has } = createFixture();
    [['m/dead'], ['m/dead'], ['m/dead']].forEach((parts) => end(parts));
    for (let part = 0; part < 3; part += 1) {
      clock.advance(CRASH_RETENTION_MS * 0.6);
      assert.throws(() => vm.quarantine.check(createContent('again', ['m/dead'])));
      vm.quarantine.sweep();
    }
    assert.equal(has(['m/dead']), true);
  });

  it('is shown in the dump by its name, by which an operator releases it', () => {
    const { clock, vm, end, has } = createFixture();
    [['m/a', 'm/dead'], ['m/dead'], ['m/dead']].forEach((parts) => end(parts));
    clock.advance(PART_SETTLE_MS);
    assert.equal(has(['m/dead']), true);
    const shown = vm.quarantine.describe() as unknown as { content: string; ends: unknown[] }[];
    assert.equal(shown.find(({ content }) => content === 'm/dead')?.ends.length, 3);
    assert.equal(vm.quarantine.release('m/dead'), true);
    assert.equal(has(['m/dead']), false);
  });
});
