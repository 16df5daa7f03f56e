/**
 * Forwards backoffs that a backend server requested from one process of a VM to the other process
 * of that VM. A VM may run two processes: one with the entry role and one with the control role.
 *
 * A backoff applies to the whole VM: without forwarding, orders and reports of the control role
 * would reach a server during a backoff that it requested from the entry.
 */
import type { JsonValue } from '@spoolplank/shared';
import type { FactTable } from './factTable';
import type { MemberFact, SystemFact } from './systemFacts';

/**
 * Instruction to send nothing to an incarnation of a backend server for the given time from now.
 */
export interface BackoffDirective {
  readonly instanceId: string;
  readonly backoffMs: number;
}

/** Address of the other process of this VM. */
export interface SiblingTarget {
  readonly vmId: string;
  readonly host: string;
  readonly port: number;
}

export interface SiblingBackoffsOptions {
  readonly table: Pick<FactTable<SystemFact>, 'list'>;
  /** Host of this VM. */
  readonly host: string;
  readonly role: MemberFact['role'];
  /** Calls a method of the other process; rejects when there is no answer. */
  readonly call: (sibling: SiblingTarget, method: string, params: JsonValue) => Promise<unknown>;
  /** Called when the other process cannot be reached. */
  readonly onUndelivered: (problem: string, directive: BackoffDirective) => void;
}

export interface SiblingBackoffs {
  /** RPC methods that the other process calls. */
  readonly methods: Readonly<Record<string, (params: JsonValue) => JsonValue>>;
  /** Sets the listener for backoffs that the other process forwards. */
  onDirective(listener: (directive: BackoffDirective) => void): void;
  /** Forwards a backoff to the other process, if there is one. */
  send(directive: BackoffDirective): void;
}

const BACKOFF_METHOD = 'server.backoff';

export function createSiblingBackoffs(options: SiblingBackoffsOptions): SiblingBackoffs {
  const { table, host, role, call, onUndelivered } = options;
  let receiveDirective = (_directive: BackoffDirective): void => {};

  /** Selects the latest incarnation, as the table may still list one that used the same port. */
  function findSibling(): SiblingTarget | undefined {
    const [newest] = table
      .list()
      .flatMap(({ body, receivedAtMs }) =>
        body.kind === 'member' && body.host === host && body.role !== role
          ? [{ port: body.peerPort, receivedAtMs }]
          : [],
      )
      .sort((a, b) => b.receivedAtMs - a.receivedAtMs);
    return newest?.port === undefined ? undefined : { vmId: host, host, port: newest.port };
  }

  return {
    methods: {
      [BACKOFF_METHOD]: (params) => {
        receiveDirective(params as unknown as BackoffDirective);
        return true;
      },
    },
    onDirective(listener) {
      receiveDirective = listener;
    },
    send(directive) {
      const sibling = findSibling();
      if (!sibling) return;
      call(sibling, BACKOFF_METHOD, { ...directive }).catch((error: unknown) =>
        onUndelivered(String(error), directive),
      );
    },
  };
}
