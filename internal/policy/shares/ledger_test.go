package shares_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/shares"
)

var now = time.Unix(1000, 0)

// serve serves count requests of the accounts in costs, which all wait all the time, and
// returns the cost that each was served.
func serve(l *shares.Ledger, count int, costs map[sardineknot.ClientAccountName]float64) map[sardineknot.ClientAccountName]float64 {
	r := make(map[sardineknot.ClientAccountName]float64)
	for range count {
		var b sardineknot.ClientAccountName
		for n := range costs {
			if b == "" || l.Tag(n) < l.Tag(b) || l.Tag(n) == l.Tag(b) && n < b {
				b = n
			}
		}
		l.Serve(now, b, costs[b])
		r[b] += costs[b]
	}
	return r
}

// TestTag guards against accounts that get more than their share: with long requests,
// with many of them, or for having been idle.
func TestTag(t *testing.T) {
	t.Run("accounts are served by cost", func(t *testing.T) {
		is := is.New(t)
		var l shares.Ledger
		r := serve(&l, 900, map[sardineknot.ClientAccountName]float64{"long": 8000, "short": 1000})
		is.True(r["long"] <= r["short"]+8000 && r["short"] <= r["long"]+8000)
	})
	t.Run("an account that is alone gets everything and owes nothing for it", func(t *testing.T) {
		is := is.New(t)
		var l shares.Ledger
		serve(&l, 100, map[sardineknot.ClientAccountName]float64{"a": 1000})
		r := serve(&l, 100, map[sardineknot.ClientAccountName]float64{"a": 1000, "b": 1000})
		is.True(r["a"] >= 49000 && r["b"] >= 49000)
	})
	t.Run("many accounts are bounded in memory", func(t *testing.T) {
		var l shares.Ledger
		for i := range 50000 {
			l.Serve(now, sardineknot.ClientAccountName(rune(i)), 1)
		}
		is.New(t).True(l.Tag("new") >= 0)
	})
}

// TestStarved guards against accounts whose requests are never urgent enough.
func TestStarved(t *testing.T) {
	is := is.New(t)
	var l shares.Ledger
	for range 20 {
		l.Serve(now, "urgent", 1)
		l.Refuse(now, "other")
	}
	is.True(l.Starved(now, "other"))
	is.True(!l.Starved(now, "urgent"))
	is.True(!l.Starved(now, "new"))
	for range 20 {
		l.Serve(now, "other", 1)
	}
	is.True(!l.Starved(now, "other"))
	is.True(!l.Starved(now.Add(time.Minute), "other"))
}
