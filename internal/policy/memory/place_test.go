package memory_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

func TestCachedPrompt(t *testing.T) {
	is := is.New(t)
	s := newTwoPrefills()
	for i, k := range []sardineknot.BackendServerName{"p", "q", "q", "p"} {
		j := job(fmt.Sprint("again", i), start, 2000, 1000)
		j.CachedOn = k
		is.Equal(granted(s.Submit(start, j), fmt.Sprint("again", i)).PrefillEngine, k)
	}
}

func TestLocalPrefill(t *testing.T) {
	t.Run("without prefill engines, decode engines prefill only short prompts", func(t *testing.T) {
		is := is.New(t)
		s := memory.NewScheduler()
		s.SetServers(start, []sardineknot.BackendServer{server("d", sardineknot.RoleDecode)}, nil)
		g := granted(s.Submit(start, job("short", start, 2000, 1000)), "short")
		is.Equal(g, sardineknot.Grant{PrefillEngine: "d", DecodeEngine: "d"})
		g = granted(s.Submit(start, job("long", start, sardineknot.MaxLocalPrefillTokens+1, 1000)), "long")
		is.Equal(g, sardineknot.Grant{})
	})
	t.Run("a decode engine prefills the prompt if prefill engines are backlogged", func(t *testing.T) {
		// During a replacement of servers, a burst met only two prefill
		// engines, and callers were refused although decode engines had memory
		// available.
		is := is.New(t)
		s := newScheduler(1)
		for i := range 4 {
			s.Submit(start, job(fmt.Sprintf("ahead%d", i), start, sardineknot.MaxLocalPrefillTokens+1, 1000))
		}
		g := granted(s.Submit(start, job("short", start, 2000, 1000)), "short")
		is.Equal(g, sardineknot.Grant{PrefillEngine: "d0", DecodeEngine: "d0"})
	})
	t.Run("a restarted server has no jobs", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		saturate(s, start)
		d := server("d0", sardineknot.RoleDecode)
		d.Born = 7
		s.SetServers(start, []sardineknot.BackendServer{server("p", sardineknot.RolePrefill), d}, nil)
		is.Equal(granted(s.Submit(start, job("next", start, 5000, 4000)), "next").DecodeEngine, sardineknot.BackendServerName("d0"))
	})
}
