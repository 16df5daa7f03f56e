/** Tells a backend server that ended from a connection that was lost. */
import type { Clock } from '@spoolplank/shared';

/** A run that broke off, at one backend server. */
export interface BrokenServerRun {
  /** Digest of the content that ran. */
  readonly content: string;
  readonly instanceId: string;
  readonly address: string;
  /** How long it had run there. */
  readonly ranMs: number;
}

export interface CrashWitnessOptions {
  readonly clock: Clock;
  /** Whether a new connection to the server is accepted. */
  readonly isThere: (address: string) => Promise<boolean>;
  /** Whether this run of the server is known to be over. */
  readonly hasEnded: (instanceId: string, address: string) => boolean;
  /** Told of each run that broke off because its server ended. */
  readonly onEnd: (run: BrokenServerRun) => void;
}

export interface CrashWitness {
  /** Looks after the server of a run that broke off; resolves when the look is over. */
  note(run: BrokenServerRun): Promise<void>;
  /** Lets time pass: judges those whose server could be reached again. */
  tick(): void;
}

/**
 * A server that is back before anybody looked is known by its next announcement, which comes within
 * a second or two, and may come some seconds late.
 */
const PENDING_MS = 8000;
/** Connections that break while their servers live come in crowds, when a link is reset. */
const MAX_PENDING = 512;

interface PendingRun {
  readonly run: BrokenServerRun;
  readonly untilMs: number;
}

export function createCrashWitness(options: CrashWitnessOptions): CrashWitness {
  const { clock, isThere, hasEnded, onEnd } = options;
  let pending: readonly PendingRun[] = [];

  function isOver({ instanceId, address }: BrokenServerRun): boolean {
    return hasEnded(instanceId, address);
  }

  return {
    async note(run) {
      if (isOver(run) || !(await isThere(run.address))) {
        onEnd(run);
        return;
      }
      const untilMs = clock.nowMs() + PENDING_MS;
      pending = [...pending, { run, untilMs }].slice(-MAX_PENDING);
    },
    tick() {
      if (pending.length === 0) return;
      const ended = pending.filter(({ run }) => isOver(run));
      const nowMs = clock.nowMs();
      pending = pending.filter((held) => !ended.includes(held) && nowMs < held.untilMs);
      ended.forEach(({ run }) => onEnd(run));
    },
  };
}
