/**
 * Decides which running streams are moved off engines that leave, and when.
 *
 * When 40 to 45 % of the engines are replaced, 3 to 8 of them announce in each second that they
 * leave. Each serves for 2.5 s and a little longer and then exits, while streams last 3 to 8 s: all
 * streams that still run over it then pause at once, for 250 to 450 ms, as its replacement repeats
 * their prefill one by one. Moved one at a time beforehand, each pauses for its own prefill only.
 *
 * A head cannot be replaced on a running path, so that a stream whose head leaves is restarted on
 * another chain and handed over.
 *
 * The entries do not coordinate. Each of them has its own phase in a common cycle, from its
 * position among the entries, so that all entries together move one stream in each turn.
 */
import type { ModelDescription, PathStage } from '@spoolplank/routing';
import { resumeSpacingMs } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { StreamRow } from '../dispatch/streamTable';
import type { EntryPosition } from './pathRepair';

/** The announcement of an engine that it leaves. */
export interface Departure {
  /** Time of the announcement, on this VM's clock. */
  readonly announcedAtMs: number;
}

export interface StreamMigrationOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** The announcement of an engine that leaves; undefined while it stays. */
  readonly departureOf: (instanceId: string) => Departure | undefined;
  /** Position of this VM among the entries. */
  readonly position: () => EntryPosition;
}

/** A stream that is to be moved now. */
export interface DueMove {
  readonly row: StreamRow;
  /** The engine that leaves. */
  readonly leavingId: string;
  /** Whether it is the first engine of the path; the stream is then restarted on another chain. */
  readonly isHead: boolean;
  /** The engines that a move avoids: all later ones of its path that leave, if possible. */
  readonly avoidedIds: readonly string[];
  readonly announcedAtMs: number;
}

export interface StreamMigration {
  /** Plans moves off the engines that leave; called when engines or streams have changed. */
  plan(rows: Iterable<StreamRow>): void;
  /** The next stream whose turn has come; undefined if there is none. */
  takeDue(rows: Iterable<StreamRow>): DueMove | undefined;
  /** Records that a stream cannot be moved off an engine, so that this is not tried again. */
  giveUp(move: DueMove): void;
}

/** Moves off one engine. */
interface Plan {
  readonly announcedAtMs: number;
  readonly spacingMs: number;
  nextAtMs: number;
}

/**
 * Time until the first move. Half of the streams over an engine end within 1.2 s, and each move
 * repeats a prefill that slows the other streams of the replacement.
 */
const START_AFTER_MS = 1200;
/** Moves end before the 2.5 s for which an engine that leaves serves at least. */
const END_AFTER_MS = 2300;
/** Least time for the moves, if the announcement arrived late. */
const MIN_WINDOW_MS = 400;
/** Time for which an engine that leaves serves at least. */
const SERVES_MS = 2500;
/** A restart spends a retry and a run, so that it is tried once. */
const MAX_HEAD_TRIES = 1;
/** A second try covers a replacement that had no room; more would load engines in vain. */
const MAX_TRIES = 2;
/** Time until a stream that is not ready to be moved is looked at again. */
const NOT_READY_MS = 60;
/** Duration of a stream with an answer of usual length; streams last 3 to 8 s. */
const USUAL_STREAM_MS = 5000;

/** Estimated time until a stream ends. */
function remainingMs({ admitted, model, startedAtMs }: StreamRow, nowMs: number): number {
  const { maxAnswerTokens } = admitted.request;
  const usual = Math.max(1, model.usualAnswerTokens);
  const share = maxAnswerTokens > 0 ? Math.min(1, maxAnswerTokens / usual) : 1;
  return share * USUAL_STREAM_MS - (nowMs - startedAtMs);
}

/** Time of a turn: twice the time in which the slowest kind of engine prefills the stream. */
function turnMs({ model, size }: StreamRow, stage: PathStage): number {
  const slowest = ({ kinds }: ModelDescription) =>
    kinds.reduce((factor, { readFactor }) => Math.max(factor, readFactor), 1);
  return resumeSpacingMs({ model, stages: [stage], size, prefillFactorOf: () => slowest(model) });
}

function isReady(row: StreamRow): boolean {
  const isBusy = row.isRepairing || row.isHandingOver || row.isChecking;
  return row.hasBegun && !isBusy && row.abortReason === null;
}

