import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { afterEach, describe, it } from 'node:test';
import { callJson } from '@spoolplank/node';
import { startTcpProxy } from '@spoolplank/fakes';
import type { TcpProxy } from '@spoolplank/fakes';
import type { VmSettings } from '@spoolplank/settings';
import type { JsonValue } from '@spoolplank/shared';
import { dumpControl, findLeader, waitUntil } from '..';
import type { Deployment } from '..';
import { KALAHARI_TOKEN, startReadyDeployment, TEST_TIMINGS } from './fixtures';

interface ChangeAnswer {
  readonly status: number;
  readonly json: JsonValue;
}

describe('accepted settings', () => {
  let deployment: Deployment;

  afterEach(() => deployment.stop());

  function change(
    vmId: string,
    changeId: string,
    baseVersion: number,
    maxInFlight: number,
  ): Promise<ChangeAnswer> {
    const edits = [{ pointer: '/policy', value: { maxInFlight } }];
    return deployment.operatorPost(vmId, '/v1/config/changes', {
      changeId,
      baseVersion,
      edits,
      author: 'test',
    });
  }

  function runningVmIds(): readonly string[] {
    return deployment.vms.filter(({ process }) => process.isRunning).map(({ vmId }) => vmId);
  }

  async function waitForVersion(version: number, vmIds = runningVmIds()): Promise<void> {
    const hasVersion = async (vmId: string) => {
      const reply = (await deployment.operatorGet(vmId, '/v1/config')) as {
        version: number;
        isConfirmed: boolean;
      };
      return reply.version === version && reply.isConfirmed;
    };
    await Promise.all(
      vmIds.map((vmId) =>
        waitUntil(`${vmId} has version ${version} in force`, () => hasVersion(vmId)),
      ),
    );
  }

  async function waitForVoters(count: number): Promise<void> {
    await waitUntil(`${count} replicas with their current ids vote`, async () => {
      const leader = await findLeader(deployment);
      const voters = (await dumpControl(deployment, leader))?.replica?.configuration.voters ?? [];
      const ids = await Promise.all(
        runningVmIds().map(async (vmId) => (await dumpControl(deployment, vmId))?.replica?.id),
      );
      return voters.length === count && voters.every((voter) => ids.includes(voter));
    });
  }

  it('survive the leader being killed in the middle of changes, none lost and none twice', async () => {
    deployment = await startReadyDeployment(3, 1);
    const leader = await findLeader(deployment);
    const indices = Array.from({ length: 20 }, (_unused, index) => index);
    // Sent concurrently, each based on the version that it expects; late ones conflict.
    const answers = indices.map((index) =>
      change('vm4', `kill-${index}`, index + 1, 100 + index).catch(() => null),
    );
    await deployment.vm(leader).process.end('SIGKILL');
    await Promise.all(answers);
    let version = 1;
    for (const index of indices) {
      const { json } = await change('vm4', `kill-${index}`, index + 1, 100 + index);
      const { status, version: got } = json as { status: string; version: number };
      if (status === 'accepted') {
        version += 1;
        assert.equal(got, version, 'accepted changes have consecutive versions');
      }
    }
    await waitForVersion(version);
    const history = (await deployment.operatorGet(
      'vm4',
      '/v1/config/history?limit=100',
    )) as unknown as readonly { changeId: string }[];
    const ids = history.map(({ changeId }) => changeId);
    assert.equal(new Set(ids).size, ids.length);
    assert.equal(ids.length, version);
  });

  it('survive a wiped disk that comes back under the same name, and a second VM lost right after', async () => {
    deployment = await startReadyDeployment(3, 1);
    const lagging = 'vm2';
    deployment.vm(lagging).process.signal('SIGSTOP');
    await waitUntil(
      'a change is accepted without the lagging VM',
      async () => (await change('vm4', 'c1', 1, 11)).status === 200,
    );
    const leader = await findLeader({
      ...deployment,
      vms: deployment.vms.filter(({ vmId }) => vmId !== lagging),
    });
    const wiped = ['vm1', 'vm3'].find((vmId) => vmId !== leader) ?? 'vm1';
    await deployment.vm(wiped).process.end('SIGKILL');
    rmSync(deployment.vm(wiped).dataFolder, { recursive: true });
    deployment.restart(wiped);
    deployment.vm(lagging).process.signal('SIGCONT');
    await waitForVoters(3);
    await waitForVersion(2);
    // The group is repaired; now the only VM that held all entries throughout is killed.
    await deployment.vm(leader).process.end('SIGKILL');
    await waitForVersion(2);
    const { json } = await change('vm4', 'c2', 2, 12);
    assert.deepEqual(json, { status: 'accepted', version: 3 });
    await waitForVersion(3);
  });

  it('are not read from, nor changed by, a leader that was frozen while another took over', async () => {
    deployment = await startReadyDeployment(3, 1);
    const frozen = await findLeader(deployment);
    deployment.vm(frozen).process.signal('SIGSTOP');
    const others = deployment.vms.filter(({ vmId }) => vmId !== frozen);
    const late = change(frozen, 'late', 1, 99);
    const other = others[0]?.vmId ?? '';
    await waitUntil(
      'the others accept a change',
      async () => (await change(other, 'c1', 1, 11)).status === 200,
    );
    deployment.vm(frozen).process.signal('SIGCONT');
    const { json } = await late;
    assert.equal(
      (json as { status: string }).status,
      'conflict',
      'the change that was pending in the frozen VM is not accepted',
    );
    await waitForVersion(2);
  });

  it('stay in force while a control VM is cut off and when it comes back', async () => {
    const proxies: TcpProxy[] = [];
    // Every connection to and from vm3 passes through a proxy.
    deployment = await startReadyDeployment(3, 1, {
      adjustAll: async (all) => {
        const vm3 = all.find(({ vm }) => vm.vmId === 'vm3')?.vm;
        assert.ok(vm3);
        const proxy = await startTcpProxy({ target: { host: vm3.host, port: vm3.peerPort } });
        proxies.push(proxy);
        const toVm3 = (peers: VmSettings['peers']) =>
          peers.map((peer) => (peer.vmId === 'vm3' ? { ...peer, peerPort: proxy.port } : peer));
        const fromVm3 = async (peers: VmSettings['peers']) =>
          Promise.all(
            peers.map(async (peer) => {
              const out = await startTcpProxy({ target: { host: peer.host, port: peer.peerPort } });
              proxies.push(out);
              return { ...peer, peerPort: out.port };
            }),
          );
        return Promise.all(
          all.map(async (settings) => ({
            ...settings,
            peers:
              settings.vm.vmId === 'vm3' ? await fromVm3(settings.peers) : toVm3(settings.peers),
          })),
        );
      },
    });
    try {
      proxies.forEach((proxy) => proxy.setState('cut'));
      await waitUntil(
        'a change is accepted without vm3',
        async () => (await change('vm4', 'c1', 1, 11)).status === 200,
      );
      await waitForVersion(2, ['vm1', 'vm2', 'vm4']);
      await waitUntil('vm3 refuses requests', async () => {
        const status = (await deployment.operatorGet('vm3', '/v1/status')) as { isTaking: boolean };
        return !status.isTaking;
      });
      proxies.forEach((proxy) => proxy.setState('open'));
      await waitForVersion(2);
      assert.deepEqual((await change('vm3', 'c2', 2, 12)).json, { status: 'accepted', version: 3 });
    } finally {
      await Promise.all(proxies.map((proxy) => proxy.close()));
    }
  });

  it('come back after a restart of everything, after hundreds of changes', async () => {
    deployment = await startReadyDeployment(3, 1);
    for (let version = 1; version <= 500; version += 1) {
      const { json } = await change('vm4', `n${version}`, version, version);
      assert.deepEqual(json, { status: 'accepted', version: version + 1 });
    }
    await Promise.all(deployment.vms.map(({ process }) => process.end('SIGKILL')));
    deployment.vms.forEach(({ vmId }) => deployment.restart(vmId));
    await waitForVersion(501);
    const reply = (await deployment.operatorGet('vm4', '/v1/config?effective=true')) as {
      value: { maxInFlight: number };
    };
    assert.equal(reply.value.maxInFlight, 500);
    assert.deepEqual(
      (await change('vm4', 'n7', 7, 7)).json,
      { status: 'accepted', version: 8 },
      'a resent change gets its first answer again',
    );
  });

  it('go to one of two operators that race, and show the other what is in force', async () => {
    deployment = await startReadyDeployment(3, 1);
    const answers = await Promise.all([change('vm1', 'a', 1, 21), change('vm4', 'b', 1, 22)]);
    const replies = answers.map(
      ({ json }) =>
        json as unknown as {
          status: string;
          version: number;
          changesSince?: readonly { changeId: string }[];
        },
    );
    assert.deepEqual(replies.map(({ status }) => status).sort(), ['accepted', 'conflict']);
    const conflict = replies.find(({ status }) => status === 'conflict');
    assert.equal(conflict?.version, 2);
    assert.equal(conflict?.changesSince?.length, 1);
    const { code, output } = await deployment.command([
      'config',
      'set',
      '--pointer',
      '/policy/weight',
      '--value',
      '2',
      '--base-version',
      '1',
    ]);
    assert.equal(code, 4);
    assert.match(output, /conflict: version 2 is in force/);
  });

  it('that are invalid are refused as a whole, with the pointer of every finding', async () => {
    deployment = await startReadyDeployment(1, 1);
    const edits = [{ pointer: '/policy', value: { weight: -1, wait: 3 } }];
    const { status, json } = await deployment.operatorPost('vm2', '/v1/config/changes', {
      changeId: 'x',
      baseVersion: 1,
      edits,
    });
    assert.equal(status, 422);
    const { error } = json as unknown as { error: { findings: readonly { pointer: string }[] } };
    assert.deepEqual(error.findings.map(({ pointer }) => pointer).sort(), [
      '/policy/wait',
      '/policy/weight',
    ]);
    const { code, errors } = await deployment.command([
      'config',
      'set',
      '--pointer',
      '/policy/weight',
      '--value',
      '-1',
    ]);
    assert.equal(code, 3);
    assert.match(errors, /settings#\/policy\/weight/);
  });

  it('let an entry VM that cannot confirm them refuse requests, naming others, until it can', async () => {
    deployment = await startReadyDeployment(3, 1, {
      timings: { ...TEST_TIMINGS, settingsLeaseMs: 1200 },
    });
    const controls = ['vm1', 'vm2', 'vm3'];
    controls.forEach((vmId) => deployment.vm(vmId).process.signal('SIGSTOP'));
    const status = async () =>
      (await deployment.operatorGet('vm4', '/v1/status')) as { isTaking: boolean };
    await waitUntil('vm4 refuses requests', async () => !(await status()).isTaking);
    const { host, callerPort: port } = deployment.vm('vm4').address;
    const { status: code, json } = await callJson({
      endpoint: { host, port },
      method: 'POST',
      path: '/v1/chat/completions',
      json: {},
      headers: { authorization: `Bearer ${KALAHARI_TOKEN}` },
    });
    const { error } = json as unknown as {
      error: { code: string; outcome: string; retryAfterMs: number };
    };
    assert.equal(code, 503);
    assert.deepEqual([error.code, error.outcome], ['settings-stale', 'not-run']);
    assert.ok(error.retryAfterMs > 0);
    controls.forEach((vmId) => deployment.vm(vmId).process.signal('SIGCONT'));
    await waitUntil('vm4 takes requests again', async () => (await status()).isTaking);
  });
});
