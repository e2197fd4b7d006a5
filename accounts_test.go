package sardineknot_test

import (
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// TestAdmits guards against a call that is sent although its key was withdrawn, or
// was given to another client account, while the call waited, and against a call that
// is refused because the client accounts were turned off meanwhile.
func TestAdmits(t *testing.T) {
	k := sardineknot.DigestKey("key")
	a := sardineknot.ClientAccount{Name: "a", Keys: []sardineknot.KeyDigest{k}}
	c := &sardineknot.Call{Key: k, Account: &a}
	admits := func(want bool, accounts ...sardineknot.ClientAccount) {
		t.Helper()
		var f sardineknot.Configuration
		f.SetAccounts(accounts)
		is.New(t).Equal(f.Admits(c), want)
	}
	admits(true, sardineknot.ClientAccount{Name: "b"}, a)
	admits(false, sardineknot.ClientAccount{Name: "a"})
	admits(false, sardineknot.ClientAccount{Name: "a"}, sardineknot.ClientAccount{Name: "b", Keys: a.Keys})
	admits(true) // accounts were turned off
	c.Account = nil
	admits(true) // a call of a public route
}

// TestAccountCost guards against limits that count a call by something else than its
// tokens, or not at all.
func TestAccountCost(t *testing.T) {
	is := is.New(t)
	l := sardineknot.AccountLimit{CountsTokens: true, DefaultTokens: 200}
	is.Equal(l.Cost(1540), 1540.0)
	is.Equal(l.Cost(0), 200.0)
	is.Equal(sardineknot.AccountLimit{}.Cost(1540), 1.0)
}

// BenchmarkAccountByKey measures what the key of a call costs.
func BenchmarkAccountByKey(b *testing.B) {
	var c sardineknot.Configuration
	c.SetAccounts([]sardineknot.ClientAccount{{Name: "a", Keys: []sardineknot.KeyDigest{sardineknot.DigestKey("banfqasnmgkcuyj8pjbv")}}})
	for b.Loop() {
		c.AccountByKey(sardineknot.DigestKey("banfqasnmgkcuyj8pjbv"))
	}
}

// TestAccountLimit guards against an owner that applies the limit of another account.
func TestAccountLimit(t *testing.T) {
	i := is.New(t)
	c := &sardineknot.Configuration{}
	c.SetAccounts([]sardineknot.ClientAccount{{Name: "verk", Limit: sardineknot.AccountLimit{PerSecond: 2}}, {Name: "alp", Limit: sardineknot.AccountLimit{PerSecond: 1}}})
	l, ok := c.AccountLimit("verk")
	i.True(ok)
	i.Equal(l.PerSecond, 2.0)
	_, ok = c.AccountLimit("berg")
	i.True(!ok)
	_, ok = (*sardineknot.Configuration)(nil).AccountLimit("verk")
	i.True(!ok)
}
