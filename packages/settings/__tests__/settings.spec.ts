import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { formatFindings } from '@spoolplank/shared';
import {
  applyEdits,
  collectEditFindings,
  collectTreeFindings,
  collectVmFindings,
  DEFAULT_POLICY,
  parseJson,
  renderSettingsReference,
  resolvePolicy,
} from '..';
import type { SettingsTree, VmSettings } from '..';

const TREE: SettingsTree = {
  policy: { priority: 4, deadlineMs: 9000 },
  services: {
    drafts: {
      kind: 'model',
      layers: 12,
      policy: { maxInFlight: 40 },
      pipelines: { main: { policy: { maxRetries: 1 } } },
    },
  },
  organisations: {
    acme: {
      policy: { priority: 7 },
      services: {
        drafts: {
          policy: { weight: 3 },
          pipelines: { main: { backendServers: { e1: { policy: { weight: 9 } } } } },
        },
      },
    },
  },
};

function createVmSettings(): VmSettings {
  const vm = {
    vmId: 'vm1',
    dataCentre: 'dc1',
    host: '127.0.0.1',
    callerPort: 1,
    peerPort: 2,
    roles: ['entry', 'control'] as const,
  };
  return {
    deployment: 'd',
    vm,
    dataFolder: '/data',
    sharedKey: 'k'.repeat(16),
    operatorTokenDigest: 'a'.repeat(64),
    backendServerTokenDigest: 'b'.repeat(64),
    peers: [],
  };
}

describe('effective policy', () => {
  it('takes each value from the most specific branch that sets it, and names the branch', () => {
    const path = { organisation: 'acme', service: 'drafts', pipeline: 'main', backendServer: 'e1' };
    const { policy, origins } = resolvePolicy(TREE, path);
    assert.deepEqual([policy.priority, origins.priority], [7, '/organisations/acme']);
    assert.deepEqual([policy.deadlineMs, origins.deadlineMs], [9000, '/']);
    assert.deepEqual([policy.maxInFlight, origins.maxInFlight], [40, '/services/drafts']);
    assert.deepEqual(
      [policy.maxRetries, origins.maxRetries],
      [1, '/services/drafts/pipelines/main'],
    );
    assert.deepEqual(
      [policy.weight, origins.weight],
      [9, '/organisations/acme/services/drafts/pipelines/main/backendServers/e1'],
    );
    assert.deepEqual(
      [policy.maxQueueLength, origins.maxQueueLength],
      [DEFAULT_POLICY.maxQueueLength, 'default'],
    );
  });

  it('differs from the policy above only in the values that a branch sets', () => {
    const { policy } = resolvePolicy(TREE, { organisation: 'other', service: 'drafts' });
    assert.equal(policy.priority, 4);
    assert.equal(policy.weight, DEFAULT_POLICY.weight);
  });
});

describe('edits', () => {
  it('do not modify the tree that they are applied to', () => {
    const before = JSON.stringify(TREE);
    const after = applyEdits(TREE, [{ pointer: '/organisations/acme/policy/priority', value: 1 }]);
    assert.equal(JSON.stringify(TREE), before);
    assert.equal(after.organisations?.acme?.policy?.priority, 1);
  });

  it('remove the target of an edit without a value, and nothing else', () => {
    const after = applyEdits(TREE, [
      { pointer: '/organisations/acme' },
      { pointer: '/organisations/nobody/policy' },
    ]);
    assert.deepEqual(after.organisations, {});
    assert.equal(after.policy, TREE.policy);
  });

  it('cannot modify the prototype of an object', () => {
    const findings = collectEditFindings([{ pointer: '/__proto__/polluted', value: 1 }], 'edits');
    assert.equal(findings[0]?.pointer, '/0/pointer');
  });

  it('give the same tree whenever the same edits are applied', () => {
    const edit = fc.record({
      pointer: fc.constantFrom('', '/policy', '/policy/weight', '/a~1b', '/services/x/y'),
      value: fc.jsonValue(),
    });
    fc.assert(
      fc.property(fc.array(edit, { maxLength: 6 }), (edits) => {
        const apply = () =>
          JSON.stringify(applyEdits(TREE, edits as Parameters<typeof applyEdits>[1]));
        assert.equal(apply(), apply());
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});

describe('findings', () => {
  it('are reported together, each with its pointer and what is expected', () => {
    const tree = {
      policy: { deadline: 3, weight: 0 },
      services: { drafts: { kind: 'model' }, 'bad name!': { kind: 'plain' } },
      organisations: { acme: { tokenDigests: ['xyz'] } },
    };
    const text = formatFindings(collectTreeFindings(tree, 'tree.json'));
    assert.match(text, /tree.json#\/policy\/deadline: unknown key \(expected one of isEnabled, /);
    assert.match(text, /#\/policy\/weight/);
    assert.match(text, /#\/services\/drafts\/layers: missing/);
    assert.match(text, /#\/organisations\/acme\/tokenDigests\/0: wrong form/);
    assert.match(text, /bad name!/);
  });

  it('report a service that an organisation uses and that is not defined', () => {
    const findings = collectTreeFindings(
      { organisations: { acme: { services: { drafts: {} } } } },
      't',
    );
    assert.equal(findings[0]?.pointer, '/organisations/acme/services/drafts');
  });

  it('are empty for a valid tree', () => {
    assert.deepEqual(collectTreeFindings(TREE, 't'), []);
  });

  it('report missing, unknown and invalid values in the settings file of a VM', () => {
    assert.deepEqual(collectVmFindings(createVmSettings(), 'vm.json'), []);
    const { dataFolder, ...withoutDataFolder } = createVmSettings();
    assert.equal(dataFolder, '/data');
    assert.equal(collectVmFindings(withoutDataFolder, 'vm.json')[0]?.pointer, '/dataFolder');
    const invalid = {
      ...createVmSettings(),
      sharedKey: 'short',
      extra: 1,
      vm: { ...createVmSettings().vm, host: 'name.example' },
    };
    const pointers = collectVmFindings(invalid, 'vm.json').map(({ pointer }) => pointer);
    assert.deepEqual(pointers.sort(), ['/extra', '/sharedKey', '/vm/host']);
  });

  it('report a VM that is listed twice, under the same or another name', () => {
    const { vm } = createVmSettings();
    const other = { ...vm, vmId: 'vm2', host: '127.0.0.2' };
    const findPointers = (peers: readonly (typeof vm)[]) =>
      collectVmFindings({ ...createVmSettings(), peers }, 'vm.json').map(({ pointer }) => pointer);
    assert.deepEqual(findPointers([other]), []);
    assert.deepEqual(findPointers([{ ...other, vmId: vm.vmId }]), ['/peers/0/vmId']);
    assert.deepEqual(findPointers([{ ...vm, vmId: 'vm2', callerPort: 9 }]), ['/peers/0']);
    assert.deepEqual(findPointers([other, { ...other, vmId: 'vm3', peerPort: 9 }]), ['/peers/1']);
  });

  it('give the line and column of a JSON syntax error', () => {
    assert.throws(() => parseJson('{\n  "a": 1,\n  oops\n}', 'f.json'), {
      code: 'invalid-settings',
      message: /f.json: line 3, column 3/,
    });
  });
});

describe('settings reference', () => {
  it('is up to date; otherwise run npm run reference', () => {
    const page = readFileSync('docs/operators/settings-reference.md', 'utf8');
    assert.equal(page, renderSettingsReference());
  });
});
