/** Simulates running streams on the paths of one data centre, on several entry VMs. */
import type { Route } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { CallerAnswer, CallerRequest } from '../src/callerRequest';
import type { StreamRow } from '../src/dispatch/streamTable';
import { MODEL } from './fixtures';

const ROUTE = { targetGapMs: 250, targetLatencyMs: 500 } as Route;

/** Stages of an equal share of the model's eight layers on each engine. */
export function createStages(ids: readonly string[]) {
  const share = MODEL.layers / ids.length;
  return ids.map((id, index) => ({
    id,
    address: `${id}:80`,
    firstLayer: index * share,
    endLayer: (index + 1) * share,
  }));
}

/** Creates a stream that has begun and has just had an event. */
export function createRunningRow(
  clock: Clock,
  id: string,
  ids: readonly string[],
  overrides: Partial<StreamRow> = {},
): StreamRow {
  const row: StreamRow = {
    admitted: {
      request: { id, promptTokens: 700, maxAnswerTokens: 200 } as CallerRequest,
      answer: { isClosed: false } as CallerAnswer,
      route: ROUTE,
      service: 'engines',
      organisation: null,
      callerAgeMs: 0,
      sentAfterMs: clock.steadyMs(),
      deadlineAtMs: clock.nowMs() + 20_000,
    },
    model: MODEL,
    ticket: `${id}/0`,
    dataCentre: 'a',
    headId: ids[0] ?? '',
    size: 1,
    stages: createStages(ids),
    orderedStages: [],
    lostIds: new Set(),
    startedAtMs: clock.nowMs(),
    hasAnswered: true,
    isRelayed: false,
    hasBegun: true,
    lastProgressAtMs: clock.nowMs(),
    lastCheckAtMs: 0,
    checks: 0,
    isChecking: false,
    isRepairing: false,
    isHandingOver: false,
    isPaused: false,
    abortReason: null,
    abort(reason) {
      row.abortReason ??= reason;
    },
    ...overrides,
  };
  return row;
}
