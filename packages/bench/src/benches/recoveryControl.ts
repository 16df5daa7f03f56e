/** Time from the failure of the leader to the next accepted change, and restart from a long log. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createControlState, createLogClock } from '@spoolplank/control';
import type { ControlState } from '@spoolplank/control';
import { createFileStorage, SYSTEM_CLOCK } from '@spoolplank/node';
import type { LogEntry } from '@spoolplank/consensus';
import type { JsonValue } from '@spoolplank/shared';
import { waitUntil } from '../childProcess';
import type { Figure } from '../figures';
import { fitLine, percentile } from '../statistics';
import { findLeader } from '../observe';
import { withDeployment } from './benchDeployment';

const ROUNDS = 8;
const LOG_SIZES = [100, 1000, 5000] as const;
const ORGANISATIONS = 500;

async function measureFailover(): Promise<readonly number[]> {
  return withDeployment(3, 1, async (deployment) => {
    const durationsMs: number[] = [];
    let { version } = (await deployment.operatorGet('vm4', '/v1/config')) as { version: number };
    for (let round = 0; round < ROUNDS; round += 1) {
      const leader = await findLeader(deployment);
      await deployment.vm(leader).process.end('SIGKILL');
      const killedAtMs = performance.now();
      const change = {
        changeId: `round-${round}`,
        baseVersion: version,
        edits: [{ pointer: '/policy/maxRetries', value: 1 }],
      };
      await waitUntil('a change is accepted', async () => {
        const { json } = await deployment.operatorPost('vm4', '/v1/config/changes', change);
        return (json as { status?: string }).status === 'accepted';
      });
      durationsMs.push(performance.now() - killedAtMs);
      version += 1;
      deployment.restart(leader);
      await deployment.waitUntilReady();
    }
    return durationsMs;
  });
}

function createState(): ControlState {
  return createControlState({ logClock: createLogClock(SYSTEM_CLOCK) });
}

function createSettingsEntry(index: number): LogEntry {
  const command = {
    kind: 'settings.change',
    changeId: `change-${index}`,
    baseVersion: index - 2,
    edits: [
      { pointer: `/organisations/o${index % ORGANISATIONS}/policy`, value: { maxInFlight: index } },
    ],
    author: 'operator',
    wallMs: 0,
    logTimeMs: index,
  };
  return { index, term: 1, payload: { kind: 'command', command: command as unknown as JsonValue } };
}

/** Measures the time from opening the data folder to the restored state. */
async function measureRestart(changes: number): Promise<number> {
  const folder = mkdtempSync(join(tmpdir(), 'spoolplank-restart-'));
  const writer = createFileStorage({ folder });
  await writer.load();
  await writer.installSnapshot(
    { index: 1, term: 0, configuration: { voters: ['a'], learners: [] } },
    '',
  );
  const entries = Array.from({ length: changes }, (_unused, offset) =>
    createSettingsEntry(offset + 2),
  );
  await writer.save({ hardState: { term: 1, votedFor: 'a' }, entries });
  const startedMs = performance.now();
  const stored = await createFileStorage({ folder }).load();
  const state = createState();
  stored.entries.forEach(({ payload }) => {
    if (payload.kind === 'command') state.apply(payload.command);
  });
  const durationMs = performance.now() - startedMs;
  rmSync(folder, { recursive: true });
  if (state.settings.version !== changes)
    throw new Error(`restored ${state.settings.version} of ${changes} changes`);
  return durationMs;
}

export async function recoveryControlBench(): Promise<readonly Figure[]> {
  const restarts: { readonly x: number; readonly y: number }[] = [];
  for (const size of LOG_SIZES) restarts.push({ x: size, y: await measureRestart(size) });
  const failovers = await measureFailover();
  return [
    { metric: 'leader-killed-to-accepted-p50', value: percentile(failovers, 0.5), unit: 'ms' },
    {
      metric: 'leader-killed-to-accepted-p99',
      value: percentile(failovers, 0.99),
      unit: 'ms',
      bound: { atMost: 8000 },
    },
    ...restarts.map(({ x, y }): Figure => ({
      metric: `restart-after-${x}-changes`,
      value: y,
      unit: 'ms',
    })),
    { metric: 'restart-slope', value: fitLine(restarts).slope * 1000, unit: 'ms/1000 changes' },
  ];
}
