/**
 * A list that stays in order. The number of comparisons of an insertion or removal grows with the
 * logarithm of its length.
 */
export interface SortedList<Item> {
  readonly length: number;
  at(index: number): Item | undefined;
  add(item: Item): void;
  /** Removes an item, whose place in the order must be the same as when it was added. */
  remove(item: Item): void;
  /** Number of items at the start of the list for which a condition holds, and for no others. */
  countWhile(holds: (item: Item) => boolean): number;
}

/** Compares items; it must not return 0 for two different items of a list. */
export type CompareItems<Item> = (a: Item, b: Item) => number;

export function createSortedList<Item>(compare: CompareItems<Item>): SortedList<Item> {
  const items: Item[] = [];

  function countWhile(holds: (item: Item) => boolean): number {
    let low = 0;
    let high = items.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (holds(items[middle] as Item)) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  const countUpTo = (item: Item): number => countWhile((other) => compare(other, item) <= 0);

  return {
    get length() {
      return items.length;
    },
    at: (index) => items[index],
    add(item) {
      items.splice(countUpTo(item), 0, item);
    },
    remove(item) {
      const index = countUpTo(item) - 1;
      if (items[index] === item) items.splice(index, 1);
    },
    countWhile,
  };
}
