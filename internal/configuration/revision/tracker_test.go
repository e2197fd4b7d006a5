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

// encodeStored returns the stored head and the bundles of a configuration with
// n accounts.
func encodeStored(t is.T, r sardineknot.Revision, author string, n int) ([]byte, bundle.Set) {
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

// offer puts a configuration of revision r with n accounts in force on k.
func offer(t is.T, k *Tracker, r sardineknot.Revision, n int) {
	h, s := encodeStored(t, r, "", n)
	ok, err := k.Offer(h, s)
	is.New(t).NoErr(err)
	is.New(t).True(ok)
}

func checkInForce(t is.T, k *Tracker, r sardineknot.Revision, n int) {
	is.New(t).Equal(k.Current().Revision, r)
	is.New(t).Equal(len(k.Current().Contracts), n)
}

// checkRefused checks that k rejects head h with a StaleConfigurationError and
// keeps revision 7 with five accounts in force.
func checkRefused(t *testing.T, k *Tracker, h []byte, s bundle.Set) {
	t.Helper()
	var o *sardineknot.StaleConfigurationError
	_, err := k.Offer(h, s)
	is.New(t).True(errors.As(err, &o))
	checkInForce(t, k, 7, 5)
}

func TestOffer(t *testing.T) {
	k := NewTracker()
	c := k.Changed()
	offer(t, k, 7, 5)
	checkInForce(t, k, 7, 5)
	<-c // Changed must be signaled
	t.Run("older", func(t *testing.T) {
		h, s := encodeStored(t, 6, "", 9)
		checkRefused(t, k, h, s)
	})
	t.Run("older than a minimum below the revision in force", func(t *testing.T) {
		k := NewTracker()
		k.SetMinRevision(2)
		offer(t, k, 3, 5)
		h, _ := encodeStored(t, 1, "", 9)
		_, _, err := k.Check(h)
		var o *sardineknot.StaleConfigurationError
		is.New(t).True(errors.As(err, &o))
		is.New(t).Equal(o.InForce, sardineknot.Revision(3))
	})
	t.Run("absent", func(t *testing.T) { checkRefused(t, k, nil, nil) })
	t.Run("same revision with different content", func(t *testing.T) {
		h, s := encodeStored(t, 7, "another", 5)
		checkRefused(t, k, h, s)
	})
	t.Run("identical head", func(t *testing.T) {
		h, s := encodeStored(t, 7, "", 5)
		ok, err := k.Offer(h, s)
		is.New(t).NoErr(err)
		is.New(t).True(!ok)
	})
	t.Run("bundle content does not match its hash", func(t *testing.T) {
		h, s := encodeStored(t, 8, "", 6)
		for i := range s {
			s[i] = []byte("{}")
		}
		_, err := k.Offer(h, s)
		is.New(t).True(err != nil)
		checkInForce(t, k, 7, 5)
	})
	t.Run("missing bundle", func(t *testing.T) {
		h, _ := encodeStored(t, 8, "", 6)
		_, err := k.Offer(h, nil)
		is.New(t).True(err != nil)
		checkInForce(t, k, 7, 5)
	})
}

func TestMinRevision(t *testing.T) {
	k := NewTracker()
	k.SetMinRevision(3)
	h, s := encodeStored(t, 2, "", 2)
	_, err := k.Offer(h, s)
	var o *sardineknot.StaleConfigurationError
	is.New(t).True(errors.As(err, &o))
	k.SetMinRevision(0)
	offer(t, k, 2, 2)
	t.Run("error reports a greater revision in force", func(t *testing.T) {
		k.SetMinRevision(3)
		offer(t, k, 4, 4)
		_, err := k.Offer(h, s)
		is.New(t).True(errors.As(err, &o))
		is.New(t).Equal(o.InForce, sardineknot.Revision(4))
	})
}

// transfer makes receiver fetch the configuration of sender, and returns the
// response of sender. A StaleConfigurationError is not a failure.
func transfer(t is.T, sender, receiver *Tracker, all bool) *api.FetchResponse {
	p := sender.Respond(receiver.Request(all))
	_, err := receiver.Apply(p)
	var o *sardineknot.StaleConfigurationError
	is.New(t).True(err == nil || errors.As(err, &o))
	return p
}

func TestDifference(t *testing.T) {
	a, b := NewTracker(), NewTracker()
	offer(t, a, 1, 100)
	p := transfer(t, a, b, false)
	is.New(t).True(!p.GetDifference()) // first transfer is complete
	offer(t, a, 2, 101)
	p = transfer(t, a, b, false)
	is.New(t).True(p.GetDifference())
	is.New(t).Equal(len(p.GetBundles()), 1)
	checkInForce(t, b, 2, 101)
	offer(t, a, 3, 3)
	transfer(t, a, b, false)
	checkInForce(t, b, 3, 3)
	t.Run("from a head that the peer does not have", func(t *testing.T) {
		c := NewTracker()
		h, s := encodeStored(t, 2, "another", 101)
		_, err := c.Offer(h, s)
		is.New(t).NoErr(err)
		transfer(t, a, c, false)
		checkInForce(t, c, 3, 3)
	})
	t.Run("applied to a different head", func(t *testing.T) {
		c := NewTracker()
		offer(t, c, 1, 7)
		offer(t, a, 4, 4)
		p := a.Respond(b.Request(false))
		is.New(t).True(p.GetDifference())
		_, err := c.Apply(p)
		var v *sardineknot.InvalidError
		is.New(t).True(errors.As(err, &v))
		checkInForce(t, c, 1, 7)
	})
}

// TestTransfersConverge transfers configurations between trackers in random
// order, while the store repeatedly returns older heads. It checks that no
// tracker's revision decreases and that all trackers end at the greatest
// revision.
func TestTransfersConverge(t *testing.T) {
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
				h, s := encodeStored(t, sardineknot.Revision(v), "", v)
				_, _ = l[i].Offer(h, s)
				top = max(top, v)
			} else {
				transfer(t, l[rapid.IntRange(0, 3).Draw(t, "from")], l[i], rapid.Bool().Draw(t, "all"))
			}
			if l[i].Current().Revision < r {
				t.Fatalf("revision fell from %d to %d", r, l[i].Current().Revision)
			}
		}
		for range 2 {
			for i := range l {
				transfer(t, l[i], l[(i+1)%4], false)
			}
		}
		for _, k := range l {
			checkInForce(t, k, sardineknot.Revision(top), top)
		}
	})
}
