import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { RouteKind } from '@spoolplank/routing';
import { createBackoffSetting, SERVERS } from './backoffFixtures';

interface Case {
  readonly kind: RouteKind;
  readonly retryAllowance: number;
  readonly reason: string | undefined;
}

const CASES: readonly Case[] = [
  { kind: 'stream', retryAllowance: 1, reason: 'retry-budget' },
  { kind: 'safe', retryAllowance: 1, reason: 'retry-budget' },
  { kind: 'stream', retryAllowance: 10, reason: undefined },
  { kind: 'safe', retryAllowance: 10, reason: 'attempts' },
];

/** Guards against requests that end after a failed attempt without a reason in the log. */
describe('a request that every server rejects', () => {
  for (const { kind, retryAllowance, reason } of CASES) {
    it(`is logged with ${reason ?? 'no reason'} with ${retryAllowance} retries (${kind})`, async () => {
      const setting = createBackoffSetting(kind, undefined, retryAllowance);
      SERVERS.forEach((id) => setting.serverBehaviours.set(id, 'busy'));
      await assert.rejects(setting.send());
      const reasons = setting
        .linesOf('not-retried')
        .map(({ fields }) => (fields as { readonly reason: string }).reason);
      assert.deepEqual(reasons, reason === undefined ? [] : [reason]);
    });
  }
});
