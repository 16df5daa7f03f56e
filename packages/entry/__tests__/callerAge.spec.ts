import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCallerAge } from '../src/admission/callerAge';

describe('the age of a caller', () => {
  it('is the difference to the longest wait of its group', () => {
    const age = createCallerAge();
    assert.equal(age.estimateMs('r1 org', 20_000), 0);
    assert.equal(age.estimateMs('r1 org', 17_900), 2100);
    assert.equal(age.estimateMs('r1 org', 20_000), 0);
  });

  it('is zero if the caller does not state how long it waits, or no caller of its group waits longer', () => {
    const age = createCallerAge();
    age.estimateMs('r1 org', 20_000);
    assert.equal(age.estimateMs('r1 org', null), 0);
    assert.equal(age.estimateMs('r2 org', 5000), 0);
  });
});
