/** Addresses of bound listeners. */
import { invariant } from "@sassafrascleat/runtime";
import type { FastifyInstance } from "fastify";

/** Base address of a listening server, `http://ip:port`. */
export function addressOf(app: FastifyInstance): string {
  const address = app.server.address();
  invariant(
    typeof address === "object" && address !== null,
    "the listener is not bound",
  );
  const host = address.family === "IPv6"
    ? `[${address.address}]`
    : address.address;
  return `http://${host}:${address.port}`;
}
