// Package tcp connects to backend servers without another entry host.
//
// A read of its connections reports a reset also if a write was the first call to notice it.
package tcp
