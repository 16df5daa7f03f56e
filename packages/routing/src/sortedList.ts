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
  /** Number of items up to and including an item, which need not be in the list. */
  countUpTo(item: Item): number;
}

/** Compares items; it must not return 0 for two different items of a list. */
export type CompareItems<Item> = (a: Item, b: Item) => number;

export function createSortedList<Item>(compare: CompareItems<Item>): SortedList<Item> {
  const items: Item[] = [];

  function countUpTo(item: Item): number {
    let low = 0;
    let high = items.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (compare(items[middle] as Item, item) <= 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }

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
    countUpTo,
  };
}
