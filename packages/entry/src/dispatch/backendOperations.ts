/** Operations that an entry performs on backend servers; each protocol implements them. */
import type { Readable } from 'node:stream';
import type { NoticeListener } from '@spoolplank/membership';
import type { LimitDirective, PathStage } from '@spoolplank/routing';
import type { RetryUrgency } from '../admission/retryBudgets';
import type { CallerRequest, RawHeaders } from '../callerRequest';
import type { AnswerFraming } from './answerEnd';

export interface BackendTarget {
  readonly instanceId: string;
  readonly address: string;
}

/**
 * Why a request is sent: for the first time, again after a failed attempt, to continue a stream
 * that broke off, or beside a running stream whose first engine leaves.
 */
export type SendCause = 'first' | 'retry' | 'resumed' | 'handover';

export interface BackendCall {
  readonly target: BackendTarget;
  /** Service of the request. */
  readonly service: string;
  readonly cause: SendCause;
  /** Urgency of a retry, which the retry budget must allow; null for the first sending. */
  readonly retryUrgency: RetryUrgency | null;
  readonly request: CallerRequest;
  /** Name of the caller's organisation; null when it has none. */
  readonly organisation: string | null;
  /** Time that the backend server has for the request. */
  readonly remainingMs: number;
  /** Stages of the path: engines, each with its layers; the first engine is the target. */
  readonly stages?: readonly PathStage[];
  /** Id of the event after which a stream resumes; null to start from the beginning. */
  readonly resumeAfter: string | null;
  /** Aborts the call and closes its connection. */
  readonly signal: AbortSignal;
  /** Timeout for establishing a new connection. */
  readonly connectTimeoutMs: number;
  /** Whether the request holds a permit under the rate limit that the target named. */
  readonly hasPermit?: boolean;
  /** Called when the request has a connection, with whether it passes through another VM. */
  readonly onConnected?: (isRelayed: boolean) => void;
  /** Called when the server answers a call that was aborted. */
  readonly onLateAnswer?: () => void;
  /**
   * Called when the connection ends without an answer to this call, also after it was aborted; not
   * when this VM or a relay has closed it.
   */
  readonly onConnectionEnd?: () => void;
}

/** Load that a backend server reports with a response, as numbers of requests. */
export interface ReportedBackendLoad {
  readonly running: number;
  readonly queued: number;
}

/** The head of a response, with its body still to be read. */
export interface BackendResponse {
  readonly status: number;
  /** Headers that are passed through to the caller unchanged. */
  readonly headers: RawHeaders;
  /**
   * Whether the response is known to answer this call. If not, it says nothing about the request or
   * the target, and all other fields that do are false or null.
   */
  readonly isMatched: boolean;
  /** Whether the backend server guarantees that it has not run the request. */
  readonly isNotRun: boolean;
  /** Why the response must not be passed on to the caller; null when it may be. */
  readonly problem: string | null;
  /** Address of the engine that failed to run its stage; null when none is named. */
  readonly culpritAddress: string | null;
  readonly load: ReportedBackendLoad | null;
  /** Time for which the backend server asks this VM to send nothing; null when it asks for none. */
  readonly backoffMs: number | null;
  /**
   * What the response says about the target's rate limit: a limit, or none. Null when it cannot be
   * read or does not come from the target itself.
   */
  readonly limit: LimitDirective | null;
  readonly framing: AnswerFraming;
  readonly body: Readable;
}

/** A request that is stalled on an engine, and the address of the engine that it waits for. */
export interface StalledRequest {
  readonly requestId: string;
  readonly address: string;
}

/** What the first engine of paths reports about the requests that it runs. */
export interface EngineReport {
  readonly stalled: readonly StalledRequest[];
}

/**
 * Result of moving a stream to another path. `unfit`: the engine at `address` could not take over
 * its layers. `unknown-request`: the first engine does not run the stream.
 */
export type RepairOutcome =
  | { readonly kind: 'repaired' }
  | { readonly kind: 'unfit'; readonly address: string | null }
  | { readonly kind: 'unknown-request' }
  | { readonly kind: 'failed'; readonly problem: string };

export interface BackendOperations {
  /** Sets the listener for the notices that backend servers attach to any response. */
  onNotice(listener: NoticeListener): void;
  /**
   * Sends a request and resolves with the head of the response. Calls with the same request never
   * share a connection, as an answer tells only to which request it belongs, not to which call.
   *
   * @throws SpoolplankError `unreachable`; its outcome is `not-run` when nothing was sent.
   */
  open(call: BackendCall): Promise<BackendResponse>;
  /** Asks the first engine of a path which of its requests are stalled, and on which engine. */
  report(target: BackendTarget, timeoutMs: number): Promise<EngineReport>;
  /** Whether a new connection to the address is accepted within the timeout. */
  isReachable(address: string, timeoutMs: number): Promise<boolean>;
  /** Moves a running stream to another path with the same first stage. */
  repair(
    target: BackendTarget,
    requestId: string,
    stages: readonly PathStage[],
    timeoutMs: number,
  ): Promise<RepairOutcome>;
}
