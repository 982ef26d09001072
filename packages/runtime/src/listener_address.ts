/** Addresses of bound listeners. */
import type { Server } from "node:net";
import { invariant } from "./error.ts";

/** Returns the base URL of a listening server, `http://ip:port`. */
export function baseUrlOf(server: Server): string {
  const address = server.address();
  invariant(
    typeof address === "object" && address !== null,
    "the listener is not bound",
  );
  const host = address.family === "IPv6"
    ? `[${address.address}]`
    : address.address;
  return `http://${host}:${address.port}`;
}
