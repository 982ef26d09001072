/**
 * The wire form of the object API: JSON over HTTP. `/object?key=` reads,
 * writes and deletes one object, `/objects` lists and `/watch` waits.
 */
import { z } from "zod";
import type { StoredObject, WatchEvent } from "./object_store.ts";

const storedObjectSchema = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
}).transform((object): StoredObject => object);

/** Answer to a read of one object. */
export const getAnswerSchema = z.object({
  object: storedObjectSchema.optional(),
});

/** Answer to a write that took effect. */
export const putAnswerSchema = z.object({ version: z.number().int() });

/** Answer to a write whose condition did not hold. */
export const conflictAnswerSchema = z.object({
  current: storedObjectSchema.optional(),
});

/** Body of every answer of a store that did nothing about the call. */
export const refusalSchema = z.object({ refused: z.literal(true) });

/** Answer to a list. */
export const listAnswerSchema = z.object({
  objects: z.array(storedObjectSchema),
  revision: z.number().int(),
});

/** Answer to a watch. */
export const watchAnswerSchema = z.object({
  events: z.array(
    z.object({ key: z.string(), object: storedObjectSchema.optional() })
      .transform((event): WatchEvent => ({
        key: event.key,
        object: event.object,
      })),
  ),
  revision: z.number().int(),
});
