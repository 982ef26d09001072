#!/usr/bin/env node
/** Committed because npm links `bin` files at installation, before the build. */
import "../dist/main.js";
