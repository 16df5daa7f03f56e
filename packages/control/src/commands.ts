import type { Edit } from '@spoolplank/settings';
import type { Outcome } from '@spoolplank/shared';

/** Every command carries a log time, assigned by the leader; see `LogClock`. */
interface Timestamped {
  readonly logTimeMs: number;
}

export interface ChangeSettings extends Timestamped {
  readonly kind: 'settings.change';
  /** Chosen by the operator's tool; a retry carries the same id. */
  readonly changeId: string;
  /** The version on which the edits are based; 0 before the first change. */
  readonly baseVersion: number;
  readonly edits: readonly Edit[];
  readonly author: string;
  /** Wall-clock time, for display only. */
  readonly wallMs: number;
  readonly note?: string;
}

export interface AcquireLease extends Timestamped {
  readonly kind: 'lease.acquire';
  readonly name: string;
  readonly holder: string;
  readonly durationMs: number;
}

export interface ReleaseLease extends Timestamped {
  readonly kind: 'lease.release';
  readonly name: string;
  readonly holder: string;
}

export interface AcquireClaim extends Timestamped {
  readonly kind: 'claim.acquire';
  readonly organisation: string;
  readonly key: string;
  /** Digest of the request; detects the reuse of a key for a different request. */
  readonly requestDigest: string;
  /** The execution that may send the request, identified by an entry VM's request id. */
  readonly owner: string;
  readonly retentionMs: number;
}

/** How the execution of a claimed request ended. */
export type ClaimOutcome = 'done' | 'failed' | 'unknown';

/** The response of a backend server, stored so that retries receive the same response. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64 of the body. */
  readonly bodyBase64: string;
}

export interface SettleClaim extends Timestamped {
  readonly kind: 'claim.settle';
  readonly organisation: string;
  readonly key: string;
  readonly owner: string;
  readonly outcome: ClaimOutcome;
  readonly answer: StoredAnswer | null;
}

/** Releases a claim; allowed only before any byte has been sent to a backend server. */
export interface VoidClaim extends Timestamped {
  readonly kind: 'claim.void';
  readonly organisation: string;
  readonly key: string;
  readonly owner: string;
}

export type ControlCommand =
  ChangeSettings | AcquireLease | ReleaseLease | AcquireClaim | SettleClaim | VoidClaim;

type WithoutTimestamp<C> = C extends Timestamped ? Omit<C, 'logTimeMs'> : never;

/** A command before the leader assigns its log time. */
export type ControlRequest = WithoutTimestamp<ControlCommand>;

export type ChangeResult =
  | { readonly status: 'accepted'; readonly version: number }
  | { readonly status: 'conflict'; readonly version: number }
  | { readonly status: 'reused'; readonly version: number };

export type LeaseResult =
  | { readonly status: 'granted'; readonly fencingNumber: number }
  | { readonly status: 'held'; readonly holder: string; readonly remainingMs: number }
  | { readonly status: 'released' };

export type ClaimResult =
  | { readonly status: 'granted' }
  | {
      readonly status: 'settled';
      readonly outcome: ClaimOutcome;
      readonly answer: StoredAnswer | null;
    }
  | { readonly status: 'held' }
  | { readonly status: 'mismatch' }
  | { readonly status: 'full' }
  | { readonly status: 'voided' }
  /** The sender of the command does not own an open claim on the key. */
  | { readonly status: 'lost' };

/** The outcome to report for a request, by the outcome recorded in its claim. */
export const OUTCOME_BY_CLAIM: Readonly<Record<ClaimOutcome, Outcome>> = {
  done: 'ran',
  failed: 'ran',
  unknown: 'unknown',
};
