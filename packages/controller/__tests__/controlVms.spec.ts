import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFactTable, FACT_KEYS } from '@spoolplank/membership';
import type { SystemFact } from '@spoolplank/membership';
import { createManualClock } from '@spoolplank/shared';
import { createControlVms } from '../src/controlVms';

function createVms(host: string) {
  const clock = createManualClock(100_000);
  const table = createFactTable<SystemFact>({ clock, instance: 'run', isUrgent: () => false });
  const vms = createControlVms({
    clock,
    table,
    host,
    dataCentre: 'a',
    seeds: () => ['h1', 'h9'],
    replicas: () => ['h2#disk', 'h8#disk'],
  });
  const addMember = (memberHost: string, dataCentre = 'a') =>
    table.put(FACT_KEYS.member(memberHost, 'run'), clock.nowMs(), {
      kind: 'member',
      vmId: memberHost,
      dataCentre,
      host: memberHost,
      role: 'control',
      state: 'ready',
    });
  return { clock, vms, addMember };
}

describe('the control VMs known to a VM', () => {
  it('are the seeds, live members and voters, each once and without the VM itself', () => {
    const { vms, addMember } = createVms('h1');
    addMember('h2');
    addMember('h3', 'b');
    assert.deepEqual([...vms.listOthers()].sort(), ['h2', 'h3', 'h8', 'h9']);
  });

  it('designate the first of each data centre, and the next one when the first is silent', () => {
    const { clock, vms, addMember } = createVms('h2');
    assert.equal(vms.isDesignated(), true);
    addMember('h0', 'b');
    assert.equal(vms.isDesignated(), true);
    addMember('h1');
    assert.equal(vms.isDesignated(), false);
    clock.advance(5001);
    assert.equal(vms.isDesignated(), true);
  });
});
