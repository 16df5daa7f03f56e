/**
 * How soon a change of the document that was acknowledged is in force, and the timings of its
 * propagation that follow from it. Control VMs that do not lead exchange with the leader, entries
 * with a control VM, so the ages of two confirmations add up on an entry.
 */

export interface ChangeBounds {
  /** Time from the acknowledgement of a change until it is in force on every VM in contact. */
  readonly applyMs: number;
  /** Time after a fault until a VM counts as in contact again. */
  readonly contactMs: number;
}

export interface ConfirmationTimings {
  /** How long a source may hold an exchange until there is a change. */
  readonly holdMs: number;
  /** Time without a reply after which an exchange is overdue. */
  readonly exchangeOverdueMs: number;
  readonly exchangeTimeoutMs: number;
  /** Age of its confirmation from which a control VM asks for a new one out of turn. */
  readonly controlDueMs: number;
  /** Age of its confirmation from which an entry asks for a new one out of turn. */
  readonly entryDueMs: number;
  /** Time after which the next source is asked, also if the last one may still reply. */
  readonly askIntervalMs: number;
  readonly askTimeoutMs: number;
  /** Age of a confirmation from which this VM is out of contact, and asks less often. */
  readonly outOfContactMs: number;
  /** Age from which a confirmation no longer shows that a route or key does not exist. */
  readonly refusalLimitMs: number;
}

export const DEFAULT_CHANGE_BOUNDS: ChangeBounds = { applyMs: 2000, contactMs: 3000 };

/** Amounts to 1.25 exchanges per second and pair of processes. */
const MAX_HOLD_MS = 800;
/** Two holds, of a control VM and of an entry, leave a fifth of the bound for all else. */
const HOLD_SHARE = 0.4;
/** Above the time that a busy VM takes for a reply. */
const OVERDUE_MS = 250;
const EXCHANGE_MARGIN_MS = 600;
const ASK_SHARE = 0.1;
/** Asks that are in flight at the same time while no source replies. */
const ASKS_IN_FLIGHT = 3;
/** The rest allows for the drift between the clocks of two VMs. */
const REFUSAL_SHARE = 0.9;
/** Sources that may be asked in vain, each after the one before, until a VM is in contact. */
const TOLERATED_SILENT_SOURCES = 2;
/** Shortest interval at which sources can be asked on links between regions. */
const MIN_ASK_INTERVAL_MS = 100;

export function deriveConfirmationTimings({
  applyMs,
  contactMs,
}: ChangeBounds): ConfirmationTimings {
  const holdMs = Math.min(MAX_HOLD_MS, applyMs * HOLD_SHARE);
  const askIntervalMs = applyMs * ASK_SHARE;
  return {
    holdMs,
    exchangeOverdueMs: holdMs + OVERDUE_MS,
    exchangeTimeoutMs: holdMs + EXCHANGE_MARGIN_MS,
    controlDueMs: holdMs + askIntervalMs,
    entryDueMs: 2 * holdMs + askIntervalMs / 2,
    askIntervalMs,
    askTimeoutMs: ASKS_IN_FLIGHT * askIntervalMs,
    outOfContactMs: applyMs + contactMs,
    refusalLimitMs: applyMs * REFUSAL_SHARE,
  };
}

/**
 * Returns why a change cannot be in force within its bound after all live connections have fallen
 * silent, or null if it can.
 *
 * @param electionLimitMs Longest time without a confirmed leader after such a fault.
 */
export function findChangeBoundProblem(
  { applyMs, contactMs }: ChangeBounds,
  electionLimitMs: number,
): string | null {
  const timings = deriveConfirmationTimings({ applyMs, contactMs });
  const { askIntervalMs, controlDueMs, entryDueMs } = timings;
  if (askIntervalMs < MIN_ASK_INTERVAL_MS) {
    const minMs = MIN_ASK_INTERVAL_MS / ASK_SHARE;
    return `a change cannot be in force within ${applyMs} ms: VMs need ${minMs} ms to learn of it`;
  }
  const searchMs = (TOLERATED_SILENT_SOURCES + 1) * askIntervalMs;
  const controlMs = Math.max(controlDueMs, electionLimitMs) + askIntervalMs;
  const recoveryMs = Math.max(controlMs, entryDueMs) + searchMs;
  if (recoveryMs <= contactMs) return null;
  return `a VM cannot be up to date ${contactMs} ms after a fault: it may need ${recoveryMs} ms`;
}
