package main

// Empty lines keep this comment out of the C preamble. The users' platform
// needs programs that are linked with the C library.

import "C"
