/**
 * Limits what clients send ahead: the next request on a connection is parsed once the one before it
 * is answered, and its answer has left this process.
 *
 * Node.js parses a whole read of 64 KiB at once, which may hold 2,000 requests or 10,000 chunks of
 * a body, and stops reading a connection only after that. Each read is therefore handed to the
 * parser in pieces that end with the head of a request, or after some lines, and a few of them in a
 * turn of the event loop, so that other connections are not kept waiting.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

type Listener = (bytes: Buffer) => void;

interface Connection {
  readonly socket: Socket;
  /** Hands bytes to the parser of Node.js. */
  readonly parse: Listener;
  readonly onData: Listener;
  readonly onResume: () => void;
  /** Bytes that are not parsed yet. */
  waiting: Buffer;
  /** Whether this module has paused the socket. */
  isPaused: boolean;
  isParsing: boolean;
  /** Whether parsing goes on in the next turn of the event loop. */
  isDeferred: boolean;
  /** Requests whose answers have not left this process. */
  unanswered: number;
  last: IncomingMessage | null;
}

/** Set by the server of Node.js, which has no public interface for it. */
const PAUSED_FIELD = '_paused';
const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const MAX_PIECE_BYTES = 16_384;
/** Each chunk of a body has two lines, and costs an object and an event whatever its size. */
const MAX_PIECE_LINES = 64;
const MAX_PIECES_PER_TURN = 4;
/** Bytes that wait on a connection before it is not read any more. */
const MAX_WAITING_BYTES = 16_384;
const EXPECTATION_FAILED = 417;
const NOTHING = Buffer.alloc(0);

/** Whether Node.js itself has paused the connection, as too many answers are unsent. */
const isPausedByServer = (socket: Socket): boolean =>
  (socket as unknown as Readonly<Record<string, unknown>>)[PAUSED_FIELD] === true;

/** Whether the body of a request is read no further at the moment. */
function isBodyHeld(request: IncomingMessage): boolean {
  const { readableLength, readableHighWaterMark } = request;
  return request.isPaused() || readableLength >= readableHighWaterMark;
}

/** Whether what waits belongs to a request that is being read, or may begin one. */
function mayParse({ socket, unanswered, last }: Connection): boolean {
  if (socket.destroyed || isPausedByServer(socket)) return false;
  if (last && !last.complete) return unanswered <= 1 && !isBodyHeld(last);
  return unanswered === 0;
}

/** Length of the lines that are parsed at once. */
function findLinesEnd(bytes: Buffer): number {
  let end = 0;
  for (let lines = 0; lines < MAX_PIECE_LINES; lines += 1) {
    const at = bytes.indexOf(LINE_END, end);
    if (at < 0) return bytes.length;
    end = at + LINE_END.length;
  }
  return end;
}

function takePiece(connection: Connection): Buffer {
  const { waiting } = connection;
  const most = waiting.subarray(0, MAX_PIECE_BYTES);
  const headEnd = most.indexOf(HEAD_END);
  const upToHead = headEnd < 0 ? most : most.subarray(0, headEnd + HEAD_END.length);
  const piece = upToHead.subarray(0, findLinesEnd(upToHead));
  connection.waiting = waiting.subarray(piece.length);
  return piece;
}

/** Pauses reading while too much waits, and reads on once nothing does. */
function updatePause(connection: Connection): void {
  const { socket, waiting, isPaused } = connection;
  if (!isPaused && waiting.length >= MAX_WAITING_BYTES) {
    connection.isPaused = true;
    socket.pause();
  } else if (isPaused && waiting.length === 0) {
    connection.isPaused = false;
    if (!isPausedByServer(socket)) socket.resume();
  }
}

function parseLater(connection: Connection): void {
  if (connection.isDeferred) return;
  connection.isDeferred = true;
  setImmediate(() => {
    connection.isDeferred = false;
    connection.onResume();
  });
}

function parseWaiting(connection: Connection): void {
  if (connection.isParsing || connection.isDeferred) return;
  connection.isParsing = true;
  let pieces = 0;
  while (connection.waiting.length > 0 && mayParse(connection)) {
    if (pieces === MAX_PIECES_PER_TURN) {
      parseLater(connection);
      break;
    }
    pieces += 1;
    connection.parse(takePiece(connection));
  }
  connection.isParsing = false;
  updatePause(connection);
}

function open(socket: Socket, parse: Listener): Connection {
  const connection: Connection = {
    socket,
    parse,
    onData(bytes) {
      const { waiting } = connection;
      connection.waiting = waiting.length === 0 ? bytes : Buffer.concat([waiting, bytes]);
      parseWaiting(connection);
      updatePause(connection);
    },
    onResume: () => parseWaiting(connection),
    waiting: NOTHING,
    isPaused: false,
    isParsing: false,
    isDeferred: false,
    unanswered: 0,
    last: null,
  };
  return connection;
}

const connections = new WeakMap<Socket, Connection>();

function track(request: IncomingMessage, response: ServerResponse): void {
  const connection = connections.get(request.socket);
  if (!connection) return;
  connection.unanswered += 1;
  connection.last = request;
  request.on('resume', connection.onResume);
  response.once('close', () => {
    connection.unanswered -= 1;
    // Answers that leave at once would keep all other connections waiting.
    if (connection.waiting.length > 0) parseLater(connection);
  });
}

/** Node.js resumes a connection whenever a body is read, whoever has paused it. */
function keepPaused(connection: Connection): void {
  const { socket } = connection;
  const resume = socket.resume.bind(socket);
  Object.assign(socket, {
    resume() {
      if (!connection.isPaused) return resume();
      parseLater(connection);
      return socket;
    },
  });
}

export function limitRequestsAhead(server: Server): void {
  server.on('connection', (socket: Socket) => {
    const [parse] = socket.listeners('data') as Listener[];
    if (!parse) return;
    const connection = open(socket, parse);
    connections.set(socket, connection);
    socket.off('data', parse);
    socket.on('data', connection.onData);
    socket.on('resume', connection.onResume);
    socket.on('drain', connection.onResume);
    keepPaused(connection);
  });
  server.on('request', track);
  server.on('checkExpectation', (request, response) => {
    track(request, response);
    response.writeHead(EXPECTATION_FAILED).end();
  });
}

/** Takes a connection over from the parser, as after a `CONNECT` request. */
export function detachFromParser(socket: Socket): void {
  const connection = connections.get(socket);
  if (!connection) return;
  connections.delete(socket);
  connection.isPaused = false;
  socket.off('data', connection.onData);
  socket.off('resume', connection.onResume);
  socket.off('drain', connection.onResume);
  if (connection.waiting.length > 0) socket.unshift(connection.waiting);
  connection.waiting = NOTHING;
}
