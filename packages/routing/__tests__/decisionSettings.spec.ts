import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEFAULT_DECISIONS, readDecisions } from '..';

describe('decision settings', () => {
  it('switch every mechanism on when the section is missing', () => {
    assert.deepEqual(readDecisions(undefined, 'file'), {
      settings: DEFAULT_DECISIONS,
      findings: [],
    });
  });

  it('take switches, shares and weights from the section', () => {
    const section = {
      sharing: { isEnabled: false, minClassShare: 0.2, organisationWeights: { acme: 3 } },
      migration: { isEnabled: false },
    };
    const { settings, findings } = readDecisions(section, 'file');
    assert.deepEqual(findings, []);
    assert.deepEqual(settings.sharing, section.sharing);
    assert.equal(settings.migration.isEnabled, false);
    assert.equal(settings.forecast.isEnabled, true);
  });

  // Without a finding for each value, an operator would find the mistakes one restart at a time.
  it('report every wrong value with its place and fall back to the default', () => {
    const section = {
      sharing: { minClassShare: 0.9, organisationWeights: { acme: 0 } },
      sharedEngines: { isEnabled: 'no' },
      forecast: 3,
    };
    const { settings, findings } = readDecisions(section, 'file');
    assert.deepEqual(findings.map(({ pointer }) => pointer).sort(), [
      '/decisions/forecast',
      '/decisions/sharedEngines/isEnabled',
      '/decisions/sharing/minClassShare',
      '/decisions/sharing/organisationWeights/acme',
    ]);
    assert.deepEqual(settings, DEFAULT_DECISIONS);
  });

  it('report a section that is not an object', () => {
    assert.equal(readDecisions([], 'file').findings[0]?.pointer, '/decisions');
  });
});
