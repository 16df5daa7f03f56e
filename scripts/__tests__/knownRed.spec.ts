import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { hasPassed, parseKnownRed, sortFailures } from '../knownRed';

const LINE = 'a.spec.ts › holds | npm run soak -- 7 1 | one of ten | issue 3';
const ENTRIES = parseKnownRed(LINE);
const LISTED = { file: 'a.spec.ts', name: 'holds' };
const OTHER = { file: 'a.spec.ts', name: 'holds again' };

describe('the list of tests that may fail', () => {
  it('has nothing in an empty file', () => {
    assert.deepEqual(parseKnownRed('\n'), []);
  });

  it('is refused where a line does not say test, command, what was seen, and issue', () => {
    ['a.spec.ts | b | c | d', 'a.spec.ts › t | b | c', 'a.spec.ts › t | b | | d'].forEach((line) =>
      assert.throws(() => parseKnownRed(`${line}\n`), /KNOWN-RED\.txt/),
    );
  });
});

describe('a run of tests', () => {
  it('passes when nothing failed, or just what is listed', () => {
    assert.equal(hasPassed(0, [], ENTRIES), true);
    assert.equal(hasPassed(1, [LISTED], ENTRIES), true);
  });

  it('fails with a test that is not listed, though others are', () => {
    assert.equal(hasPassed(1, [LISTED, OTHER], ENTRIES), false);
    assert.equal(hasPassed(1, [{ ...LISTED, file: 'b.spec.ts' }], ENTRIES), false);
    assert.deepEqual(sortFailures([LISTED, OTHER], ENTRIES), { known: [LISTED], unknown: [OTHER] });
  });

  it('fails when it ended without naming a test', () => {
    assert.equal(hasPassed(1, [], ENTRIES), false);
    assert.equal(hasPassed(null, [], ENTRIES), false);
  });
});
