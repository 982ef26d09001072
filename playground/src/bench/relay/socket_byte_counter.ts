/**
 * Counts the bytes on the sockets of a process by the counters of `net.Socket`.
 */
import { channel } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Sums the bytes of sockets in both directions, including closed sockets. */
export class SocketByteCounter {
  readonly #open = new Set<Socket>();
  #closedBytes = 0;

  /** Adds a socket to the sum. */
  add(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#closedBytes += bytesOf(socket);
    });
  }

  get total(): number {
    let total = this.#closedBytes;
    for (const socket of this.#open) total += bytesOf(socket);
    return total;
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}

/** Message that undici publishes when a client has connected. */
interface ConnectedMessage {
  connectParams: { port: string; hostname: string };
  socket: Socket;
}

/**
 * Calls `onSocket` with each connection that an undici client of this process
 * opens.
 */
export function onClientSocket(
  onSocket: (socket: Socket, port: string) => void,
): void {
  channel("undici:client:connected").subscribe((message) => {
    const { connectParams, socket } = message as ConnectedMessage;
    onSocket(socket, connectParams.port);
  });
}
