// Package scenarios runs end-to-end scenarios as scripts. A scenario starts the
// system and its stand-ins as separate processes, injects failures from
// outside, and compares the events that the stand-ins recorded with the
// expected ones.
//
// The scripts are in testdata, in the format of go-internal/testscript. The
// commands that the package adds to it are documented in commands_test.go,
// deploy_test.go and change_test.go.
package scenarios
