/**
 * Admission control for requests to backend servers: concurrency limits, fair queues and bounds
 * on the time in the queue. A request that cannot meet its deadline is rejected immediately with
 * a retry delay; see docs/design/overload.md.
 */
import PQueue from 'p-queue';
import { createAdmission, createFairQueueClass, FairQueue } from '@spoolplank/routing';
import type {
  Admission,
  AdmissionBranch,
  AdmissionTicket,
  FairQueueOptions,
} from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';
import type { CallerRequest } from './callerRequest';
import { deadlineOf } from './callerRequest';
import type { SettingsMirror } from './settingsMirror';

export interface AdmissionControl {
  readonly running: number;
  readonly waiting: number;
  /** Maximum number of requests that this VM runs concurrently. */
  readonly capacity: number;
  /**
   * Applies the checks that `run` makes on arrival, so that a request can be rejected before its
   * body is read.
   *
   * @throws SpoolplankError `overloaded` or `forbidden`.
   */
  check(caller: CallerRequest): void;
  /**
   * Runs work as soon as the concurrency limits allow it.
   *
   * @throws SpoolplankError `overloaded` when limits are reached, the deadline cannot be met,
   * or the request was evicted from the queue in favour of another; the work has not started then.
   */
  run<Result>(caller: CallerRequest, work: () => Promise<Result>): Promise<Result>;
  counts(): ReturnType<Admission['counts']>;
}

interface ServiceQueue {
  readonly queue: PQueue<FairQueue, FairQueueOptions>;
  readonly fairQueue: FairQueue;
  /** Moving average of the run time of requests to this service. */
  meanDurationMs: number;
}

/** A queued request, which can still be evicted. */
interface QueuedRequest {
  readonly ticket: AdmissionTicket;
  readonly controller: AbortController;
}

const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;
const MEAN_DURATION_WEIGHT = 0.05;
/**
 * Maximum share of the time to the deadline that the estimated wait may take. If the queue may
 * grow until the estimate equals that time, half of its requests run and then narrowly miss the
 * deadline.
 */
const MAX_WAIT_SHARE = 0.6;

function listBranches(caller: CallerRequest, mirror: SettingsMirror): readonly AdmissionBranch[] {
  const { organisation, service, policy } = caller;
  return [
    { pointer: '', policy: mirror.policyOf({}) },
    { pointer: `/services/${service}`, policy: mirror.policyOf({ service }) },
    { pointer: `/organisations/${organisation}`, policy: mirror.policyOf({ organisation }) },
    { pointer: `/organisations/${organisation}/services/${service}`, policy },
  ];
}

function toRetryAfterMs(waitMs: number): number {
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));
}

function createOverloadedError(detail: string, waitMs: number): SpoolplankError {
  return new SpoolplankError('overloaded', { detail, retryAfterMs: toRetryAfterMs(waitMs) });
}

