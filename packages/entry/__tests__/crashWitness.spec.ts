import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createCrashWitness } from '../src/crashWitness';

const RUN = { content: 'c', instanceId: 's1', address: 's1:80', ranMs: 50 };

function createSetting({ isThere = true }: { readonly isThere?: boolean } = {}) {
  const clock = createManualClock();
  const ended = new Set<string>();
  const seen: string[] = [];
  const witness = createCrashWitness({
    clock,
    isThere: () => Promise.resolve(isThere),
    hasEnded: (instanceId) => ended.has(instanceId),
    onEnd: ({ instanceId }) => seen.push(instanceId),
  });
  return { clock, ended, seen, witness };
}

describe('a run whose connection broke', () => {
  it('counts as an end when its server accepts no connection any more', async () => {
    const { witness, seen } = createSetting({ isThere: false });
    await witness.note(RUN);
    assert.deepEqual(seen, ['s1']);
  });

  it('counts for nothing while its server lives, as after a reset of the connection', async () => {
    const { witness, seen, clock } = createSetting();
    await witness.note(RUN);
    for (let passedMs = 0; passedMs < 20_000; passedMs += 500) {
      clock.advance(500);
      witness.tick();
    }
    assert.deepEqual(seen, []);
  });

  it('counts as an end when its server was back before anybody looked, and says so later', async () => {
    const { witness, seen, clock, ended } = createSetting();
    await witness.note(RUN);
    clock.advance(2000);
    witness.tick();
    ended.add('s1');
    witness.tick();
    witness.tick();
    assert.deepEqual(seen, ['s1']);
  });

  it('counts for nothing when its server ends long after', async () => {
    const { witness, seen, clock, ended } = createSetting();
    await witness.note(RUN);
    clock.advance(8000);
    witness.tick();
    ended.add('s1');
    witness.tick();
    assert.deepEqual(seen, []);
  });

  it('is not looked at again when another VM has found its server lost', async () => {
    const { witness, seen, ended } = createSetting();
    ended.add('s1');
    await witness.note(RUN);
    assert.deepEqual(seen, ['s1']);
  });
});
