/**
 * tRPC contract for distributing the configuration between daemons. A daemon
 * pulls changes from a peer and reports which sequence number it has in force.
 * Changes are opaque JSON documents here; the `config` package defines their
 * schema.
 */
import { initTRPC } from "@trpc/server";
import { z } from "zod";

/** Mount path of the relay router on the system listener. */
export const RELAY_RPC_PATH = "/relay";

/** Long poll for changes after `afterSequence`; the reply is empty on timeout. */
export const pullRequestSchema = z.object({
  daemonId: z.string().min(1),
  office: z.string(),
  availabilityZone: z.string(),
  /** Base address of the caller's system listener, if it has one. */
  address: z.string().optional(),
  afterSequence: z.number().int().min(0),
  /** Maximum time to wait for changes, in milliseconds. */
  waitMs: z.number().min(0),
  /** Sequence numbers in force at the daemons that report through the caller. */
  reports: z.array(z.object({
    daemonId: z.string(),
    office: z.string(),
    availabilityZone: z.string(),
    address: z.string().optional(),
    sequence: z.number().int(),
    ageMs: z.number(),
  })),
});
export type PullRequest = z.infer<typeof pullRequestSchema>;
/** Sequence number in force at one daemon, as of `ageMs` ago. */
export type SequenceReport = PullRequest["reports"][number];

/** Reply to a pull: a snapshot if the caller is too far behind, then changes. */
export interface PullReply {
  /** Highest sequence number in force at the replying daemon. */
  sequence: number;
  /**
   * Time since the replying daemon was last confirmed to match the store,
   * directly or through other daemons, in milliseconds. Absent if it never was.
   */
  confirmedAgeMs?: number;
  /**
   * Time that the pull waited before the reply was created, in milliseconds.
   * The reply was created at least this long after the request was sent.
   */
  waitedMs?: number;
  snapshot?: { sequence: number; document: unknown };
  changes: { sequence: number; document: unknown }[];
}

/** Relay calls that a daemon serves. All are idempotent. */
export interface RelayControl {
  pull(req: PullRequest): Promise<PullReply>;
}

const trpc = initTRPC.create();

/** Creates the tRPC router that serves `control`. */
export function createRelayRouter(control: RelayControl) {
  return trpc.router({
    pull: trpc.procedure.input(pullRequestSchema)
      .mutation(({ input }) => control.pull(input)),
  });
}

/** Router type that relay clients use. */
export type RelayRouter = ReturnType<typeof createRelayRouter>;
