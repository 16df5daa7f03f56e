/** Transport of Raft messages between control VMs. */
import { vmIdOfReplica } from '@spoolplank/consensus';
import type { Message } from '@spoolplank/consensus';
import { scheduleTimer } from '@spoolplank/node';
import type { PeerClient, PeerTarget } from '@spoolplank/node';

export interface RaftTransportOptions {
  readonly peers: PeerClient;
  /** The current address of a VM; undefined while unknown. */
  readonly findTarget: (vmId: string) => PeerTarget | undefined;
  /** Time after which a request without a reply no longer delays later messages. */
  readonly overdueMs: number;
  /** Called with each VM that accepted messages. */
  readonly onDelivered?: (vmId: string) => void;
}

export interface RaftTransport {
  send(message: Message): void;
}

interface SendQueue {
  waiting: Message[];
  isSending: boolean;
}

/** Queue limit per VM; the oldest messages are dropped beyond it, which the protocol tolerates. */
const MAX_QUEUED_MESSAGES = 1000;

/**
 * Sends the queued messages of a VM in one request, and the next ones when it is answered or its
 * reply is overdue. The messages of an overdue request may arrive later than those of its
 * successor, which the protocol tolerates.
 */
export function createRaftTransport({
  peers,
  findTarget,
  overdueMs,
  onDelivered = () => {},
}: RaftTransportOptions): RaftTransport {
  const queues = new Map<string, SendQueue>();

  function flush(vmId: string, target: PeerTarget, queue: SendQueue): void {
    if (queue.isSending || queue.waiting.length === 0) return;
    const messages = queue.waiting;
    queue.waiting = [];
    queue.isSending = true;
    let isReleased = false;
    const sendNext = () => {
      if (isReleased) return;
      isReleased = true;
      queue.isSending = false;
      flush(vmId, target, queue);
    };
    const cancelOverdue = scheduleTimer(sendNext, overdueMs);
    peers
      .call(target, 'consensus.step', { messages }, { overdueMs })
      .then(() => onDelivered(vmId))
      // Raft resends lost messages, and its status shows which replicas are silent.
      .catch(() => {})
      .finally(() => {
        cancelOverdue();
        sendNext();
      });
  }

  return {
    send(message) {
      const vmId = vmIdOfReplica(message.to);
      const target = findTarget(vmId);
      if (!target) return;
      const queue = queues.get(vmId) ?? { waiting: [], isSending: false };
      queues.set(vmId, queue);
      queue.waiting.push(message);
      if (queue.waiting.length > MAX_QUEUED_MESSAGES) queue.waiting.shift();
      queueMicrotask(() => flush(vmId, target, queue));
    },
  };
}
