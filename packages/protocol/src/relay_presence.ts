/**
 * Presence object that each relay head writes to the store. A relay head is a
 * daemon that watches the store on behalf of its availability zone; the other
 * daemons pull configuration changes from it. The single small object lists all
 * daemons that report to the head. New daemons read it to find a peer to pull
 * from. Operators read it to see which configuration is in force in each zone
 * and office.
 */
import { z } from "zod";

/** A daemon that reports to a relay head. */
export const presenceMemberSchema = z.object({
  daemonId: z.string().min(1),
  /** Base address of the daemon's system listener, if it has one. */
  address: z.string().optional(),
  /** Office of the daemon, if it differs from that of the head. */
  office: z.string().optional(),
  /** Availability zone of the daemon, if it differs from that of the head. */
  availabilityZone: z.string().optional(),
  /** Sequence number of the configuration in force at the daemon. */
  sequence: z.number().int().min(0),
});
export type PresenceMember = z.infer<typeof presenceMemberSchema>;

export const relayPresenceSchema = z.object({
  daemonId: z.string().min(1),
  office: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** The head itself and all daemons that reported to it recently. */
  members: z.array(presenceMemberSchema),
});
export type RelayPresence = z.infer<typeof relayPresenceSchema>;
