/**
 * Tells which retries may still arrive. A request arrives once for free; each further arrival uses
 * a retry, whichever of its sendings is read last. With `n` sendings of a request that may still
 * arrive, at most `n` of its retries may, and the others have arrived or never will.
 */
import type { RetryPermit } from '../admission/retryBudgets';
import type { BackendCall } from './backendOperations';
import type { Sending, UnreadSendings } from './unreadSendings';

export interface RequestArrivals {
  /** Adds a call that is sent now, with the retry that it uses, if any. */
  add(call: BackendCall, permit: RetryPermit | null): Sending;
}

interface Row {
  /** Sendings that may still arrive. */
  unread: number;
  /** Retries that may still arrive. */
  readonly permits: RetryPermit[];
}

export function createRequestArrivals(unread: Pick<UnreadSendings, 'add'>): RequestArrivals {
  const rows = new WeakMap<BackendCall['request'], Row>();

  function findRow(request: BackendCall['request']): Row {
    const row = rows.get(request) ?? { unread: 0, permits: [] };
    rows.set(request, row);
    return row;
  }

  function settle(row: Row): void {
    row.permits.splice(0, row.permits.length - row.unread).forEach((permit) => permit.settle());
  }

  return {
    add({ request, service, target }, permit) {
      const row = findRow(request);
      const { instanceId } = target;
      row.unread += 1;
      if (permit) row.permits.push(permit);
      const sending = unread.add({ requestId: request.id, service, instanceId }, () => {
        row.unread -= 1;
        if (row.permits.length > row.unread) settle(row);
      });
      return {
        ...sending,
        cancel() {
          const index = permit ? row.permits.indexOf(permit) : -1;
          if (index >= 0) row.permits.splice(index, 1).forEach((unused) => unused.cancel());
          sending.cancel();
        },
      };
    },
  };
}
