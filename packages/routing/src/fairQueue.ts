/**
 * A queue for `p-queue` that shares capacity between organisations by weight and serves the
 * requests of one organisation by priority. The shares are those of the slots of streams.
 */
import type { Queue, QueueAddOptions } from 'p-queue';
import { createOrganisationShares } from './organisationShares';

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

/** The queued items of one organisation. */
interface Lane {
  weight: number;
  readonly items: Item[];
}

const DEFAULT_WEIGHT = 1;

function insertByPriority(items: Item[], item: Item): void {
  // The position is nearly always the last one, so a linear scan from the end is fast.
  let at = items.length;
  while (at > 0 && (items[at - 1]?.priority ?? 0) < item.priority) at -= 1;
  items.splice(at, 0, item);
}

/** Whether an organisation may start another request now. */
export type HasCapacity = (organisation: string) => boolean;

export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  readonly #lanes = new Map<string, Lane>();

  readonly #hasCapacity: HasCapacity;

  readonly #shares = createOrganisationShares();

  #size = 0;

  #order = 0;

  constructor(hasCapacity: HasCapacity = () => true) {
    this.#hasCapacity = hasCapacity;
  }

  /**
   * Number of queued items; 0 while none of them may start, as `p-queue` dequeues an item whenever
   * the size is above 0.
   */
  get size(): number {
    return this.#size > 0 && this.#nextLane() ? this.#size : 0;
  }

  /** Number of queued items, including those that may not start yet. */
  get waiting(): number {
    return this.#size;
  }

  enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const { organisation = '', weight = DEFAULT_WEIGHT, priority = 0, id } = options;
    let lane = this.#lanes.get(organisation);
    if (!lane) {
      lane = { weight, items: [] };
      this.#lanes.set(organisation, lane);
    }
    this.#shares.join(organisation);
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

  /** Number of queued items of an organisation. */
  waitingOf(organisation: string): number {
    return this.#lanes.get(organisation)?.items.length ?? 0;
  }

  /** Sum of the weights of organisations with queued items. */
  get activeWeight(): number {
    return [...this.#lanes.values()].reduce(
      (sum, { items, weight }) => sum + (items.length > 0 ? weight : 0),
      0,
    );
  }

  /**
   * Selects the item to evict so that a new item of an organisation fits into a full queue: the
   * newest item of the lowest priority in the lane that is longest relative to its weight, if it is
   * longer than the lane of the new item would be; otherwise an item of a lower priority in the
   * lane of the new item. Undefined when the new item itself must be refused.
   */
  selectForEviction(organisation: string, weight: number, priority: number): string | undefined {
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
    this.#shares.charge(organisation, 1 / lane.weight);
    this.#shares.leave(organisation);
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
    this.#lanes.forEach(({ items }, organisation) => {
      const at = items.findIndex(({ id, run }) => id === idOrRun || run === idOrRun);
      if (at < 0) return;
      items.splice(at, 1);
      this.#shares.leave(organisation);
      this.#size -= 1;
    });
  }

  #nextLane(): [string, Lane] | undefined {
    let best: [string, Lane] | undefined;
    let bestStart = Number.POSITIVE_INFINITY;
    // Hot path: one pass over the organisations with queued items, which are few even when there
    // are thousands of organisations.
    for (const entry of this.#lanes) {
      const [organisation, lane] = entry;
      const start = this.#shares.startOf(organisation);
      const isEarlier = lane.items.length > 0 && start < bestStart;
      if (isEarlier && this.#hasCapacity(organisation)) {
        best = entry;
        bestStart = start;
      }
    }
    return best;
  }

  /** Removes idle lanes, so that the table holds only current and recent organisations. */
  #dropIdleLane(organisation: string, lane: Lane): void {
    if (lane.items.length === 0) this.#lanes.delete(organisation);
    if (this.#size > 0) return;
    this.#lanes.clear();
    this.#shares.reset();
  }
}

/** Creates the class that `p-queue` instantiates, bound to the given capacity check. */
export function createFairQueueClass(
  hasCapacity: HasCapacity,
  onCreate: (queue: FairQueue) => void = () => {},
): new () => FairQueue {
  return class extends FairQueue {
    constructor() {
      super(hasCapacity);
      onCreate(this);
    }
  };
}
