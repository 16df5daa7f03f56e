/**
 * A queue for `p-queue` that shares capacity between organisations by weight, and lets higher
 * priorities of one organisation go first.
 *
 * Source: start-time fair queueing; Goyal, Vin and Cheng, 1996.
 */
import type { Queue, QueueAddOptions } from 'p-queue';

export interface FairQueueOptions extends QueueAddOptions {
  readonly organisation?: string;
  readonly weight?: number;
}

export type RunFunction = () => Promise<unknown>;

interface Item {
  readonly run: RunFunction;
  readonly id: string | undefined;
  readonly order: number;
  priority: number;
}

interface Lane {
  weight: number;
  /** Virtual time at which the lane's next item starts. */
  startTag: number;
  readonly items: Item[];
}

const DEFAULT_WEIGHT = 1;

function insertByPriority(items: Item[], item: Item): void {
  // Nearly always the last place: a plain backwards scan is the fast path.
  let at = items.length;
  while (at > 0 && (items[at - 1]?.priority ?? 0) < item.priority) at -= 1;
  items.splice(at, 0, item);
}

/** Whether an organisation may start one more request now. */
export type HasRoom = (organisation: string) => boolean;

export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  readonly #lanes = new Map<string, Lane>();

  readonly #hasRoom: HasRoom;

  #virtualTime = 0;

  #size = 0;

  #order = 0;

  constructor(hasRoom: HasRoom = () => true) {
    this.#hasRoom = hasRoom;
  }

  /**
   * Items that wait; 0 while none of them may start, as `p-queue` takes an item whenever the
   * size is above 0.
   */
  get size(): number {
    return this.#size > 0 && this.#nextLane() ? this.#size : 0;
  }

  /** Items that wait, also those that may not start yet. */
  get waiting(): number {
    return this.#size;
  }

  enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const { organisation = '', weight = DEFAULT_WEIGHT, priority = 0, id } = options;
    let lane = this.#lanes.get(organisation);
    if (!lane) {
      lane = { weight, startTag: this.#virtualTime, items: [] };
      this.#lanes.set(organisation, lane);
    }
    // An organisation that comes back from idleness has saved up no claim.
    if (lane.items.length === 0) lane.startTag = Math.max(lane.startTag, this.#virtualTime);
    lane.weight = weight;
    this.#order += 1;
    insertByPriority(lane.items, {
      run,
      id,
      priority,
      order: this.#order,
    });
    this.#size += 1;
  }

  /** Items of an organisation that wait. */
  waitingOf(organisation: string): number {
    return this.#lanes.get(organisation)?.items.length ?? 0;
  }

  /** Sum of the weights of organisations that wait. */
  get activeWeight(): number {
    return [...this.#lanes.values()].reduce(
      (sum, { items, weight }) => sum + (items.length > 0 ? weight : 0),
      0,
    );
  }

  /**
   * Whom to turn away so that a new item of an organisation can wait in a full queue: the
   * newest of the lowest priority in the lane that is longest for its weight, if that is longer
   * than the newcomer's own would be; else an item of the newcomer's own lane that has a
   * lower priority. Undefined when the newcomer itself has to go.
   */
  findVictim(organisation: string, weight: number, priority: number): string | undefined {
    let longest: Lane | undefined;
    let longestShare = (this.waitingOf(organisation) + 1) / weight;
    this.#lanes.forEach((lane) => {
      const share = lane.items.length / lane.weight;
      if (share <= longestShare) return;
      longest = lane;
      longestShare = share;
    });
    if (longest) return longest.items.at(-1)?.id;
    const lowest = this.#lanes.get(organisation)?.items.at(-1);
    return lowest && lowest.priority < priority ? lowest.id : undefined;
  }

  dequeue(): RunFunction | undefined {
    const next = this.#nextLane();
    if (!next) return undefined;
    const [organisation, lane] = next;
    const item = lane.items.shift();
    this.#size -= 1;
    this.#virtualTime = lane.startTag;
    lane.startTag += 1 / lane.weight;
    this.#dropIdleLane(organisation, lane);
    return item?.run;
  }

  filter(options: Readonly<Partial<FairQueueOptions>>): RunFunction[] {
    return [...this.#lanes.values()]
      .flatMap(({ items }) => items)
      .filter(({ priority }) => priority === options.priority)
      .map(({ run }) => run);
  }

  setPriority(id: string, priority: number): void {
    this.#lanes.forEach(({ items }) => {
      const at = items.findIndex((item) => item.id === id);
      if (at < 0) return;
      const [item] = items.splice(at, 1);
      if (item) insertByPriority(items, { ...item, priority });
    });
  }

  remove(idOrRun: string | RunFunction): void {
    this.#lanes.forEach(({ items }) => {
      const at = items.findIndex(({ id, run }) => id === idOrRun || run === idOrRun);
      if (at < 0) return;
      items.splice(at, 1);
      this.#size -= 1;
    });
  }

  #nextLane(): [string, Lane] | undefined {
    let best: [string, Lane] | undefined;
    // Hot: one pass over the organisations that wait, few even where there are thousands.
    for (const entry of this.#lanes) {
      const [organisation, lane] = entry;
      const isEarlier = !best || lane.startTag < best[1].startTag;
      if (lane.items.length > 0 && isEarlier && this.#hasRoom(organisation)) best = entry;
    }
    return best;
  }

  /** Keeps the table as small as the number of organisations that wait or just did. */
  #dropIdleLane(organisation: string, lane: Lane): void {
    if (lane.items.length === 0 && lane.startTag <= this.#virtualTime)
      this.#lanes.delete(organisation);
    if (this.#size > 0) return;
    this.#lanes.clear();
    this.#virtualTime = 0;
  }
}

/** Makes the class that `p-queue` instantiates, bound to limits of its own. */
export function createFairQueueClass(
  hasRoom: HasRoom,
  onCreate: (queue: FairQueue) => void = () => {},
): new () => FairQueue {
  return class extends FairQueue {
    constructor() {
      super(hasRoom);
      onCreate(this);
    }
  };
}
