/** Engine and plain service interfaces and their HTTP forms. */
export * from "./engine.ts";