export function createAdmissionControl(mirror: SettingsMirror, clock: Clock): AdmissionControl {
  const admission = createAdmission();
  const serviceQueues = new Map<string, ServiceQueue>();
  const queuedRequests = new Map<string, QueuedRequest>();

  function createServiceQueue(service: string, concurrency: number): ServiceQueue {
    const hasCapacity = (organisation: string) =>
      admission.hasCapacity([
        { pointer: `/organisations/${organisation}`, policy: mirror.policyOf({ organisation }) },
        {
          pointer: `/organisations/${organisation}/services/${service}`,
          policy: mirror.policyOf({ organisation, service }),
        },
      ]);
    let fairQueue = new FairQueue();
    const queueClass = createFairQueueClass(hasCapacity, (created) => {
      fairQueue = created;
    });
    const queue = new PQueue<FairQueue, FairQueueOptions>({ concurrency, queueClass });
    return { queue, fairQueue, meanDurationMs: 0 };
  }

  function serviceQueueOf(service: string): ServiceQueue {
    const concurrency = Math.max(1, mirror.policyOf({ service }).maxInFlight);
    const serviceQueue = serviceQueues.get(service) ?? createServiceQueue(service, concurrency);
    serviceQueues.set(service, serviceQueue);
    if (serviceQueue.queue.concurrency !== concurrency)
      serviceQueue.queue.concurrency = concurrency;
    return serviceQueue;
  }

  /** Estimates the wait of a new request from its organisation's weighted share of the slots. */
  function estimateWaitMs({ organisation, service, policy }: CallerRequest): number {
    const { queue, fairQueue, meanDurationMs } = serviceQueueOf(service);
    if (queue.pending < queue.concurrency) return 0;
    const queuedAhead = fairQueue.waitingOf(organisation);
    const activeWeight = fairQueue.activeWeight + (queuedAhead === 0 ? policy.weight : 0);
    const slots = queue.concurrency * (policy.weight / activeWeight);
    return ((queuedAhead + 1) * meanDurationMs) / slots;
  }

  /**
   * Evicts a queued request in favour of a new one. Returns false when there is none to evict and
   * the new request has to be rejected.
   */
  function evictQueuedRequest(
    { organisation, service, policy }: CallerRequest,
    fullBranch: AdmissionBranch,
  ): boolean {
    const { fairQueue, meanDurationMs, queue } = serviceQueueOf(service);
    // Evicting other organisations' requests frees no capacity under this organisation's own limit.
    const isShared = fullBranch.pointer === '' || fullBranch.pointer.startsWith('/services/');
    const victimId = isShared
      ? fairQueue.selectForEviction(organisation, policy.weight, policy.priority)
      : undefined;
    const request = victimId === undefined ? undefined : queuedRequests.get(victimId);
    if (victimId === undefined || !request) return false;
    queuedRequests.delete(victimId);
    request.ticket.end();
    const waitMs = (fairQueue.waiting * meanDurationMs) / queue.concurrency;
    request.controller.abort(
      createOverloadedError('Evicted from the full queue in favour of another request.', waitMs),
    );
    return true;
  }

  /**
   * Time to reserve for the run between the end of the wait and the deadline; none where the
   * deadline applies to the first token only.
   */
  function reservedRunTimeMs({ service, isFirstTokenDeadline }: CallerRequest): number {
    return isFirstTokenDeadline ? 0 : serviceQueueOf(service).meanDurationMs;
  }

  function assertDeadlineFeasible(caller: CallerRequest): void {
    const waitMs = estimateWaitMs(caller);
    const untilDeadlineMs = deadlineOf(caller) - clock.nowMs() - reservedRunTimeMs(caller);
    const allowedWaitMs = Math.min(untilDeadlineMs * MAX_WAIT_SHARE, caller.policy.maxQueueTimeMs);
    if (waitMs > 0 && waitMs > allowedWaitMs)
      throw createOverloadedError('The deadline cannot be met.', waitMs);
  }

  /**
   * Rejects a queued request that can no longer finish before its deadline, so that it takes no
   * slot. A request that has waited for no longer than the mean run time runs regardless.
   */
  function assertDeadlineStillFeasible(caller: CallerRequest): void {
    const requiredMs = reservedRunTimeMs(caller);
    const nowMs = clock.nowMs();
    const hasWaited = nowMs - caller.receivedAtMs > requiredMs;
    if (hasWaited && deadlineOf(caller) - nowMs < requiredMs) {
      throw createOverloadedError('The deadline can no longer be met.', requiredMs);
    }
  }

  function assertEnabled({ policy }: CallerRequest): void {
    if (!policy.isEnabled) {
      throw new SpoolplankError('forbidden', { detail: 'This branch is disabled.' });
    }
  }

  function admit(caller: CallerRequest): AdmissionTicket {
    assertEnabled(caller);
    assertDeadlineFeasible(caller);
    const branches = listBranches(caller, mirror);
    const fullBranch = admission.findFull(branches);
    if (fullBranch) evictQueuedRequest(caller, fullBranch);
    return admission.admit(branches);
  }

  /** A finished request may bring its organisation below its limit for other services as well. */
  function rescheduleOtherServices(service: string): void {
    serviceQueues.forEach(({ queue }, name) => {
      // Assigning the concurrency makes p-queue check again which tasks may start.
      if (name !== service) queue.concurrency = Math.max(1, queue.concurrency);
    });
  }

  function startQueueTimer(caller: CallerRequest, controller: AbortController): NodeJS.Timeout {
    const untilDeadlineMs = deadlineOf(caller) - clock.nowMs();
    const waitMs = Math.min(caller.policy.maxQueueTimeMs, Math.max(0, untilDeadlineMs));
    return setTimeout(() => {
      controller.abort(
        createOverloadedError('The request exceeded the maximum time in the queue.', waitMs),
      );
    }, waitMs);
  }

  function recordDuration(service: string, durationMs: number): void {
    const serviceQueue = serviceQueueOf(service);
    const weight = serviceQueue.meanDurationMs === 0 ? 1 : MEAN_DURATION_WEIGHT;
    serviceQueue.meanDurationMs += weight * (durationMs - serviceQueue.meanDurationMs);
    admission.observeDuration(durationMs);
  }

  const countOf = (pointer: string) =>
    admission.counts().find((count) => count.pointer === pointer);

  return {
    get running() {
      return countOf('')?.running ?? 0;
    },
    get waiting() {
      return countOf('')?.waiting ?? 0;
    },
    get capacity() {
      return mirror.policyOf({}).maxInFlight;
    },
    check(caller) {
      assertEnabled(caller);
      assertDeadlineFeasible(caller);
    },
    async run<Result>(caller: CallerRequest, work: () => Promise<Result>) {
      const { organisation, service, policy, requestId } = caller;
      const ticket = admit(caller);
      const controller = new AbortController();
      const timer = startQueueTimer(caller, controller);
      queuedRequests.set(requestId, { ticket, controller });
      const task = async () => {
        clearTimeout(timer);
        queuedRequests.delete(requestId);
        assertDeadlineStillFeasible(caller);
        ticket.start();
        const startedMs = clock.nowMs();
        try {
          return await work();
        } finally {
          ticket.end();
          recordDuration(service, clock.nowMs() - startedMs);
          rescheduleOtherServices(service);
        }
      };
      const { weight, priority } = policy;
      const { signal } = controller;
      try {
        const options = { organisation, weight, priority, id: requestId, signal };
        return (await serviceQueueOf(service).queue.add(task, options)) as Result;
      } finally {
        clearTimeout(timer);
        queuedRequests.delete(requestId);
        ticket.end();
      }
    },
    counts: () => admission.counts(),
  };
}
