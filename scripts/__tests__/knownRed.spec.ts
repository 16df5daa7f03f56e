import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { hasPassed, parseKnownFailures, partitionFailures } from '../knownRed';

const LINE = 'a.spec.ts › holds | npm run soak -- 7 1 | one of ten | issue 3';
const ENTRIES = parseKnownFailures(LINE);
const LISTED = { file: 'a.spec.ts', name: 'holds' };
const OTHER = { file: 'a.spec.ts', name: 'holds again' };

describe('the list of known failures', () => {
  it('is empty for an empty file', () => {
    assert.deepEqual(parseKnownFailures('\n'), []);
  });

  it('is rejected when a line lacks the test, the command, the observation or the issue', () => {
    ['a.spec.ts | b | c | d', 'a.spec.ts › t | b | c', 'a.spec.ts › t | b | | d'].forEach((line) =>
      assert.throws(() => parseKnownFailures(`${line}\n`), /KNOWN-RED\.txt/),
    );
  });
});

describe('a test run', () => {
  it('passes when no test failed, or only listed ones', () => {
    assert.equal(hasPassed(0, [], ENTRIES), true);
    assert.equal(hasPassed(1, [LISTED], ENTRIES), true);
  });

  it('fails when an unlisted test failed, even beside listed ones', () => {
    assert.equal(hasPassed(1, [LISTED, OTHER], ENTRIES), false);
    assert.equal(hasPassed(1, [{ ...LISTED, file: 'b.spec.ts' }], ENTRIES), false);
    assert.deepEqual(partitionFailures([LISTED, OTHER], ENTRIES), {
      known: [LISTED],
      unknown: [OTHER],
    });
  });

  it('fails when the runner failed without reporting a failed test', () => {
    assert.equal(hasPassed(1, [], ENTRIES), false);
    assert.equal(hasPassed(null, [], ENTRIES), false);
  });
});
