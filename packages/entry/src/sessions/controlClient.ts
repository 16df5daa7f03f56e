/** Client with which every VM calls the current leader of the control group. */
import { vmIdOfReplica } from '@spoolplank/consensus';
import { delay } from '@spoolplank/node';
import type { PeerCallOptions, PeerMethod } from '@spoolplank/node';
import type { VmAddress } from '@spoolplank/settings';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { listVmsWithRole, toPeerTarget } from '@spoolplank/vm';
import type { VmContext } from '@spoolplank/vm';

export interface ControlClient {
  /**
   * Calls a method of the leader. The call is retried until its total timeout expires, so every
   * method must be idempotent.
   *
   * @throws SpoolplankError the error of the method, or the last failure to reach a leader.
   */
  call<Result>(method: string, params: unknown, options?: ControlCallOptions): Promise<Result>;
}

export interface ControlCallOptions {
  /** Total timeout, including retries. */
  readonly withinMs?: number;
  /** Timeout of one attempt. */
  readonly tryTimeoutMs?: number;
  /** Whether to begin with another VM than usual, as a call to that one is overdue. */
  readonly startsElsewhere?: boolean;
  /** Opens a connection for each attempt, as those of the pool may have fallen silent. */
  readonly usesNewConnection?: boolean;
}

const DEFAULT_WITHIN_MS = 4000;
const RETRY_DELAY_MS = 50;
/** Error codes after which the call is retried, possibly on another VM. */
const RETRYABLE_CODES: ReadonlySet<string> = new Set([
  'not-leader',
  'unreachable',
  'no-quorum',
  'shutting-down',
]);

export function createControlClient(
  context: VmContext,
  localMethods: Readonly<Record<string, PeerMethod>> = {},
): ControlClient {
  const { settings, peers, clock, timings } = context;
  const controlVms = listVmsWithRole(settings, 'control');
  let preferredVmId: string | undefined;
  let nextVmIndex = context.random.nextInt(Math.max(1, controlVms.length));

  function pickNextVm(): VmAddress {
    nextVmIndex = (nextVmIndex + 1) % controlVms.length;
    const vm = controlVms[nextVmIndex];
    if (!vm) throw new SpoolplankError('unreachable', { detail: 'No VM has the role control.' });
    return vm;
  }

  function pickVm(): VmAddress {
    return controlVms.find(({ vmId }) => vmId === preferredVmId) ?? pickNextVm();
  }

  function pickOtherVm(): VmAddress {
    const vm = pickNextVm();
    return vm.vmId === preferredVmId ? pickNextVm() : vm;
  }

  async function callOnce(
    vm: VmAddress,
    method: string,
    params: unknown,
    callOptions: PeerCallOptions,
  ): Promise<unknown> {
    const isLocal = vm.vmId === settings.vm.vmId;
    const local = isLocal ? localMethods[method] : undefined;
    if (local) return local(params as JsonValue, vm.vmId);
    return peers.call(toPeerTarget(vm), method, params, callOptions);
  }

  function followLeaderHint(error: SpoolplankError): void {
    const hintedVmId = error.leaderId === undefined ? undefined : vmIdOfReplica(error.leaderId);
    preferredVmId = hintedVmId === preferredVmId ? undefined : hintedVmId;
  }

  return {
    async call<Result>(method: string, params: unknown, options: ControlCallOptions = {}) {
      const { withinMs = DEFAULT_WITHIN_MS, tryTimeoutMs = timings.peerTimeoutMs } = options;
      const { usesNewConnection = false } = options;
      const callOptions = { timeoutMs: tryTimeoutMs, usesNewConnection };
      const untilMs = clock.nowMs() + withinMs;
      let pick = options.startsElsewhere ? pickOtherVm : pickVm;
      for (;;) {
        const vm = pick();
        pick = pickVm;
        try {
          const result = (await callOnce(vm, method, params, callOptions)) as Result;
          preferredVmId = vm.vmId;
          return result;
        } catch (thrown) {
          const error = toSpoolplankError(thrown);
          if (!RETRYABLE_CODES.has(error.code)) throw error;
          followLeaderHint(error);
          if (clock.nowMs() + RETRY_DELAY_MS >= untilMs) throw error;
          await delay(RETRY_DELAY_MS);
        }
      }
    },
  };
}
