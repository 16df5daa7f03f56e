import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createReadiness } from '../src/readiness';

const REVOCATION_MS = 5000;
const REFUSAL_LIMIT_MS = 1800;

function createSetting({ isAccepting = true } = {}) {
  let ageMs = 0;
  const documents = {
    current: { version: 1 } as unknown,
    confirmedAgeMs: () => ageMs,
  };
  const readiness = createReadiness({
    documents,
    revocationMs: REVOCATION_MS,
    refusalLimitMs: REFUSAL_LIMIT_MS,
    canAccept: () => isAccepting,
  });
  return {
    readiness,
    documents,
    age(durationMs: number) {
      ageMs = durationMs;
    },
  };
}

describe('a VM', () => {
  it('is ready with a document that was confirmed recently', () => {
    const { readiness, age } = createSetting();
    assert.deepEqual([readiness.isReady(), readiness.memberState()], [true, 'ready']);
    age(REVOCATION_MS);
    assert.deepEqual([readiness.isReady(), readiness.memberState()], [false, 'starting']);
  });

  it('knows that nothing was added only by a confirmation within the bound of a change', () => {
    const { readiness, age } = createSetting();
    age(REFUSAL_LIMIT_MS - 1);
    assert.equal(readiness.isCurrent(), true);
    age(REFUSAL_LIMIT_MS);
    assert.deepEqual([readiness.isCurrent(), readiness.isFresh()], [false, true]);
  });

  it('is not ready before its first document', () => {
    const { readiness, documents } = createSetting();
    documents.current = null;
    assert.equal(readiness.isReady(), false);
  });

  it('is not ready while it cannot accept connections, but serves those that it has', () => {
    const { readiness } = createSetting({ isAccepting: false });
    assert.deepEqual([readiness.isReady(), readiness.isReadyToRoute()], [false, true]);
  });

  it('continues to serve while it leaves, but is not ready', () => {
    const { readiness } = createSetting();
    readiness.beginDraining();
    assert.deepEqual(
      [readiness.isReady(), readiness.memberState(), readiness.isReadyToRoute()],
      [false, 'leaving', true],
    );
  });
});
