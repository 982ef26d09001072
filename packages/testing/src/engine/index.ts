/** Stand-ins: engine. */
export {};
