/** Transport of Raft messages between control VMs. */
import { vmIdOfReplica } from '@spoolplank/consensus';
import type { Message } from '@spoolplank/consensus';
import type { PeerClient, PeerTarget } from '@spoolplank/node';

export interface RaftTransportOptions {
  readonly peers: PeerClient;
  /** The current address of a VM; undefined while unknown. */
  readonly findTarget: (vmId: string) => PeerTarget | undefined;
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

/** Sends the queued messages of a VM in one request, with one request in flight per VM. */
export function createRaftTransport({
  peers,
  findTarget,
  onDelivered = () => {},
}: RaftTransportOptions): RaftTransport {
  const queues = new Map<string, SendQueue>();

  function flush(vmId: string, target: PeerTarget, queue: SendQueue): void {
    if (queue.isSending || queue.waiting.length === 0) return;
    const messages = queue.waiting;
    queue.waiting = [];
    queue.isSending = true;
    peers
      .call(target, 'consensus.step', { messages })
      .then(() => onDelivered(vmId))
      // Raft resends lost messages, and its status shows which replicas are silent.
      .catch(() => {})
      .finally(() => {
        queue.isSending = false;
        flush(vmId, target, queue);
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
