import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { TestContext } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createClientMemory } from '..';

const MAX_BYTES = 1_000_000;
const LARGE_BYTES = 700_000;
const SMALL_BYTES = 600;

function createSetting(test: TestContext) {
  test.mock.timers.enable({ apis: ['setInterval'] });
  const clock = createManualClock(100_000);
  const events: string[] = [];
  const log = { warn: (event: string) => events.push(event) };
  const memory = createClientMemory({ clock, log, name: 'request', maxBytes: MAX_BYTES });
  const ends: string[] = [];
  function open(name: string, timeoutMs?: number) {
    const onRefused = ({ code }: { readonly code: string }) => ends.push(`${name} ${code}`);
    const hold = memory.open({ timeoutMs, onRefused });
    const grow = (bytes: number) => hold.grow(bytes, () => ends.push(`${name} granted`));
    return { ...hold, grow };
  }
  function pass(durationMs: number): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 250) {
      clock.advance(250);
      test.mock.timers.tick(250);
    }
  }
  return { ends, events, memory, open, pass };
}

describe('the memory for requests', () => {
  it('refuses nobody while there is capacity, however slow they are', (test) => {
    const { ends, memory, open, pass } = createSetting(test);
    assert.ok(open('slow').grow(LARGE_BYTES));
    pass(30_000);
    assert.deepEqual(ends, []);
    assert.equal(memory.bytes, LARGE_BYTES);
  });

  it('keeps a part for small requests', (test) => {
    const { open } = createSetting(test);
    assert.ok(open('large').grow(LARGE_BYTES));
    assert.ok(!open('other').grow(LARGE_BYTES));
    assert.ok(open('small').grow(SMALL_BYTES));
  });

  it('has capacity for a request of any size that is alone', (test) => {
    const { open } = createSetting(test);
    const alone = open('alone');
    assert.ok(alone.grow(LARGE_BYTES));
    assert.ok(alone.grow(2 * MAX_BYTES));
    assert.ok(!open('other').grow(SMALL_BYTES));
  });

  it('refuses the largest that has stopped sending for one that waits', (test) => {
    const { ends, open, pass } = createSetting(test);
    open('less').grow(200_000);
    open('most').grow(500_000);
    open('new').grow(400_000);
    pass(500);
    assert.deepEqual(ends, []);
    pass(1000);
    assert.deepEqual(ends, ['most request-timeout', 'new granted']);
  });

  it('does not refuse one that goes on sending', (test) => {
    const { ends, open, pass } = createSetting(test);
    const sending = open('sending');
    sending.grow(LARGE_BYTES);
    open('new').grow(LARGE_BYTES);
    for (let turn = 0; turn < 7; turn += 1) {
      pass(250);
      sending.recordProgress();
    }
    assert.deepEqual(ends, []);
    pass(250);
    assert.deepEqual(ends, ['new memory-full']);
  });

  it('keeps a whole request until it is released', (test) => {
    const { ends, memory, open, pass } = createSetting(test);
    const whole = open('whole', 5000);
    whole.grow(LARGE_BYTES);
    whole.complete();
    open('new').grow(LARGE_BYTES);
    pass(1500);
    assert.deepEqual(ends, []);
    whole.release();
    assert.deepEqual(ends, ['new granted']);
    pass(6000);
    whole.release();
    assert.equal(memory.bytes, LARGE_BYTES);
  });

  it('refuses a request that has not arrived whole by its deadline', (test) => {
    const { ends, events, memory, open, pass } = createSetting(test);
    open('late', 3000).grow(SMALL_BYTES);
    open('endless').grow(SMALL_BYTES);
    pass(3000);
    assert.deepEqual(ends, ['late request-timeout']);
    pass(57_000);
    assert.deepEqual(ends, ['late request-timeout', 'endless request-timeout']);
    assert.equal(memory.bytes, 0);
    assert.deepEqual(events, ['client-refused', 'client-refused']);
  });
});
