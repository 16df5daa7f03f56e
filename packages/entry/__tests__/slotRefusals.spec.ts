import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMetrics } from '@spoolplank/node';
import type { LogFields } from '@spoolplank/node';
import { createManualClock } from '@spoolplank/shared';
import { createSlotRefusals } from '../src/slots/slotRefusals';
import type { RefusalInputs } from '../src/slots/slotRefusals';
import { createAsk, createDataCentre, runLoad } from './slotFixtures';

function createRefusals() {
  const clock = createManualClock(100_000);
  const metrics = createMetrics();
  const lines: LogFields[] = [];
  const log = { info: (_event: string, fields: LogFields = {}) => lines.push(fields) };
  return { clock, metrics, lines, refusals: createSlotRefusals({ clock, metrics, log }) };
}

const INPUTS: RefusalInputs = {
  reason: 'hopeless',
  ahead: 60,
  forecastMs: 1300.4,
  slotsPerS: 47,
  isRateLimited: false,
  inUse: 94,
  capacity: 100,
  supplyAgeMs: 12,
  turnInMs: 2100,
};

describe('the report of refused slots', () => {
  it('writes one line a second for each reason and class, with the number of omitted ones', () => {
    const { clock, lines, refusals } = createRefusals();
    for (let index = 0; index < 300; index += 1) {
      refusals.record(createAsk({ ticket: `r${index}/0` }), INPUTS);
    }
    refusals.record(createAsk({ priority: 2 }), INPUTS);
    refusals.record(createAsk(), { ...INPUTS, reason: 'no-chain' });
    assert.deepEqual(
      lines.map(({ omitted }) => omitted),
      [0, 0, 0],
    );
    clock.advance(1000);
    refusals.record(createAsk({ ticket: 'r300/0' }), INPUTS);
    assert.deepEqual(lines.at(-1), {
      ticket: 'r300/0',
      service: 'engines',
      class: 1,
      reason: 'hopeless',
      ahead: 60,
      forecastMs: 1300,
      remainingMs: 1200,
      limit: 'slot-rate',
      slotsPerS: 47,
      inUse: 94,
      capacity: 100,
      supplyAgeMs: 12,
      turnInMs: 2100,
      omitted: 299,
    });
  });

  it('counts refusals by reason and class, also those without a line', () => {
    const { metrics, refusals } = createRefusals();
    for (let index = 0; index < 300; index += 1) refusals.record(createAsk(), INPUTS);
    const labels = { reason: 'hopeless', class: '1' };
    assert.equal(metrics.valueOf('spoolplank_slot_refusals_total', labels), 300);
  });

  it('names the rate limit where it decided, and bounds an infinite forecast', () => {
    const { lines, refusals } = createRefusals();
    refusals.record(createAsk(), { ...INPUTS, isRateLimited: true, forecastMs: Infinity });
    assert.deepEqual([lines[0]?.limit, lines[0]?.forecastMs], ['rate-limit', 60_000]);
  });
});

describe('an allocator under twice the load', () => {
  it('tells what decided each refusal, and how far its forecasts were off', async () => {
    const site = createDataCentre(12, ['c1', 'c2']);
    await site.pass(1500);
    const { count } = await runLoad(site, 190, 6000);
    // Before the first releases are measured, requests wait for as long as they can.
    const [hopeless = 0, timeOver = 0] = ['hopeless', 'time-over'].map((reason) =>
      site.metrics.valueOf('spoolplank_slot_refusals_total', { reason, class: '1' }),
    );
    assert.equal(hopeless + timeOver, count('refused'));
    assert.ok(hopeless > 100, String(hopeless));
    const lines = site.linesOf('slot-refused');
    assert.ok(lines.length >= 3 && lines.length <= 8, `${lines.length} lines`);
    const byForecast = lines.filter(({ reason }) => reason === 'hopeless');
    assert.ok(byForecast.length >= 3);
    byForecast.forEach(({ ticket, forecastMs, remainingMs, limit }) => {
      assert.match(String(ticket), /^r/);
      assert.ok(Number(forecastMs) > Number(remainingMs), 'the line explains the refusal');
      assert.equal(limit, 'slot-rate');
    });
    const rendered = site.metrics.render();
    const median = /forecast_error_ms\{quantile="0.5"\} ([\d.]+)/.exec(rendered)?.[1];
    assert.ok(Number(median) < 100, `median error ${median} ms`);
  });
});
