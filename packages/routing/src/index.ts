/** Admission, placement, limits and retry decisions; pure, with an injected clock. */
export * from "./admission.ts";
export * from "./placement.ts";
