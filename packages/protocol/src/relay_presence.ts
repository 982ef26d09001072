/**
 * The presence object that each relay head keeps in the store: one small
 * object for all daemons that report to it. It tells new daemons whom to pull
 * from, and operators how far each zone and office has come.
 */
import { z } from "zod";

/** A daemon that reports to a head. */
export const presenceMemberSchema = z.object({
  daemonId: z.string().min(1),
  /** Base address of its system listener, when it has one. */
  address: z.string().optional(),
  /** Its office and zone when they are not those of the head. */
  office: z.string().optional(),
  availabilityZone: z.string().optional(),
  /** Sequence of the configuration in force there. */
  sequence: z.number().int().min(0),
});
export type PresenceMember = z.infer<typeof presenceMemberSchema>;

export const relayPresenceSchema = z.object({
  daemonId: z.string().min(1),
  office: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** The head itself and everyone that it heard from lately. */
  members: z.array(presenceMemberSchema),
});
export type RelayPresence = z.infer<typeof relayPresenceSchema>;
