package store

import (
	"testing"
)

// FuzzHostEntry guards against an entry of a host that ends the process, or that names an
// address to which nothing can connect or a processor that no host has.
func FuzzHostEntry(f *testing.F) {
	f.Add([]byte(`{"Incarnation":5,"CallerAddress":"127.0.0.1:1","PeerAddress":"127.0.0.1:2","Zone":"z","Processor":0.5}`))
	f.Add([]byte(`{"CallerAddress":"127.0.0.1:0","PeerAddress":"127.0.0.1:70000"}`))
	f.Add([]byte(`{"CallerAddress":"127.0.0.1:1","PeerAddress":"127.0.0.1:2","Processor":1e308}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, value []byte) {
		h, err := decode("h", value)
		if err != nil {
			return
		}
		if h.CallerAddress.Port() == 0 || h.PeerAddress.Port() == 0 || h.Processor < 0 || h.Processor > maxProcessor {
			t.Fatalf("host %+v", h)
		}
	})
}
