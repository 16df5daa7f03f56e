/**
 * The operations with backend servers, with the last look before anything is sent: between the
 * choice of a server and the send, the server may have asked for a backoff or said that it leaves.
 */
import { SpoolplankError } from '@spoolplank/shared';
import type { BackendOperations, BackendTarget } from './backendOperations';
import type { ClosedReason, ServerNotices } from './serverNotices';

export function guardOperations(
  operations: BackendOperations,
  notices: ServerNotices,
): BackendOperations {
  const { backoffs } = notices;

  function refuse({ address }: BackendTarget, reason: ClosedReason): SpoolplankError {
    notices.noteHeldBack(reason);
    return new SpoolplankError('server-closed', { detail: `${address} ${reason}.` });
  }

  return {
    onNotice: (listener) => operations.onNotice(listener),
    async open(call) {
      const { target } = call;
      const reason = notices.closedReason(target.instanceId);
      if (reason !== null) throw refuse(target, reason);
      backoffs.noteSent(target.instanceId);
      return operations.open(call);
    },
    async report(target, timeoutMs) {
      if (backoffs.isBackingOff(target.instanceId)) throw refuse(target, 'backoff');
      return operations.report(target, timeoutMs);
    },
    // A connection over which nothing is sent asks nothing of the server.
    isReachable: (address, timeoutMs) => operations.isReachable(address, timeoutMs),
    async repair(target, requestId, stages, timeoutMs) {
      // Streams that run over a leaving engine go on, and may be repaired there.
      if (backoffs.isBackingOff(target.instanceId)) {
        return { kind: 'failed', problem: refuse(target, 'backoff').message };
      }
      return operations.repair(target, requestId, stages, timeoutMs);
    },
  };
}
