/** Continuous batching: each step runs the queued items, up to the maximum batch size. */
export interface StepItem {
  readonly priority: number;
  /** Prefill tokens beyond the first, which lengthen the step. */
  readonly extraTokens: number;
  run(): void;
}

export interface StepLoopOptions {
  readonly maxBatch: number;
  readonly stepBaseMs: number;
  readonly stepPerItemMs: number;
  readonly prefillPerTokenMs: number;
}

export interface StepLoop {
  readonly queued: number;
  readonly running: number;
  /** Number of steps and items completed since the start. */
  readonly totals: { readonly steps: number; readonly items: number };
  add(item: StepItem): void;
}

export function createStepLoop(options: StepLoopOptions): StepLoop {
  const { maxBatch, stepBaseMs, stepPerItemMs, prefillPerTokenMs } = options;
  let queue: StepItem[] = [];
  let running = 0;
  let steps = 0;
  let items = 0;
  let isBusy = false;
  /** When the engine becomes idle; computed, so that timer lag does not accumulate. */
  let idleAtMs = 0;

  function nextBatch(): readonly StepItem[] {
    if (queue.length > maxBatch) queue.sort((a, b) => b.priority - a.priority);
    return queue.splice(0, maxBatch);
  }

  function durationMs(batch: readonly StepItem[]): number {
    const extraTokens = batch.reduce((sum, item) => sum + item.extraTokens, 0);
    return stepBaseMs + stepPerItemMs * (batch.length - 1) + prefillPerTokenMs * extraTokens;
  }

  function startStep(): void {
    if (queue.length === 0) {
      isBusy = false;
      return;
    }
    isBusy = true;
    const batch = nextBatch();
    running = batch.length;
    const nowMs = performance.now();
    idleAtMs = Math.max(idleAtMs, nowMs - 1) + durationMs(batch);
    setTimeout(
      () => {
        running = 0;
        steps += 1;
        items += batch.length;
        batch.forEach((item) => item.run());
        startStep();
      },
      Math.max(0, idleAtMs - nowMs),
    );
  }

  return {
    get queued() {
      return queue.length;
    },
    get running() {
      return running;
    },
    get totals() {
      return { steps, items };
    },
    add(item) {
      queue = [...queue, item];
      // Deferred to the next event loop turn, so that items that arrive together share a step.
      if (!isBusy) {
        isBusy = true;
        setImmediate(startStep);
      }
    },
  };
}
