import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SpoolplankError } from '@spoolplank/shared';
import type { RequestEnd } from '../src/entryContext';
import { createNotice, createBackoffSetting, BACKOFF_MS, SERVERS } from './backoffFixtures';

async function refusalOf(end: Promise<RequestEnd>): Promise<SpoolplankError> {
  const error = await end.then(
    () => assert.fail('the request was served'),
    (thrown: unknown) => thrown,
  );
  assert.ok(error instanceof SpoolplankError);
  return error;
}

describe('a request that a server rejected', () => {
  for (const kind of ['stream', 'safe', 'once'] as const) {
    it(`is sent to another server, as is the next request (${kind})`, async () => {
      const setting = createBackoffSetting(kind);
      SERVERS.slice(0, 2).forEach((id) => setting.serverBehaviours.set(id, 'backoff'));
      assert.equal((await setting.send()).outcome, 'served');
      const first = [...setting.sends];
      assert.equal(new Set(first).size, first.length, 'no server received it twice');
      assert.equal((await setting.send()).outcome, 'served');
      const backingOff = first.filter((id) => id !== 'e3');
      const after = setting.sends.slice(first.length);
      backingOff.forEach((id) => assert.ok(!after.includes(id), `${id} was sent something`));
      const held = setting.metrics.valueOf('spoolplank_sends_held_back_total', {
        reason: 'backoff',
      });
      assert.equal(held, 0, 'none of them was chosen');
    });

    it(`is not sent to that server again even without a backoff, but the next one may be (${kind})`, async () => {
      const setting = createBackoffSetting(kind);
      SERVERS.forEach((id) => setting.serverBehaviours.set(id, 'busy'));
      const error = await refusalOf(setting.send());
      assert.equal(error.outcome, 'not-run');
      assert.deepEqual([...setting.sends].sort(), SERVERS);
      await refusalOf(setting.send());
      assert.equal(setting.sends.length, 2 * SERVERS.length);
    });
  }

  it('may use a chain whose first engine was unreachable, once the chain is repaired', async () => {
    const setting = createBackoffSetting('stream');
    setting.serverBehaviours.set('e1', 'gone');
    setting.whenSent(() => setTimeout(() => setting.serverBehaviours.delete('e1'), 0));
    await setting.send().catch(() => {});
    assert.ok(setting.searches.length > 1);
    setting.searches.forEach(({ excludedHeads }) => assert.equal(excludedHeads.size, 0));
  });

  it('is refused at once with a time to retry after when all servers are in backoff', async () => {
    const setting = createBackoffSetting('safe');
    SERVERS.forEach((id) => setting.notices.applyNotice(createNotice({ instanceId: id })));
    setting.clock.advance(500);
    const first = await refusalOf(setting.send());
    const second = await refusalOf(setting.send());
    assert.deepEqual([first.code, first.outcome], ['no-backend-server', 'not-run']);
    assert.equal(first.retryAfterMs, 2500);
    assert.equal(second.retryAfterMs, 2525);
    assert.deepEqual(setting.sends, []);
  });

  it('is refused until the earliest end of a backoff when all servers rejected it', async () => {
    const setting = createBackoffSetting('safe');
    SERVERS.forEach((id) => setting.serverBehaviours.set(id, 'backoff'));
    const error = await refusalOf(setting.send());
    assert.equal(error.retryAfterMs, BACKOFF_MS);
  });

  it('is never refused as not run once a server may have run it', async () => {
    const setting = createBackoffSetting('safe');
    setting.serverBehaviours.set('e1', 'fails');
    setting.serverBehaviours.set('e2', 'fails');
    setting.serverBehaviours.set('e3', 'fails');
    setting.whenSent((id) =>
      SERVERS.filter((other) => other !== id).forEach((other) =>
        setting.notices.applyNotice(createNotice({ instanceId: other })),
      ),
    );
    const end = await setting.send();
    assert.equal(end.outcome, 'failed-there');
    assert.deepEqual(setting.answers, [500]);
    assert.equal(setting.sends.length, 1);
  });
});

describe('a stream whose engine asked for a backoff after the choice', () => {
  it('gets another slot without spending a retry', async () => {
    const setting = createBackoffSetting('stream');
    const { backoffs } = setting.notices;
    // Hides the backoff from the choice, as if the notice arrived between choice and send.
    let isHidden = true;
    const { isHeldBack } = backoffs;
    Object.assign(backoffs, {
      isHeldBack(id: string) {
        if (!isHidden || id !== 'e1') return isHeldBack(id);
        isHidden = false;
        setting.notices.applyNotice(createNotice());
        return false;
      },
    });
    const end = await setting.send();
    assert.equal(end.outcome, 'served');
    assert.equal(end.attempts, 1);
    assert.deepEqual(setting.sends, ['e2']);
    assert.equal(new Set(setting.searches.map(({ ticket }) => ticket)).size, 2);
  });
});
