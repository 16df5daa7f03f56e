import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import { createRequestAdmission } from '../src/admission/requestAdmission';
import type { CallerRequest } from '../src/callerRequest';
import type { RoutingView } from '../src/gossip/routingView';
import { createAnswer, createRoute } from './fixtures';

interface SettingOptions {
  readonly isCurrent?: boolean;
  /** What a renewal of the confirmation finds. */
  readonly onRenewal?: (setting: {
    hasRoute: boolean;
    hasKey: boolean;
    isCurrent: boolean;
  }) => void;
}

/** An entry whose document has neither the route nor the key of the request. */
function createSetting({ isCurrent = false, onRenewal = () => {} }: SettingOptions = {}) {
  const state = { hasRoute: false, hasKey: false, isCurrent };
  const route = createRoute('safe');
  const routes = {
    document: { isKeyRequired: true },
    findRoute: () => (state.hasRoute ? route : undefined),
    findOrganisation: () => (state.hasKey ? { name: 'acme' } : undefined),
  };
  let renewals = 0;
  const admission = createRequestAdmission({
    clock: createManualClock(100_000),
    random: createSeededRandom(1),
    view: { routes: () => routes } as unknown as RoutingView,
    isReadyToRoute: () => true,
    isFresh: () => true,
    isCurrent: () => state.isCurrent,
    readingGaps: { sentAfterMs: (arrivedAtMs) => arrivedAtMs },
    async renewConfirmation() {
      renewals += 1;
      onRenewal(state);
      return Promise.resolve();
    },
  });
  const request = { arrivedAtMs: 100_000, deadlineMs: 3000, key: 'key-2' } as CallerRequest;
  return {
    state,
    /** The code of the refusal; null when the request is admitted. */
    async ask(): Promise<string | null> {
      try {
        await admission.admit(request, createAnswer());
        return null;
      } catch (error) {
        assert.ok(error instanceof SpoolplankError);
        return error.code;
      }
    },
    countRenewals: () => renewals,
  };
}

/** Guards against refusals by a document that is no longer the latest. */
describe('a request that the document does not allow', () => {
  it('is refused at once while the confirmation is within the bound', async () => {
    const { ask, state, countRenewals } = createSetting({ isCurrent: true });
    assert.equal(await ask(), 'not-found');
    state.hasRoute = true;
    assert.equal(await ask(), 'unauthorized');
    assert.equal(countRenewals(), 0);
  });

  it('is served if a newer document that allows it is found', async () => {
    const { ask } = createSetting({
      onRenewal: (state) => Object.assign(state, { hasRoute: true, hasKey: true, isCurrent: true }),
    });
    assert.equal(await ask(), null);
  });

  it('is refused once the document is confirmed', async () => {
    const { ask } = createSetting({
      onRenewal: (state) => Object.assign(state, { isCurrent: true }),
    });
    assert.equal(await ask(), 'not-found');
  });

  it('is refused as not run when no control VM confirms the document', async () => {
    const { ask, state, countRenewals } = createSetting();
    assert.equal(await ask(), 'settings-stale');
    state.hasRoute = true;
    assert.equal(await ask(), 'settings-stale');
    assert.equal(countRenewals(), 2);
  });

  it('is no reason to ask when the document allows it', async () => {
    const { ask, state, countRenewals } = createSetting();
    Object.assign(state, { hasRoute: true, hasKey: true });
    assert.equal(await ask(), null);
    assert.equal(countRenewals(), 0);
  });
});
