/**
 * Ports for daemons that are started again on the same one. A port that the
 * kernel hands out may be taken by any outgoing connection while the daemon is
 * down; these lie below the range that it hands out from.
 */
import { createServer } from "node:net";
import { randomInt } from "node:crypto";
import { invariant } from "@sassafrascleat/runtime";

const LOWEST_PORT = 10_000;
/** Where the kernel's range of ports for outgoing connections begins. */
const FIRST_EPHEMERAL_PORT = 32_768;
const MAX_TRIES = 50;

/** A port of the loopback interface that nothing listens on. */
export async function fixedPort(): Promise<number> {
  for (let tried = 0; tried < MAX_TRIES; tried += 1) {
    const port = randomInt(LOWEST_PORT, FIRST_EPHEMERAL_PORT);
    if (await isFree(port)) return port;
  }
  invariant(false, "no free port was found below the ephemeral range");
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
