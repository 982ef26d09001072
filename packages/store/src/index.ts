/** The platform object API behind one narrow interface, over HTTP or in memory. */
export * from "./object_store.ts";
