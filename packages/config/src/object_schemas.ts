/** The JSON Schemas of the configuration objects, for editors and the docs. */
import { z } from "zod";
import {
  customerSchema,
  modelServiceSchema,
  plainServiceSchema,
  policySchema,
  poolSchema,
} from "./objects.ts";

/** A configuration object as operators write it. */
export interface ObjectSchema {
  /** For example `service (model)`. */
  title: string;
  jsonSchema: unknown;
}

/** The JSON Schema of each object, in the order in which to read them. */
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
