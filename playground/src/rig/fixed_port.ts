/**
 * Ports for daemons that are restarted on the same port. While the daemon is
 * down, a port from the kernel's ephemeral range may be taken by any outgoing
 * connection; these ports lie below that range.
 */
import { createServer } from "node:net";
import { randomInt } from "node:crypto";
import { invariant } from "@sassafrascleat/runtime";

const LOWEST_PORT = 10_000;
/** First port of the kernel's ephemeral range for outgoing connections. */
const FIRST_EPHEMERAL_PORT = 32_768;
const MAX_ATTEMPTS = 50;

/** Finds a port of the loopback interface that nothing listens on. */
export async function findFixedPort(): Promise<number> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const port = randomInt(LOWEST_PORT, FIRST_EPHEMERAL_PORT);
    if (await isFree(port)) return port;
  }
  invariant(false, "found no free port below the ephemeral range");
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
