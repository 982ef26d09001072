/** TCP server that sends arbitrary bytes, for tests of malformed responses. */
import { createServer, type Socket } from "node:net";
import { type Backend, BackendState } from "../../backends/backend.ts";

/** A running raw server. */
export interface RawServer {
  backend: Backend;
  /** The received requests as text. */
  requests: string[];
  /** Number of the connection that carried each request. */
  connectionNumbers: number[];
  close(): Promise<void>;
}

/** Starts a server that calls `respond(socket, n)` for its n-th request. */
export async function startRawServer(
  respond: (socket: Socket, n: number) => void,
): Promise<RawServer> {
  const requests: string[] = [];
  const sockets = new Set<Socket>();
  const connectionNumbers: number[] = [];
  let opened = 0;
  const server = createServer((socket) => {
    const connection = opened;
    opened += 1;
    sockets.add(socket);
    let text = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      if (!isComplete(text)) return;
      requests.push(text);
      connectionNumbers.push(connection);
      text = "";
      respond(socket, requests.length);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve());
  });
  const address = server.address();
  const port = typeof address === "object" && address ? address.port : 0;
  return {
    backend: {
      id: "b1",
      service: "s",
      address: `127.0.0.1:${port}`,
      zone: "z1",
      slots: 4,
      state: BackendState.Ready,
      version: "v1",
    },
    requests,
    connectionNumbers,
    close: () => {
      for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

function isComplete(text: string): boolean {
  const end = text.indexOf("\r\n\r\n");
  if (end < 0) return false;
  const length = /content-length: (\d+)/i.exec(text);
  return text.length >= end + 4 + Number(length?.[1] ?? 0);
}
