package sardineknot_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// TestContract looks up every account of a configuration with 3300 accounts,
// the number that the system is designed for.
func TestContract(t *testing.T) {
	i := is.New(t)
	c := &sardineknot.Configuration{}
	for n := range 3300 {
		a := sardineknot.ClientAccountName(fmt.Sprintf("account-%04d", n))
		c.Contracts = append(c.Contracts, sardineknot.Contract{Account: a, Burst: n})
	}
	for n := range 3300 {
		k, err := c.Contract(c.Contracts[n].Account)
		i.NoErr(err)
		i.Equal(k.Burst, n)
	}
	for _, n := range []sardineknot.ClientAccountName{"", "account-0000a", "zone"} {
		_, err := c.Contract(n)
		var u *sardineknot.UnknownError
		i.True(errors.As(err, &u))
		i.Equal(u.Name, string(n))
	}
}

func BenchmarkContract(b *testing.B) {
	c := &sardineknot.Configuration{}
	for n := range 3300 {
		a := sardineknot.ClientAccountName(fmt.Sprintf("account-%04d", n))
		c.Contracts = append(c.Contracts, sardineknot.Contract{Account: a})
	}
	for b.Loop() {
		_, _ = c.Contract("account-3299")
	}
}
