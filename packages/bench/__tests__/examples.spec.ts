import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runExample as runConsensus } from '@spoolplank/consensus/examples/threeReplicas';
import { runExample as runMembership } from '@spoolplank/membership/examples/leaving';
import { runExample as runRouting } from '@spoolplank/routing/examples/chooseChain';
import { runExample as runSettings } from '@spoolplank/settings/examples/inherit';

function collect(run: (write: (line: string) => void) => void): readonly string[] {
  const lines: string[] = [];
  run((line) => lines.push(line));
  return lines;
}

describe('the examples for embedding', () => {
  it('commit a command on three replicas', () => {
    const lines = collect(runConsensus);
    assert.equal(lines.length, 4);
    assert.match(lines.at(-1) ?? '', /applies entry 3/);
  });

  it('register a backend server and let it leave', () => {
    assert.deepEqual(collect(runMembership), ['announced: takes work', 'leaving: takes none']);
  });

  it('select the faster chain and verify a token', () => {
    assert.deepEqual(collect(runRouting), [
      'chain: quick -> rest',
      'token: sound',
      'token that missed a stage: stage-missing',
    ]);
  });

  it('resolve inherited settings and report all findings', () => {
    const lines = collect(runSettings);
    assert.deepEqual(lines.slice(0, 2), [
      'deadlineMs 5000 from /',
      'weight 3 from /organisations/acme',
    ]);
    assert.equal(lines[2]?.split('\n').length, 3);
  });
});
