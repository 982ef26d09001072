/**
 * The process of one stand-in sidecar. Each message sets the token interval in
 * milliseconds; each answer is the sidecar's address.
 */
import { type Pace, startStandInSidecar } from "./stand_in_sidecar.ts";

const pace: Pace = { stepMs: 0 };
let address: Promise<string> | undefined;

process.on("message", async (stepMs: number) => {
  pace.stepMs = stepMs;
  address ??= startStandInSidecar(pace);
  process.send?.(await address);
});
process.on("disconnect", () => process.exit(1));
