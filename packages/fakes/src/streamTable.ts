/** Open response streams of an engine, by handle. */
import type { ServerResponse } from 'node:http';
import type { LineageMark } from '@spoolplank/routing';
import type { StreamLine, StreamOrder } from './engineProtocol';
import { renderToken } from './textModel';

interface OpenStream {
  readonly response: ServerResponse;
  readonly maxTokens: number;
  nextPosition: number;
}

export interface StreamTable {
  readonly size: number;
  has(handle: string): boolean;
  /** Answers an order with a stream; `onClose` runs when the client closes the connection early. */
  open(order: StreamOrder, response: ServerResponse, onClose: () => void): void;
  /** Sends a token; returns whether the stream needs another one. */
  deliver(handle: string, tokenId: number, lineage: readonly LineageMark[]): boolean;
  fail(handle: string, problem: string): void;
}

/** @param getEndAfter Position at which answers end early as if complete; null disables this. */
export function createStreamTable(getEndAfter: () => number | null = () => null): StreamTable {
  const streams = new Map<string, OpenStream>();

  function write(stream: OpenStream, line: StreamLine): void {
    stream.response.write(`${JSON.stringify(line)}\n`);
  }

  function finish(handle: string, line: StreamLine): void {
    const stream = streams.get(handle);
    streams.delete(handle);
    if (!stream) return;
    write(stream, line);
    stream.response.end();
  }

  return {
    get size() {
      return streams.size;
    },
    has: (handle) => streams.has(handle),
    open({ handle, maxTokens, historyTokenIds }, response, onClose) {
      response.writeHead(200, { 'content-type': 'application/x-ndjson' });
      response.flushHeaders();
      streams.set(handle, { response, maxTokens, nextPosition: historyTokenIds.length });
      response.on('close', () => {
        if (streams.delete(handle)) onClose();
      });
    },
    deliver(handle, tokenId, lineage) {
      const stream = streams.get(handle);
      if (!stream) return false;
      write(stream, {
        kind: 'token',
        position: stream.nextPosition,
        tokenId,
        text: renderToken(tokenId),
        lineage,
      });
      stream.nextPosition += 1;
      const endAt = Math.min(stream.maxTokens, getEndAfter() ?? Number.POSITIVE_INFINITY);
      if (stream.nextPosition < endAt) return true;
      finish(handle, { kind: 'end', reason: 'length' });
      return false;
    },
    fail(handle, problem) {
      finish(handle, { kind: 'problem', problem });
    },
  };
}
