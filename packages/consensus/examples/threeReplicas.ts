/** Three replicas in one process: an election, a command, and its commitment. */
import { createManualClock, createSeededRandom } from '@spoolplank/shared';
import { EMPTY_STORED_STATE, createReplica } from '@spoolplank/consensus';
import type { LogEntry, Message, Replica } from '@spoolplank/consensus';

const IDS = ['a', 'b', 'c'];
const TICK_MS = 50;
const TICKS = 100;

/** Saves the state of each replica, then delivers the messages sent. */
function runTurn(
  replicas: ReadonlyMap<string, Replica>,
  onCommitted: (id: string, entry: LogEntry) => void,
): void {
  const network: Message[] = [];
  replicas.forEach((replica, id) => {
    const ready = replica.takeReady();
    // A real caller writes `ready` to disk and waits for the write here.
    replica.onSaved(ready);
    network.push(...ready.earlyMessages, ...ready.messages);
    ready.committed.forEach((entry) => onCommitted(id, entry));
  });
  network.forEach((message) => replicas.get(message.to)?.receive(message));
}

export function runExample(write: (line: string) => void): void {
  const clock = createManualClock();
  const snapshot = { index: 1, term: 0, configuration: { voters: IDS, learners: [] } };
  const stored = { ...EMPTY_STORED_STATE, snapshot, base: { index: 1, term: 0 } };
  const replicas = new Map(
    IDS.map((id, seed) => [
      id,
      createReplica({ id, group: 'example', clock, random: createSeededRandom(seed + 1), stored }),
    ]),
  );
  let hasProposed = false;
  for (let tick = 0; tick < TICKS; tick += 1) {
    clock.advance(TICK_MS);
    replicas.forEach((replica) => replica.tick());
    const leader = [...replicas.values()].find((replica) => replica.canRead());
    if (leader && !hasProposed) {
      write(`${leader.status().id} leads in term ${leader.status().term}`);
      leader.propose({ hello: 'log' });
      hasProposed = true;
    }
    runTurn(replicas, (id, { index, payload }) => {
      if (payload.kind === 'command')
        write(`${id} applies entry ${index}: ${JSON.stringify(payload.command)}`);
    });
  }
}