export function createStreamMigration(options: StreamMigrationOptions): StreamMigration {
  const { clock, departureOf, position } = options;
  const plans = new Map<string, Plan>();
  /** Number of tries to move a stream off each engine. */
  const tries = new WeakMap<StreamRow, Map<string, number>>();

  const triesOf = (row: StreamRow, id: string): number => tries.get(row)?.get(id) ?? 0;

  function recordTries(row: StreamRow, id: string, count: number): void {
    const known = tries.get(row) ?? new Map<string, number>();
    tries.set(row, known.set(id, count));
  }

  /** Whether a stream is restarted because its head leaves, as it will not end in time. */
  function mayRestart(row: StreamRow, head: PathStage, { announcedAtMs }: Departure): boolean {
    const nowMs = clock.nowMs();
    const servesMs = announcedAtMs + SERVES_MS - nowMs;
    const isAllowed = row.admitted.route.isResumable && triesOf(row, head.id) < MAX_HEAD_TRIES;
    return isAllowed && remainingMs(row, nowMs) > servesMs;
  }

  /** Whether the head of a stream leaves and the stream is still to be restarted because of it. */
  function isRestartDue(row: StreamRow): boolean {
    const [head] = row.stages;
    if (!head) return false;
    const departure = departureOf(head.id);
    return departure !== undefined && mayRestart(row, head, departure);
  }

  /** Later stages of a stream that are to be taken over by other engines. */
  function listLaterStages(row: StreamRow): readonly PathStage[] {
    const [, ...later] = row.stages;
    return later.filter(({ id }) => departureOf(id) && triesOf(row, id) < MAX_TRIES);
  }

  /** All stages that a stream is to leave; a head by a restart on another chain. */
  function listLeavingStages(row: StreamRow): readonly PathStage[] {
    const head = isRestartDue(row) ? row.stages.slice(0, 1) : [];
    return [...head, ...listLaterStages(row)];
  }

  /**
   * Whether a stream can be moved off an engine now. Later stages wait for a restart that is due,
   * as it leaves them too; if it fails, they are moved.
   */
  function isMovable(row: StreamRow, id: string): boolean {
    return isReady(row) && (row.stages[0]?.id === id || !isRestartDue(row));
  }

  function addPlan(stage: PathStage, rows: readonly StreamRow[]): void {
    const departure = departureOf(stage.id);
    const [first] = rows;
    if (!departure || !first) return;
    const nowMs = clock.nowMs();
    const { announcedAtMs } = departure;
    const startAtMs = announcedAtMs + START_AFTER_MS;
    const windowMs = Math.max(
      MIN_WINDOW_MS,
      announcedAtMs + END_AFTER_MS - Math.max(nowMs, startAtMs),
    );
    const { index, count } = position();
    const spacingMs = Math.min(count * turnMs(first, stage), windowMs / rows.length);
    const phaseAtMs = startAtMs + (index / count) * spacingMs;
    const missed = Math.max(0, Math.ceil((nowMs - phaseAtMs) / spacingMs));
    plans.set(stage.id, { announcedAtMs, spacingMs, nextAtMs: phaseAtMs + missed * spacingMs });
  }

  function takeFrom(id: string, plan: Plan, rows: Iterable<StreamRow>): DueMove | undefined {
    const nowMs = clock.nowMs();
    const open = [...rows].filter((row) => listLeavingStages(row).some((stage) => stage.id === id));
    if (open.length === 0) {
      plans.delete(id);
      return undefined;
    }
    const [first, ...rest] = open.filter((row) => isMovable(row, id));
    if (!first) {
      plan.nextAtMs = nowMs + NOT_READY_MS;
      return undefined;
    }
    const row = rest.reduce(
      (best, other) => (remainingMs(other, nowMs) > remainingMs(best, nowMs) ? other : best),
      first,
    );
    plan.nextAtMs = Math.max(plan.nextAtMs + plan.spacingMs, nowMs);
    // The second try avoids one engine only, as there may be no path without the others.
    const isFirstTry = triesOf(row, id) === 0;
    const avoidedIds = isFirstTry ? listLaterStages(row).map((stage) => stage.id) : [id];
    recordTries(row, id, triesOf(row, id) + 1);
    const isHead = row.stages[0]?.id === id;
    return { row, leavingId: id, isHead, avoidedIds, announcedAtMs: plan.announcedAtMs };
  }

  return {
    plan(rows) {
      const rowsById = new Map<string, { readonly stage: PathStage; readonly rows: StreamRow[] }>();
      for (const row of rows) {
        listLeavingStages(row).forEach((stage) => {
          const known = rowsById.get(stage.id);
          if (known) known.rows.push(row);
          else rowsById.set(stage.id, { stage, rows: [row] });
        });
      }
      rowsById.forEach(({ stage, rows: leaving }, id) => {
        if (!plans.has(id)) addPlan(stage, leaving);
      });
    },
    takeDue(rows) {
      const nowMs = clock.nowMs();
      for (const [id, plan] of plans) {
        const move = plan.nextAtMs <= nowMs ? takeFrom(id, plan, rows) : undefined;
        if (move) return move;
      }
      return undefined;
    },
    giveUp: ({ row, leavingId }) => recordTries(row, leavingId, MAX_TRIES),
  };
}
