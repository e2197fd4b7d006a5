package revision

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
	api "sardineknot.example/sardineknot/internal/rpc/configuration"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// stored returns the stored form of a configuration of n accounts.
func stored(t is.T, r sardineknot.Revision, author string, n int) ([]byte, bundle.Set) {
	c := &sardineknot.Configuration{}
	for i := range n {
		c.Contracts = append(c.Contracts, sardineknot.Contract{Account: sardineknot.ClientAccountName("account-" + strconv.Itoa(i))})
	}
	s, l, err := bundle.Split(c)
	is.New(t).NoErr(err)
	b, err := json.Marshal(sardineknot.ConfigurationHead{Revision: r, Author: author, Bundles: l})
	is.New(t).NoErr(err)
	return b, s
}

func offer(t is.T, k *Tracker, r sardineknot.Revision, n int) {
	h, s := stored(t, r, "", n)
	ok, err := k.Offer(h, s)
	is.New(t).NoErr(err)
	is.New(t).True(ok)
}

func checkInForce(t is.T, k *Tracker, r sardineknot.Revision, n int) {
	is.New(t).Equal(k.Current().Revision, r)
	is.New(t).Equal(len(k.Current().Contracts), n)
}

func checkRefused(t *testing.T, k *Tracker, h []byte, s bundle.Set) {
	t.Helper()
	var o *sardineknot.OlderConfigurationError
	_, err := k.Offer(h, s)
	is.New(t).True(errors.As(err, &o))
	checkInForce(t, k, 7, 5)
}

func TestOffer(t *testing.T) {
	k := NewTracker()
	c := k.Changed()
	offer(t, k, 7, 5)
	checkInForce(t, k, 7, 5)
	<-c // announced
	t.Run("older", func(t *testing.T) {
		h, s := stored(t, 6, "", 9)
		checkRefused(t, k, h, s)
	})
	t.Run("older than a floor that was passed", func(t *testing.T) {
		k := NewTracker()
		k.SetFloor(2)
		offer(t, k, 3, 5)
		h, _ := stored(t, 1, "", 9)
		_, _, err := k.Check(h)
		var o *sardineknot.OlderConfigurationError
		is.New(t).True(errors.As(err, &o))
		is.New(t).Equal(o.InForce, sardineknot.Revision(3))
	})
	t.Run("absent", func(t *testing.T) { checkRefused(t, k, nil, nil) })
	t.Run("equal revision with another content", func(t *testing.T) {
		h, s := stored(t, 7, "another", 5)
		checkRefused(t, k, h, s)
	})
	t.Run("the same again", func(t *testing.T) {
		h, s := stored(t, 7, "", 5)
		ok, err := k.Offer(h, s)
		is.New(t).NoErr(err)
		is.New(t).True(!ok)
	})
	t.Run("a bundle with another content", func(t *testing.T) {
		h, s := stored(t, 8, "", 6)
		for i := range s {
			s[i] = []byte("{}")
		}
		_, err := k.Offer(h, s)
		is.New(t).True(err != nil)
		checkInForce(t, k, 7, 5)
	})
	t.Run("a missing bundle", func(t *testing.T) {
		h, _ := stored(t, 8, "", 6)
		_, err := k.Offer(h, nil)
		is.New(t).True(err != nil)
		checkInForce(t, k, 7, 5)
	})
}

func TestFloor(t *testing.T) {
	k := NewTracker()
	k.SetFloor(3)
	h, s := stored(t, 2, "", 2)
	_, err := k.Offer(h, s)
	var o *sardineknot.OlderConfigurationError
	is.New(t).True(errors.As(err, &o))
	k.SetFloor(0)
	offer(t, k, 2, 2)
	t.Run("does not hide the revision in force", func(t *testing.T) {
		k.SetFloor(3)
		offer(t, k, 4, 4)
		_, err := k.Offer(h, s)
		is.New(t).True(errors.As(err, &o))
		is.New(t).Equal(o.InForce, sardineknot.Revision(4))
	})
}

func pass(t is.T, from, to *Tracker, all bool) *api.FetchResponse {
	p := from.Answer(to.Request(all))
	_, err := to.Take(p)
	var o *sardineknot.OlderConfigurationError
	is.New(t).True(err == nil || errors.As(err, &o))
	return p
}

func TestDifference(t *testing.T) {
	a, b := NewTracker(), NewTracker()
	offer(t, a, 1, 100)
	p := pass(t, a, b, false)
	is.New(t).True(!p.GetDifference()) // all at first
	offer(t, a, 2, 101)
	p = pass(t, a, b, false)
	is.New(t).True(p.GetDifference())
	is.New(t).Equal(len(p.GetBundles()), 1)
	checkInForce(t, b, 2, 101)
	offer(t, a, 3, 3)
	pass(t, a, b, false)
	checkInForce(t, b, 3, 3)
	t.Run("to a head that the peer does not have", func(t *testing.T) {
		c := NewTracker()
		h, s := stored(t, 2, "another", 101)
		_, err := c.Offer(h, s)
		is.New(t).NoErr(err)
		pass(t, a, c, false)
		checkInForce(t, c, 3, 3)
	})
	t.Run("applied to another head", func(t *testing.T) {
		c := NewTracker()
		offer(t, c, 1, 7)
		offer(t, a, 4, 4)
		p := a.Answer(b.Request(false))
		is.New(t).True(p.GetDifference())
		_, err := c.Take(p)
		var v *sardineknot.InvalidError
		is.New(t).True(errors.As(err, &v))
		checkInForce(t, c, 1, 7)
	})
}

// TestSpreadProperty passes configurations between trackers in random order,
// with stored heads that go back in time, and checks that no revision falls and
// that all agree in the end.
func TestSpreadProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := make([]*Tracker, 4)
		for i := range l {
			l[i] = NewTracker()
		}
		top := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 3).Draw(t, "to")
			r := l[i].Current().Revision
			if rapid.Bool().Draw(t, "from the store") {
				v := rapid.IntRange(1, 12).Draw(t, "revision")
				h, s := stored(t, sardineknot.Revision(v), "", v)
				_, _ = l[i].Offer(h, s)
				top = max(top, v)
			} else {
				pass(t, l[rapid.IntRange(0, 3).Draw(t, "from")], l[i], rapid.Bool().Draw(t, "all"))
			}
			if l[i].Current().Revision < r {
				t.Fatalf("revision fell from %d to %d", r, l[i].Current().Revision)
			}
		}
		for range 2 {
			for i := range l {
				pass(t, l[i], l[(i+1)%4], false)
			}
		}
		for _, k := range l {
			checkInForce(t, k, sardineknot.Revision(top), top)
		}
	})
}
