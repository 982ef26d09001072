/** Bytes on the sockets of a process, counted by the sockets themselves. */
import { channel } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Adds up both directions of many sockets, closed ones included. */
export class SocketBytes {
  readonly #open = new Set<Socket>();
  #closed = 0;

  /** Counts a socket from now on. */
  add(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#closed += bytesOf(socket);
    });
  }

  get total(): number {
    let total = this.#closed;
    for (const socket of this.#open) total += bytesOf(socket);
    return total;
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}

/** What undici publishes when a client has connected. */
interface Connected {
  connectParams: { port: string; hostname: string };
  socket: Socket;
}

/** Calls `onSocket` with each connection that a client of this process opens. */
export function watchClientSockets(
  onSocket: (socket: Socket, port: string) => void,
): void {
  channel("undici:client:connected").subscribe((message) => {
    const { connectParams, socket } = message as Connected;
    onSocket(socket, connectParams.port);
  });
}
