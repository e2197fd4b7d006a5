package gossip

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

const interval = time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func host(n int, incarnation uint64, s sardineknot.EntryHostState) *api.Member {
	return &api.Member{
		Id:          "entry-" + strconv.Itoa(n),
		Incarnation: incarnation,
		State:       int32(s),
		PeerAddress: "127.0.0.1:" + strconv.Itoa(7000+n),
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestMergeConverges checks that views that merged the same records in
// different orders, any number of times, hold the same records and digest.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 20).Draw(t, "records")
		p := rapid.Permutation(l).Draw(t, "permutation")
		r := rapid.SliceOf(rapid.SampledFrom(l)).Draw(t, "repeated")
		a, b := newView(0), newView(0)
		// The death of an unknown host is ignored, so every host is added
		// first.
		for i := 1; i <= 4; i++ {
			a.Merge(start, []*api.Member{host(i, 1, sardineknot.EntryHostAlive)})
			b.Merge(start, []*api.Member{host(i, 1, sardineknot.EntryHostAlive)})
		}
		a.Merge(start, l)
		for _, m := range append(append([]*api.Member{}, p...), r...) {
			b.Merge(start, []*api.Member{m})
		}
		for k, e := range a.entries {
			if !proto.Equal(e.record, b.entries[k].record) {
				t.Fatalf("%s: %v and %v", k, e.record, b.entries[k].record)
			}
		}
		if a.Digest() != b.Digest() || a.Len() != b.Len() {
			t.Fatalf("digests differ")
		}
	})
}

