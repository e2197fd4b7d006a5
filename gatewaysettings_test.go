package sardineknot_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// TestReadBound guards against a host that keeps the bound of configurations and gets the
// entries of leaving servers too late.
func TestReadBound(t *testing.T) {
	expect := func(name string, configuration, leaving, want time.Duration) {
		t.Run(name, func(t *testing.T) {
			s := sardineknot.GatewaySettings{ConfigurationBound: configuration, LeavingBound: leaving}
			is.New(t).Equal(s.ReadBound(), want)
		})
	}
	expect("the shorter one holds", 4*time.Second, 3*time.Second, 3*time.Second)
	expect("whichever it is", 3*time.Second, 4*time.Second, 3*time.Second)
	expect("one is not set", 4*time.Second, 0, 4*time.Second)
	expect("the other one is not set", 0, 4*time.Second, 4*time.Second)
	expect("none is set", 0, 0, 2*time.Second)
}
