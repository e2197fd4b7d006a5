//go:build review

// Package harness holds the scripts of the review. It runs the project's program as
// separate processes on loopback addresses, before stand-ins for the platform's
// store, servers and clients.
package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// cases maps the names of cases to their functions.
var cases = map[string]func(w *world) error{
	"versions": runVersions,
	"orders":   runOrders,
	"bodies":   runBodies,
	"stop":     runStop,
	"deadly":   runDeadly,
}

// TestMain runs the case named by the first argument, with the path of the record as
// the second one.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(statusFailed)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	ctx, stop := context.WithTimeout(ctx, 110*time.Second)
	w, err := newWorld(ctx, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusFailed)
	}
	w.log("case %s, disruption: %v", os.Args[1], w.trouble)
	err = cases[os.Args[1]](w)
	if d := os.Getenv("KEEP_LOGS"); d != "" {
		_ = os.CopyFS(d, os.DirFS(w.dir))
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		w.log("could not run: %v", err)
	}
	s := w.end()
	stop()
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusFailed)
	}
	fmt.Println("exit status", s)
	os.Exit(s)
}

// newClient returns an HTTP client that keeps its connections and follows nothing.
func newClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Timeout:       20 * time.Second,
	}
}

// configuration returns a configuration of the operator with the services and routes
// of the site akstur-knot. llm is the name of the service of model runners.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-stream", "host": "app.example", "prefix": "/trip/", "kind": "streaming", "timeoutMs": 14000, "sloMs": 900, "priority": 1, "service": "llm", "attempts": 2, "sticky": true, "canResume": true, "gapTargetMs": 300},
			map[string]any{"name": "r-note", "host": "app.example", "prefix": "/note/", "kind": "streaming", "timeoutMs": 14000, "sloMs": 900, "priority": 1, "service": "llm", "attempts": 1, "sticky": true, "canResume": false, "gapTargetMs": 300},
			map[string]any{"name": "r-post", "host": "app.example", "prefix": "/post/", "kind": "unsafe", "timeoutMs": 800, "sloMs": 150, "priority": 2, "service": "app", "attempts": 1},
			map[string]any{"name": "r-get", "host": "app.example", "prefix": "/get/", "kind": "safe", "timeoutMs": 800, "sloMs": 150, "priority": 2, "service": "app", "attempts": 2},
		},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/health", "maxConns": 200, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kvCapacity": 76997, "tokenKvBytes": 262144, "linkMbps": 9300000.0, "migrations": true, "backups": true, "stride": 73,
				"most": 12, "kvTtlS": 0.5, "roleSwitchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "app", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
	}
}
