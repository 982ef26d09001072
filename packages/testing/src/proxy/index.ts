/** Stand-ins: proxy. */
export {};
