package twirp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// refresh calls Refresh of the mirror of h. It waits for at most a second.
func (h *host) refresh() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return h.mirror.Refresh(ctx)
}

// checkRefresh writes a configuration and checks that h has read it after a refresh.
func (c *cluster) checkRefresh(t *testing.T, h *host, value string) {
	t.Helper()
	c.service.put("config", value)
	is := is.New(t)
	is.NoErr(h.refresh())
	v, _ := h.get("config")
	is.Equal(v, value)
}

// checkNoRefresh checks that h cannot refresh what it has read.
func checkNoRefresh(t *testing.T, h *host) {
	t.Helper()
	var u *sardineknot.UnavailableError
	is.New(t).True(errors.As(h.refresh(), &u))
}

// readers returns the hosts that read from followers.
func (c *cluster) readers() (l []*host) {
	for _, h := range c.hosts {
		if !h.feed.Selector.FollowsStore() {
			l = append(l, h)
		}
	}
	return l
}

// earlier is the service of a follower of an earlier build, which ignores the request
// to read the key-value service first.
type earlier struct {
	rpc.Changes
}

func (e earlier) Next(ctx context.Context, request *rpc.NextRequest) (*rpc.NextResponse, error) {
	request.Refresh = false
	return e.Changes.Next(ctx, request)
}

// TestRefresh guards against a host that takes its view for the present one although
// the host that it reads from, or the service itself, is out of reach.
func TestRefresh(t *testing.T) {
	run(t, "every host reads a change that was just made", func(t *testing.T) {
		c := start(t, 60, 3)
		c.checkRefresh(t, c.followers()[0], "2")
		c.checkRefresh(t, c.readers()[0], "3")
		c.checkRefresh(t, c.readers()[7], "4")
	})
	run(t, "a follower that is cut off from the service reads from another one", func(t *testing.T) {
		c := start(t, 60, 3)
		h := c.followers()[0]
		h.store.cut.Store(true)
		c.checkRefresh(t, h, "2")
	})
	run(t, "a reader whose follower is cut off from the service", func(t *testing.T) {
		c := start(t, 60, 3)
		for _, h := range c.followers()[:2] {
			h.store.cut.Store(true)
		}
		for _, h := range c.readers()[:6] {
			c.checkRefresh(t, h, h.entry.PeerAddress.String())
		}
	})
	run(t, "the calls to the service do not grow with the hosts that refresh", func(t *testing.T) {
		is := is.New(t)
		c := start(t, 295, 6)
		n := c.service.calls.Load()
		for range 100 {
			for _, h := range c.hosts {
				go func() { _ = h.refresh() }()
			}
			advance(10 * time.Millisecond)
		}
		advance(2 * time.Second)
		is.True(c.service.calls.Load()-n <= 12*30) // polls of followers, and those that refresh
	})
}

// TestRefreshFails guards against a view that is taken for the present one although
// neither the service nor a host that reads from it answers.
func TestRefreshFails(t *testing.T) {
	run(t, "a host that is cut off from all, with an outage that nobody has noticed yet", func(t *testing.T) {
		c := start(t, 60, 3)
		c.service.down.Store(true)
		for _, h := range c.hosts {
			checkNoRefresh(t, h)
		}
	})
	run(t, "a follower that reads from a host that is cut off itself", func(t *testing.T) {
		c := start(t, 8, 2)
		for _, h := range c.hosts {
			h.store.cut.Store(true)
		}
		for _, h := range c.hosts {
			checkNoRefresh(t, h)
		}
	})
	run(t, "followers of an earlier build do not count as read", func(t *testing.T) {
		c := start(t, 60, 3)
		for _, h := range c.followers() {
			h.useService(func(s rpc.Changes) rpc.Changes { return earlier{s} })
		}
		for _, h := range c.readers()[:3] {
			h.store.cut.Store(true)
			checkNoRefresh(t, h)
		}
	})
}

// useService replaces the service of h by the result of wrap.
func (h *host) useService(wrap func(rpc.Changes) rpc.Changes) {
	p, o := h.feed.Handler()
	m := http.NewServeMux()
	m.Handle(p, rpc.NewChangesServer(wrap(rpc.NewChangesProtobufClient("http://"+h.entry.PeerAddress.String(), handlerClient{o}))))
	h.handler = m
}

// handlerClient is an HTTP client of a handler.
type handlerClient struct {
	handler http.Handler
}

// Do implements rpc.HTTPClient.
func (c handlerClient) Do(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	c.handler.ServeHTTP(w, r)
	return w.Result(), nil
}
