package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// result is what a client got.
type result struct {
	id      string
	sent    time.Time
	took    time.Duration
	status  int
	stamp   string
	body    string
	err     error
	leaving bool
}

var attempts atomic.Int64

// call sends a request to a host on a new channel.
func call(r *record, host *gateway, method, domain, path string, deadline time.Duration) result {
	i := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var b io.Reader
	if method == http.MethodPost {
		b = strings.NewReader("body of " + i)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+host.front+path, b)
	check(err)
	q.Host = domain
	q.Close = true
	q.Header.Set("Attempt-Id", i)
	q.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	v := result{id: i, sent: time.Now()}
	r.add("client: sends %s (%s %s) to %s", i, method, path, host.id)
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	p, err := t.RoundTrip(q)
	if err == nil {
		var l []byte
		l, err = io.ReadAll(p.Body)
		p.Body.Close()
		v.status, v.stamp, v.body = p.StatusCode, p.Header.Get("Server-Stamp"), string(l)
		v.leaving = p.Header.Get("Server-Leaving") != ""
	}
	v.err, v.took = err, time.Since(v.sent)
	r.add("client: %s from %s: status %d, stamp %q, error %v, %d ms", i, host.id, v.status, v.stamp, err, v.took.Milliseconds())
	return v
}
