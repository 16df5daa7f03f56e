/** Lets requests through to the backend servers: limits, fair queues, and time in the queue. */
import PQueue from 'p-queue';
import { createAdmission, createFairQueueClass } from '@spoolplank/routing';
import type { Admission, AdmissionBranch, FairQueue, FairQueueOptions } from '@spoolplank/routing';
import { SpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';
import type { CallerRequest } from './callerRequest';
import { deadlineOf } from './callerRequest';
import type { SettingsMirror } from './settingsMirror';

export interface Gate {
  readonly running: number;
  readonly waiting: number;
  /** Greatest number of requests this VM runs at once. */
  readonly capacity: number;
  /**
   * Runs work once there is room for it.
   *
   * @throws SpoolplankError `overloaded` when limits are reached or the wait grew too long;
   * the work was not begun then.
   */
  run<Result>(caller: CallerRequest, work: () => Promise<Result>): Promise<Result>;
  counts(): ReturnType<Admission['counts']>;
}

type ServiceQueue = PQueue<FairQueue, FairQueueOptions>;

const MIN_RETRY_AFTER_MS = 500;

function branchesOf(
  { organisation, service, policy }: CallerRequest,
  mirror: SettingsMirror,
): readonly AdmissionBranch[] {
  return [
    { pointer: '', policy: mirror.policyOf({}) },
    { pointer: `/services/${service}`, policy: mirror.policyOf({ service }) },
    { pointer: `/organisations/${organisation}`, policy: mirror.policyOf({ organisation }) },
    { pointer: `/organisations/${organisation}/services/${service}`, policy },
  ];
}

export function createGate(mirror: SettingsMirror, clock: Clock): Gate {
  const admission = createAdmission();
  const queues = new Map<string, ServiceQueue>();

  function queueOf(service: string): ServiceQueue {
    const concurrency = Math.max(1, mirror.policyOf({ service }).maxInFlight);
    const known = queues.get(service);
    if (known) {
      known.concurrency = concurrency;
      return known;
    }
    const hasRoom = (organisation: string) =>
      admission.hasRoom([
        { pointer: `/organisations/${organisation}`, policy: mirror.policyOf({ organisation }) },
        {
          pointer: `/organisations/${organisation}/services/${service}`,
          policy: mirror.policyOf({ organisation, service }),
        },
      ]);
    const queue: ServiceQueue = new PQueue({
      concurrency,
      queueClass: createFairQueueClass(hasRoom),
    });
    queues.set(service, queue);
    return queue;
  }

  /** An organisation that ended a request of one service may have room for one of another. */
  function wakeOthers(service: string): void {
    queues.forEach((queue, name) => {
      // Setting it makes the queue look again for what may start.
      if (name !== service) Object.assign(queue, { concurrency: queue.concurrency });
    });
  }

  function startQueueTimer(caller: CallerRequest, controller: AbortController): NodeJS.Timeout {
    const untilDeadlineMs = deadlineOf(caller) - clock.nowMs();
    const waitMs = Math.min(caller.policy.maxQueueTimeMs, Math.max(0, untilDeadlineMs));
    return setTimeout(() => {
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
      controller.abort(
        new SpoolplankError('overloaded', {
          detail: 'The wait in the queue grew too long.',
          retryAfterMs,
        }),
      );
    }, waitMs);
  }

  return {
    get running() {
      return admission.counts().find(({ pointer }) => pointer === '')?.running ?? 0;
    },
    get waiting() {
      return admission.counts().find(({ pointer }) => pointer === '')?.waiting ?? 0;
    },
    get capacity() {
      return mirror.policyOf({}).maxInFlight;
    },
    async run<Result>(caller: CallerRequest, work: () => Promise<Result>) {
      const { organisation, service, policy, requestId } = caller;
      if (!policy.isEnabled)
        throw new SpoolplankError('forbidden', { detail: 'This branch is disabled.' });
      const ticket = admission.admit(branchesOf(caller, mirror));
      const controller = new AbortController();
      const timer = startQueueTimer(caller, controller);
      const task = async () => {
        clearTimeout(timer);
        ticket.start();
        const startedMs = clock.nowMs();
        try {
          return await work();
        } finally {
          ticket.end();
          wakeOthers(service);
          admission.observeDuration(clock.nowMs() - startedMs);
        }
      };
      try {
        const options = {
          organisation,
          weight: policy.weight,
          priority: policy.priority,
          id: requestId,
          signal: controller.signal,
        };
        return (await queueOf(service).add(task, options)) as Result;
      } finally {
        clearTimeout(timer);
        ticket.end();
      }
    },
    counts: () => admission.counts(),
  };
}
