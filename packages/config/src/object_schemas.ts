/** JSON Schemas of the configuration objects, for editors and the docs. */
import { z } from "zod";
import {
  customerSchema,
  modelServiceSchema,
  plainServiceSchema,
  policySchema,
  poolSchema,
} from "./objects.ts";

/**
 * The JSON Schema of an object as input, where fields with defaults are
 * optional.
 */
export interface ObjectSchema {
  /** For example `service (model)`. */
  title: string;
  jsonSchema: unknown;
}

/** Returns the JSON Schema of each object, in reading order. */
export function objectJsonSchemas(): ObjectSchema[] {
  const schemas = {
    "service (model)": modelServiceSchema,
    "service (plain)": plainServiceSchema,
    "pool": poolSchema,
    "policy": policySchema,
    "customer": customerSchema,
  };
  return Object.entries(schemas).map(([title, schema]) => ({
    title,
    jsonSchema: z.toJSONSchema(schema, { io: "input" }),
  }));
}