func drawRecord(t *rapid.T) *api.Member {
	m := host(rapid.IntRange(1, 4).Draw(t, "host"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		sardineknot.EntryHostState(rapid.IntRange(0, 3).Draw(t, "state")))
	m.Refutation = rapid.Uint32Range(0, 2).Draw(t, "refutation")
	m.CallerAddress = rapid.SampledFrom([]string{"", "127.0.0.1:1"}).Draw(t, "address")
	return m
}

func newView(n int) *View {
	return NewView(start, host(n, 1, sardineknot.EntryHostAlive), interval)
}

func checkState(t *testing.T, v *View, now time.Time, n int, s sardineknot.EntryHostState) {
	t.Helper()
	i := sardineknot.EntryHostID("entry-" + strconv.Itoa(n))
	for _, h := range v.Hosts(now) {
		if h.ID == i {
			is.New(t).Equal(h.State, s)
			return
		}
	}
	t.Errorf("%s is not known", i)
}

func TestSuspicion(t *testing.T) {
	v := newView(0)
	v.Merge(start, []*api.Member{host(1, 1, sardineknot.EntryHostAlive)})
	v.Suspect(start, "entry-1", 1)
	checkState(t, v, start, 1, sardineknot.EntryHostSuspect)
	t.Run("refuted", func(t *testing.T) {
		m := host(1, 1, sardineknot.EntryHostAlive)
		m.Refutation = 1
		v.Merge(start, []*api.Member{m})
		v.Advance(start.Add(v.SuspicionTimeout()), true)
		checkState(t, v, start, 1, sardineknot.EntryHostAlive)
	})
	t.Run("dead after the suspicion timeout", func(t *testing.T) {
		v.Suspect(start, "entry-1", 1)
		v.Advance(start.Add(v.SuspicionTimeout()-1), true)
		checkState(t, v, start, 1, sardineknot.EntryHostSuspect)
		v.Advance(start.Add(v.SuspicionTimeout()), true)
		checkState(t, v, start, 1, sardineknot.EntryHostDead)
	})
	t.Run("death is final within an incarnation", func(t *testing.T) {
		m := host(1, 1, sardineknot.EntryHostAlive)
		m.Refutation = 9
		v.Merge(start, []*api.Member{m})
		checkState(t, v, start, 1, sardineknot.EntryHostDead)
	})
	t.Run("a restarted host is alive", func(t *testing.T) {
		v.Merge(start, []*api.Member{host(1, 2, sardineknot.EntryHostAlive)})
		checkState(t, v, start, 1, sardineknot.EntryHostAlive)
	})
	t.Run("suspicion of an old incarnation is ignored", func(t *testing.T) {
		v.Suspect(start, "entry-1", 1)
		checkState(t, v, start, 1, sardineknot.EntryHostAlive)
	})
}

func TestRefutesRecordsOfSelf(t *testing.T) {
	t.Run("suspicion is refuted", func(t *testing.T) {
		v := newView(0)
		is.New(t).True(!v.Merge(start, []*api.Member{host(0, 1, sardineknot.EntryHostSuspect)}))
		is.New(t).Equal(v.Self().GetRefutation(), uint32(1))
		is.New(t).Equal(v.Self().GetIncarnation(), uint64(1))
	})
	t.Run("death is refuted by a new incarnation", func(t *testing.T) {
		v := newView(0)
		is.New(t).True(v.Merge(start, []*api.Member{host(0, 1, sardineknot.EntryHostDead)}))
		is.New(t).Equal(v.Self().GetIncarnation(), uint64(start.UnixNano()))
		checkState(t, v, start, 0, sardineknot.EntryHostAlive)
	})
	t.Run("the clock was set back before a restart", func(t *testing.T) {
		v := newView(0)
		f := uint64(start.UnixNano()) + 5
		v.Merge(start, []*api.Member{host(0, f, sardineknot.EntryHostAlive)})
		is.New(t).Equal(v.Self().GetIncarnation(), f+1)
	})
	t.Run("a leaving host stays leaving", func(t *testing.T) {
		v := newView(0)
		v.Leave(start)
		v.Merge(start, []*api.Member{host(0, 1, sardineknot.EntryHostDead)})
		checkState(t, v, start, 0, sardineknot.EntryHostLeaving)
	})
}

func TestLeavingHostDies(t *testing.T) {
	v := newView(0)
	v.Merge(start, []*api.Member{host(1, 1, sardineknot.EntryHostLeaving)})
	v.Suspect(start, "entry-1", 1)
	checkState(t, v, start, 1, sardineknot.EntryHostLeaving)
	v.Advance(start.Add(v.SuspicionTimeout()), true)
	checkState(t, v, start, 1, sardineknot.EntryHostDead)
	is.New(t).True(!v.MostHostsLost()) // hosts that left before they died are not counted
}

func TestFlappingHostStaysSuspect(t *testing.T) {
	v := newView(0)
	for i := range flapThreshold {
		m := host(1, 1, sardineknot.EntryHostAlive)
		m.Refutation = uint32(i)
		v.Merge(start, []*api.Member{m})
		v.Suspect(start, "entry-1", 1)
	}
	m := host(1, 1, sardineknot.EntryHostAlive)
	m.Refutation = flapThreshold
	v.Merge(start, []*api.Member{m})
	checkState(t, v, start, 1, sardineknot.EntryHostSuspect)
	checkState(t, v, start.Add(flapDecayIntervals*interval), 1, sardineknot.EntryHostAlive)
}

func TestMostHostsLost(t *testing.T) {
	v := newView(0)
	for i := 1; i <= 4; i++ {
		v.Merge(start, []*api.Member{host(i, 1, sardineknot.EntryHostAlive)})
	}
	for i, w := range []bool{false, false, true} {
		v.Suspect(start, sardineknot.EntryHostID("entry-"+strconv.Itoa(i+1)), 1)
		is.New(t).Equal(v.MostHostsLost(), w)
	}
}

func TestBackendStates(t *testing.T) {
	a, b := newView(0), newView(1)
	a.SetBackend(start, "decode-1", true)
	b.Merge(start, a.Changes(10))
	is.New(t).True(b.LeavingBackends()["decode-1"])
	b.SetBackend(start, "decode-1", false) // the clock has not advanced
	a.Merge(start, b.Changes(10))
	is.New(t).Equal(len(a.LeavingBackends()), 0)
}
