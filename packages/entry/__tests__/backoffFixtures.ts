/** Simulates an entry whose servers back off, are busy, fail or are unreachable. */
import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import type { NoticeListener, BackoffDirective, ServerNotice } from '@spoolplank/membership';
import type { RouteKind } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { RetryBudgets } from '../src/admission/retryBudgets';
import type { BackendOperations, BackendResponse } from '../src/dispatch/backendOperations';
import type { ChosenChain } from '../src/dispatch/chainChoice';
import type { RequestEnd } from '../src/entryContext';
import { guardOperations } from '../src/dispatch/guardedOperations';
import type { PermitFinder } from '../src/limits/permitFinder';
import { createPlainDispatch } from '../src/dispatch/plainDispatch';
import type { SlotSearch } from '../src/slots/slotFinder';
import { createServerNotices } from '../src/dispatch/serverNotices';
import { createStreamDispatch } from '../src/dispatch/streamDispatch';
import { createStreamTable } from '../src/dispatch/streamTable';
import {
  createAdmitted,
  createAnswer,
  createChain,
  createContext,
  createEngine,
  createNoPermits,
  createRoute,
  createTables,
  createTestBudgets,
  createTestSendings,
  MODEL,
} from './fixtures';

/** Backoff that a server requests when it rejects a request. */
export const BACKOFF_MS = 3000;
export const SERVERS: readonly string[] = ['e1', 'e2', 'e3'];

export function createNotice(overrides: Partial<ServerNotice> = {}): ServerNotice {
  return {
    instanceId: 'e1',
    address: 'e1:80',
    requestId: 'r0',
    status: 503,
    backoffMs: BACKOFF_MS,
    isLeaving: false,
    culpritAddress: null,
    ...overrides,
  };
}

/**
 * How a server answers: `busy` rejects without requesting a backoff, `gone` is unreachable, and
 * `limited` sets a rate limit in a successful answer.
 */
export type ServerBehaviour = 'fine' | 'backoff' | 'busy' | 'fails' | 'gone' | 'limited';

/** Limit that a rate-limited server sets. */
export const LIMIT_PER_S = 0.5;

function createResponse(mood: ServerBehaviour): BackendResponse {
  const body = new PassThrough();
  const isGood = mood === 'fine' || mood === 'limited';
  body.end(isGood ? 'id: 1\ndata: x\n\n' : '');
  const isNotRun = mood === 'backoff' || mood === 'busy';
  const status = isNotRun ? 503 : 500;
  return {
    status: isGood ? 200 : status,
    headers: [],
    isNotRun,
    isMatched: true,
    problem: null,
    culpritAddress: null,
    load: null,
    backoffMs: mood === 'backoff' ? BACKOFF_MS : null,
    limit: mood === 'limited' ? { kind: 'named', perS: LIMIT_PER_S } : { kind: 'unnamed' },
    framing: 'chunked',
    body,
  };
}

/** Creates an entry's dispatch over servers with set behaviours; records notices and sends. */
export function createBackoffSetting(
  kind: RouteKind = 'safe',
  permits: PermitFinder = createNoPermits(),
  retryAllowance = 10,
) {
  const tables = createTables();
  const { clock, view, table, announce } = tables;
  SERVERS.forEach((id) => announce(createEngine(id, 0, 8)));
  const serverBehaviours = new Map<string, ServerBehaviour>();
  const sends: string[] = [];
  let listener: NoticeListener = () => {};
  let onSend = (_id: string): void => {};
  const operations = {
    onNotice(next: NoticeListener) {
      listener = next;
    },
    open({ target }: { readonly target: { readonly instanceId: string } }) {
      const { instanceId } = target;
      const mood = serverBehaviours.get(instanceId) ?? 'fine';
      sends.push(instanceId);
      if (mood === 'backoff') listener(createNotice({ instanceId, address: `${instanceId}:80` }));
      onSend(instanceId);
      if (mood === 'gone') {
        return Promise.reject(new SpoolplankError('unreachable', { outcome: 'not-run' }));
      }
      return Promise.resolve(createResponse(mood));
    },
    report: () => Promise.resolve({ stalled: [] }),
    repair: () => Promise.resolve({ kind: 'repaired' }),
    isReachable: () => Promise.resolve(true),
  } as unknown as BackendOperations;
  const base = createContext(clock, view, operations);
  const lines: { readonly event: string; readonly fields: unknown }[] = [];
  const log = {
    ...base.log,
    info: (event: string, fields: unknown) => lines.push({ event, fields }),
  };
  const passedOn: BackoffDirective[] = [];
  const notices = createServerNotices({
    clock,
    log,
    metrics: base.metrics,
    table,
    findByAddress: view.findByAddress,
    exchangeNow: () => {},
    onBackoff: (directive) => passedOn.push(directive),
  });
  operations.onNotice(notices.applyNotice);
  const budgets = createTestBudgets(clock, retryAllowance);
  const earnedAsOfMs: number[] = [];
  const budgetOf: RetryBudgets = (service) => {
    const budget = budgets(service);
    return { ...budget, earn: (sentAfterMs) => earnedAsOfMs.push(sentAfterMs) };
  };
  const guarded = guardOperations(operations, {
    clock,
    metrics: base.metrics,
    notices,
    budgetOf,
    limits: base.limits,
    unread: createTestSendings(clock),
  });
  const context = { ...base, log, notices, operations: guarded, budgetOf };
  const answers: number[] = [];
  const answer = createAnswer(answers);
  const route = createRoute(kind, { timeoutMs: 20_000 });
  const searches: SlotSearch[] = [];
  /** Grants the chain of the first server that is not excluded, like the allocator. */
  function findChain(search: SlotSearch): Promise<ChosenChain | undefined> {
    searches.push({ ...search, excludedHeads: new Set(search.excludedHeads) });
    const id = SERVERS.find(
      (server) => !search.excludedHeads.has(server) && !notices.backoffs.isHeldBack(server),
    );
    if (id === undefined) return Promise.reject(new SpoolplankError('no-backend-server'));
    return Promise.resolve(createChain(id));
  }
  const stream = createStreamDispatch({
    context,
    streams: createStreamTable({ clock }),
    slots: { findForNew: findChain, findForResumed: findChain, retryAfterMs: () => 100 },
    probeAfterFailure: (id) => assert.equal(serverBehaviours.get(id), 'gone', 'nothing broke off'),
    avoid: () => {},
  });
  const plain = createPlainDispatch(context, permits);
  return {
    ...tables,
    serverBehaviours,
    sends,
    searches,
    notices,
    limits: base.limits,
    passedOn,
    guarded,
    answers,
    metrics: base.metrics,
    linesOf: (event: string) => lines.filter((line) => line.event === event),
    /** Sets a callback for the time while a request is on its way to a server. */
    whenSent(next: (id: string) => void) {
      onSend = next;
    },
    /** Times as of which requests have earned retries. */
    earnedAsOfMs,
    send(sentAfterMs = clock.steadyMs()): Promise<RequestEnd> {
      const admitted = { ...createAdmitted(clock, route, answer), sentAfterMs };
      return kind === 'stream' ? stream.run(admitted, MODEL) : plain.run(admitted);
    },
  };
}
