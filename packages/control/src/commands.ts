import type { Edit } from '@spoolplank/settings';
import type { Outcome } from '@spoolplank/shared';

/** Every command carries the log's own time, stamped by the leader; see `logClock`. */
interface Stamped {
  readonly logTimeMs: number;
}

export interface ChangeSettings extends Stamped {
  readonly kind: 'settings.change';
  /** Chosen by the operator's tool; a resend carries the same one. */
  readonly changeId: string;
  /** The version the operator looked at; 0 before the first change. */
  readonly baseVersion: number;
  readonly edits: readonly Edit[];
  readonly author: string;
  /** For people to read. */
  readonly wallMs: number;
  readonly note?: string;
}

export interface AcquireLease extends Stamped {
  readonly kind: 'lease.acquire';
  readonly name: string;
  readonly holder: string;
  readonly durationMs: number;
}

export interface ReleaseLease extends Stamped {
  readonly kind: 'lease.release';
  readonly name: string;
  readonly holder: string;
}

export interface AcquireClaim extends Stamped {
  readonly kind: 'claim.acquire';
  readonly organisation: string;
  readonly key: string;
  /** Digest of the request, so that a key is not used for two different ones. */
  readonly requestDigest: string;
  /** The one execution that may send the request: an entry VM's request id. */
  readonly owner: string;
  readonly retentionMs: number;
}

/** How a claimed request ended. */
export type ClaimOutcome = 'done' | 'failed' | 'unknown';

/** The answer of a backend server, kept to be given again. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64 of the body. */
  readonly bodyBase64: string;
}

export interface SettleClaim extends Stamped {
  readonly kind: 'claim.settle';
  readonly organisation: string;
  readonly key: string;
  readonly owner: string;
  readonly outcome: ClaimOutcome;
  readonly answer: StoredAnswer | null;
}

/** Gives a claim back; only before any byte was sent to a backend server. */
export interface VoidClaim extends Stamped {
  readonly kind: 'claim.void';
  readonly organisation: string;
  readonly key: string;
  readonly owner: string;
}

export type ControlCommand =
  ChangeSettings | AcquireLease | ReleaseLease | AcquireClaim | SettleClaim | VoidClaim;

type WithoutStamp<C> = C extends Stamped ? Omit<C, 'logTimeMs'> : never;

/** A command before the leader stamps it. */
export type ControlRequest = WithoutStamp<ControlCommand>;

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
  /** The caller of the command no longer owns the claim. */
  | { readonly status: 'lost' };

/** What a claim's state lets a caller conclude about its request. */
export const OUTCOME_BY_CLAIM: Readonly<Record<ClaimOutcome, Outcome>> = {
  done: 'ran',
  failed: 'ran',
  unknown: 'unknown',
};
