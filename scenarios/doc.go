// Package scenarios holds scripted scenarios that run the system as separate
// processes beside stand-ins, cause failures from outside, and compare what
// the stand-ins recorded with what must hold.
//
// The scripts are in testdata, in the format of go-internal/testscript. The
// commands that they add to it are described in commands_test.go.
package scenarios
