import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@spoolplank/shared';
import type { RouteKind } from '@spoolplank/routing';
import { createRequestAdmission } from '../src/admission/requestAdmission';
import type { CallerRequest } from '../src/callerRequest';
import type { RoutingView } from '../src/gossip/routingView';
import { createBackoffSetting } from './backoffFixtures';
import { createAnswer, createRoute } from './fixtures';
import { createVirtualTime } from './virtualTime';

const WAITED_MS = 4000;

describe('a request that waited unread', () => {
  (['safe', 'stream'] satisfies RouteKind[]).forEach((kind) => {
    it(`earns a retry as of the time before it was sent (${kind})`, async () => {
      const { clock, earnedAsOfMs, send } = createBackoffSetting(kind);
      const sentAfterMs = clock.steadyMs() - WAITED_MS;
      await send(sentAfterMs);
      assert.deepEqual(earnedAsOfMs, [sentAfterMs]);
    });
  });

  it('keeps that time while it waits for the routing document', async () => {
    const { clock, delay, pass } = createVirtualTime();
    const route = createRoute('safe');
    const routes = { document: { isKeyRequired: false }, findRoute: () => route };
    let isReady = false;
    const admission = createRequestAdmission({
      clock,
      random: createSeededRandom(1),
      view: { routes: () => (isReady ? routes : null) } as unknown as RoutingView,
      isReadyToRoute: () => isReady,
      isFresh: () => isReady,
      isCurrent: () => isReady,
      renewConfirmation: () => Promise.resolve(),
      readingGaps: { sentAfterMs: (arrivedAtMs) => arrivedAtMs - WAITED_MS },
      delay,
    });
    const arrivedAtMs = clock.nowMs();
    const request = { arrivedAtMs, deadlineMs: 20_000, key: null } as CallerRequest;
    const admitted = admission.admit(request, createAnswer());
    await pass(1000);
    isReady = true;
    await pass(1000);
    assert.equal((await admitted).sentAfterMs, arrivedAtMs - WAITED_MS);
  });
});
