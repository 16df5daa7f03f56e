/**
 * Wraps the backend operations with a last check before anything is sent: after a server was
 * chosen, it may have asked for a backoff, announced its departure, or named a rate limit. Retries
 * are taken out of the retry budget here, so that a retry that waited for a server counts in the
 * window in which it is sent, and no sending is left out.
 */
import type { Metrics } from '@spoolplank/node';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';
import type { RetryBudgets, RetryPermit } from '../admission/retryBudgets';
import type {
  BackendCall,
  BackendOperations,
  BackendResponse,
  BackendTarget,
} from './backendOperations';
import type { ServerLimits } from '../limits/serverLimits';
import type { ClosedReason, ServerNotices } from './serverNotices';
import { createRequestArrivals } from './requestArrivals';
import type { Sending, UnreadSendings } from './unreadSendings';

export interface GuardOptions {
  readonly clock: Pick<Clock, 'nowMs' | 'steadyMs'>;
  readonly metrics: Pick<Metrics, 'count'>;
  readonly notices: ServerNotices;
  readonly budgetOf: RetryBudgets;
  readonly limits: Pick<ServerLimits, 'recordAnswer' | 'limitPerSOf' | 'takeOwnQuota'>;
  readonly unread: Pick<UnreadSendings, 'add'>;
}

export function guardOperations(
  operations: BackendOperations,
  { clock, metrics, notices, budgetOf, limits, unread }: GuardOptions,
): BackendOperations {
  const { backoffs } = notices;
  const arrivals = createRequestArrivals(unread);

  /** Why a request must not be sent now; null when it may be. */
  function findClosedReason({ target, hasPermit }: BackendCall): ClosedReason | null {
    const closed = notices.closedReason(target.instanceId);
    if (closed !== null || hasPermit || limits.limitPerSOf(target.instanceId) === null)
      return closed;
    return limits.takeOwnQuota(target.instanceId) ? null : 'limit';
  }

  function refuse({ address }: BackendTarget, reason: ClosedReason): SpoolplankError {
    notices.recordHeldBack(reason);
    return new SpoolplankError('server-closed', { detail: `${address} ${reason}.` });
  }

  /** @throws SpoolplankError `retry-refused`. */
  async function takeRetry(call: BackendCall): Promise<RetryPermit | null> {
    const { service, cause, request, retryUrgency } = call;
    if (retryUrgency === null) return null;
    const permit = await budgetOf(service).take(retryUrgency, { requestId: request.id, cause });
    if (!permit) throw new SpoolplankError('retry-refused');
    return permit;
  }

  async function sendNow(call: BackendCall, sending: Sending): Promise<BackendResponse> {
    const { target, hasPermit, service, cause } = call;
    const reason = findClosedReason(call);
    if (reason !== null) throw refuse(target, reason);
    backoffs.recordSent(target.instanceId);
    metrics.count('spoolplank_sends_total', { service, cause });
    const sentAtMs = clock.steadyMs();
    const response = await operations.open({
      ...call,
      onConnected(isRelayed) {
        sending.begin();
        call.onConnected?.(isRelayed);
      },
      onLateAnswer: sending.recordAnswer,
      onConnectionEnd: sending.recordEnd,
    });
    if (response.isMatched) sending.recordAnswer();
    else sending.giveUp();
    if (response.limit) limits.recordAnswer(target, response.limit, sentAtMs, hasPermit);
    return response;
  }

  return {
    onNotice: (listener) => operations.onNotice(listener),
    async open(call) {
      const askedAtMs = clock.nowMs();
      const permit = await takeRetry(call);
      // The server must not be handed the time for which the retry was waited for.
      const remainingMs = call.remainingMs - (clock.nowMs() - askedAtMs);
      const sending = arrivals.add(call, permit);
      try {
        return await sendNow({ ...call, remainingMs }, sending);
      } catch (error) {
        if (toSpoolplankError(error).outcome === 'not-run') sending.cancel();
        else {
          const { service, cause } = call;
          metrics.count('spoolplank_sends_unanswered_total', { service, cause });
          sending.giveUp();
        }
        throw error;
      }
    },
    async report(target, timeoutMs) {
      if (backoffs.isBackingOff(target.instanceId)) throw refuse(target, 'backoff');
      return operations.report(target, timeoutMs);
    },
    // Opening a connection sends no request, so it is allowed during a backoff.
    isReachable: (address, timeoutMs) => operations.isReachable(address, timeoutMs),
    async repair(target, requestId, stages, timeoutMs) {
      // An engine that is leaving completes its streams, so repairs of these are allowed.
      if (backoffs.isBackingOff(target.instanceId)) {
        return { kind: 'failed', problem: refuse(target, 'backoff').message };
      }
      return operations.repair(target, requestId, stages, timeoutMs);
    },
  };
}
