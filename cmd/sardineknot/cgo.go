package main

// The users' platform requires executables that are linked with the C library,
// which the import of C ensures. The blank lines around this comment keep it
// from becoming the C preamble.

import "C"
