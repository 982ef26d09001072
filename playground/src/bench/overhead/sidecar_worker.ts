/**
 * Process of one stand-in sidecar. Each message sets the token interval in
 * milliseconds and is answered with the sidecar's address.
 */
import { startStandInSidecar, type TokenInterval } from "./stand_in_sidecar.ts";

const interval: TokenInterval = { stepMs: 0 };
let address: Promise<string> | undefined;

process.on("message", async (stepMs: number) => {
  interval.stepMs = stepMs;
  address ??= startStandInSidecar(interval);
  process.send?.(await address);
});
process.on("disconnect", () => process.exit(1));
