/**
 * Response bodies of the object API, which is JSON over HTTP: `/object?key=`
 * reads, writes and deletes one object, `/objects` lists objects and `/watch`
 * is a long poll for changes.
 */
import { z } from "zod";
import type { StoredObject, WatchEvent } from "./object_store.ts";

const storedObjectSchema = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
}).transform((object): StoredObject => object);

/** Response to a read of one object. */
export const getResponseSchema = z.object({
  object: storedObjectSchema.optional(),
});

/** Response to a write that took effect. */
export const putResponseSchema = z.object({ version: z.number().int() });

/** Response to a write whose expected version did not match. */
export const conflictResponseSchema = z.object({
  current: storedObjectSchema.optional(),
});

/** Response of a store that rejected the call without executing it. */
export const refusedResponseSchema = z.object({ refused: z.literal(true) });

/** Response to a list call. */
export const listResponseSchema = z.object({
  objects: z.array(storedObjectSchema),
  revision: z.number().int(),
});

/** Response to a watch call. */
export const watchResponseSchema = z.object({
  events: z.array(
    z.object({ key: z.string(), object: storedObjectSchema.optional() })
      .transform((event): WatchEvent => ({
        key: event.key,
        object: event.object,
      })),
  ),
  revision: z.number().int(),
});
