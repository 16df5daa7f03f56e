import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { digestContent } from '../src/quarantine/requestContent';
import type { RequestContent } from '../src/quarantine/requestContent';

interface Parts {
  readonly organisation?: string | null;
  readonly host?: string;
  readonly method?: string;
  readonly url?: string;
  readonly body?: string;
}

function digestOf({
  organisation = 'acme',
  host = 'users',
  method = 'POST',
  url = '/draft/1',
  body = 'a prompt',
}: Parts = {}): string {
  const content: RequestContent = {
    organisation,
    request: { host, method, url, body: Buffer.from(body) },
  };
  return digestContent(content);
}

describe('the content of a request', () => {
  it('is the same for two attempts that share organisation, host, method, URL and body', () => {
    assert.equal(digestOf(), digestOf());
  });

  it('differs when the organisation, host, method, URL or body differs', () => {
    const others: readonly Parts[] = [
      { organisation: 'other' },
      { organisation: null },
      { host: 'others' },
      { method: 'PUT' },
      { url: '/draft/1?again' },
      { body: 'a prompt.' },
      { url: '/draft/1a', body: ' prompt' },
    ];
    const digests = new Set([digestOf(), ...others.map(digestOf)]);
    assert.equal(digests.size, others.length + 1);
  });
});
