/**
 * The tRPC contract between daemons for configuration: deltas of the change
 * log go out, the sequence in force comes back. Changes travel as opaque JSON
 * documents here; the `config` package owns their form.
 */
import { initTRPC } from "@trpc/server";
import { z } from "zod";

/** Mount path of the relay router on the system listener. */
export const RELAY_RPC_PATH = "/relay";

/** Long poll: changes after `afterSequence`, or an empty reply at the timeout. */
export const pullRequestSchema = z.object({
  daemonId: z.string().min(1),
  office: z.string(),
  availabilityZone: z.string(),
  /** Base address of the caller's system listener, when it has one. */
  address: z.string().optional(),
  afterSequence: z.number().int().min(0),
  /** Longest time to wait for news, in milliseconds. */
  waitMs: z.number().min(0),
  /** Sequences in force at the daemons that report through the caller. */
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
/** The sequence in force at one daemon, `ageMs` old. */
export type SequenceReport = PullRequest["reports"][number];

/** A reply to a pull: a snapshot when the caller is too far behind, then changes. */
export interface PullReply {
  /** The highest sequence that the replying daemon has in force. */
  sequence: number;
  /**
   * Time since that daemon is known to have agreed with the store, directly or
   * through others, in milliseconds; absent when it never did.
   */
  confirmedAgeMs?: number;
  /**
   * Time that the pull waited before the reply was made, in milliseconds; the
   * reply is at least that much younger than the request.
   */
  waitedMs?: number;
  snapshot?: { sequence: number; document: unknown };
  changes: { sequence: number; document: unknown }[];
}

/** The relay calls of a daemon. All are idempotent. */
export interface RelayControl {
  pull(req: PullRequest): Promise<PullReply>;
}

const t = initTRPC.create();

/** Makes the router that serves `control`. */
export function createRelayRouter(control: RelayControl) {
  return t.router({
    pull: t.procedure.input(pullRequestSchema)
      .mutation(({ input }) => control.pull(input)),
  });
}

/** The client's view of a daemon's relay. */
export type RelayRouter = ReturnType<typeof createRelayRouter>;
