package events_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// explorerSeeds is the default of EXPLORER_SEEDS, the number of runs of each
	// kind.
	explorerSeeds = 5000
	// streamEvents is the number of events of a complete stream.
	streamEvents = 8
	// eventInterval is the time between two events of an engine that works.
	eventInterval = 40 * time.Millisecond
	// timeUnit is the unit of all times, which makes events coincide.
	timeUnit = 20 * time.Millisecond
	// longestSilence is the longest silence of a sound engine.
	longestSilence = 2 * time.Second
)

// explorerRegressions lists seeds that have failed before, with the cause.
var explorerRegressions = []uint64{
	6124,  // an engine was given up as its first event arrived, and then accepted
	35705, // a timer that had fired began a takeover after an event had arrived
}

// exchange is the work of one engine on the stream, as the engine sees it.
type exchange struct {
	engine     sardineknot.BackendServerName
	began, end time.Time
	// ran is set if the engine did not refuse the call.
	ran bool
}

// explorer is a slot pool, a forwarder and a caller whose behaviour is drawn at
// random. It records what happens, and violations of the invariants of a stream.
type explorer struct {
	// calm is set if engines are sound: they refuse, owe their header and fall
	// silent, but do not fail.
	calm   bool
	random *rand.Rand
	// resumes draws how engines go on with a stream, apart from random so that the
	// regressions stay what they are.
	resumes *rand.Rand

	mu        sync.Mutex
	exchanges []*exchange
	// open holds the granted jobs that have no final report yet.
	open map[sardineknot.RequestKey]bool
	// received is the number of events that the caller has, and version the
	// software version of the engine that sent the first one.
	received   int
	version    string
	headers    int
	trace      []string
	violations []string
}

func newExplorer(seed uint64, calm bool) *explorer {
	return &explorer{calm: calm, random: rand.New(rand.NewPCG(seed, 1)), resumes: rand.New(rand.NewPCG(seed, 2)), open: make(map[sardineknot.RequestKey]bool)}
}

// chance reports true with probability p.
func (x *explorer) chance(p float64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.random.Float64() < p
}

// duration returns a random duration below limit, a multiple of timeUnit.
func (x *explorer) duration(limit time.Duration) time.Duration {
	return time.Duration(x.number(int(limit/timeUnit))) * timeUnit
}

// number returns a random number below limit.
func (x *explorer) number(limit int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.random.IntN(limit)
}

func (x *explorer) note(format string, arguments ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.trace = append(x.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

func (x *explorer) violate(format string, arguments ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.violations = append(x.violations, fmt.Sprintf(format, arguments...))
}

// versionOf returns the software version of an engine, which its name ends with.
func versionOf(n sardineknot.BackendServerName) string { return string(n[len(n)-2:]) }

// pause waits for d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Acquire implements sardineknot.SlotPool. Now and then it grants an engine of
// another version than the job requires, as an owner without that rule does.
func (x *explorer) Acquire(ctx context.Context, j sardineknot.Job) (sardineknot.Grant, error) {
	if err := pause(ctx, x.duration(200*time.Millisecond)); err != nil {
		return sardineknot.Grant{}, err
	}
	if len(x.exchanges) > 0 && x.chance(0.3) {
		x.note("job %s refused", j.Key.ID)
		return sardineknot.Grant{}, errors.WithStack(&sardineknot.NotRunError{Reason: "full"})
	}
	l := slices.Clone(explorerEngines)
	if j.SoftwareVersion != "" && x.chance(0.95) {
		l = slices.DeleteFunc(l, func(n sardineknot.BackendServerName) bool { return versionOf(n) != string(j.SoftwareVersion) })
	}
	d := l[x.number(len(l))]
	x.note("job %s granted %s", j.Key.ID, d)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open[j.Key] = true
	return sardineknot.Grant{PrefillEngine: "p", DecodeEngine: d}, nil
}

func (x *explorer) PrefillDone(context.Context, sardineknot.Job) (sardineknot.BackendServerName, error) {
	return "", nil
}

// Report implements sardineknot.SlotPool.
func (x *explorer) Report(j sardineknot.Job, e sardineknot.JobEvent) {
	if e.Kind != sardineknot.JobFinished && e.Kind != sardineknot.JobFailed && e.Kind != sardineknot.JobCancelled {
		return
	}
	x.mu.Lock()
	k := x.open[j.Key]
	delete(x.open, j.Key)
	x.mu.Unlock()
	if !k {
		x.violate("job %s ended twice", j.Key.ID)
	}
}

// Prefill implements sardineknot.Forwarder.
func (x *explorer) Prefill(ctx context.Context, _ sardineknot.BackendServer, _ *sardineknot.Call, _ time.Time) (sardineknot.KVCacheReference, error) {
	err := pause(ctx, x.duration(150*time.Millisecond))
	if err == nil && x.chance(0.1) && (!x.calm || len(x.exchanges) > 0) {
		err = errReset
	}
	return sardineknot.KVCacheReference{Handle: "k"}, err
}

func (x *explorer) ReleaseCache(context.Context, sardineknot.KVCacheReference) error { return nil }

func (x *explorer) Load(context.Context, sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	return sardineknot.LoadReport{}, nil
}

// Forward implements sardineknot.Forwarder.
func (x *explorer) Forward(ctx context.Context, s sardineknot.BackendServer, _ *sardineknot.Call, o sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	x.note("sent to %s after %d", s.Name, o.ResumeAfter)
	x.mu.Lock()
	first := len(x.exchanges) == 0
	k := &exchange{engine: s.Name, began: time.Now()}
	x.exchanges = append(x.exchanges, k)
	x.mu.Unlock()
	if !(x.calm && first) && x.chance(0.15) {
		x.note("%s refuses", s.Name)
		x.finish(k)
		return nil, errors.WithStack(&sardineknot.RefusedError{Server: s.Name, Status: http.StatusServiceUnavailable})
	}
	k.ran = true
	err := pause(ctx, x.headerDelay())
	if err == nil && !x.calm && x.chance(0.1) {
		err = errReset
	}
	if err != nil {
		x.note("%s: no header: %v", s.Name, err)
		x.finish(k)
		return nil, err
	}
	b := &explorerBody{explorer: x, ctx: ctx, exchange: k, next: o.ResumeAfter + 1, last: streamEvents}
	x.drawResume(b)
	return &sardineknot.Response{Status: http.StatusOK, Header: make(http.Header), Body: b}, nil
}

// headerDelay returns the time until an engine sends its header.
func (x *explorer) headerDelay() time.Duration {
	switch {
	case x.chance(0.8):
		return x.duration(100 * time.Millisecond)
	case !x.calm && x.chance(0.3):
		return time.Hour
	default:
		return x.duration(longestSilence)
	}
}

func (x *explorer) finish(k *exchange) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if k.end.IsZero() {
		k.end = time.Now()
	}
}

// explorerBody is the stream of an engine.
type explorerBody struct {
	*explorer
	ctx      context.Context
	exchange *exchange
	next     int
	last     int
	rest     string
}

// drawResume draws how the engine of b goes on with a stream: now and then it repeats the
// stream, repeats a part of it that the caller has and ends, or leaves an event out.
func (x *explorer) drawResume(b *explorerBody) {
	after := b.next - 1
	if x.calm || after == 0 {
		return
	}
	x.mu.Lock()
	n := x.resumes.IntN(12)
	x.mu.Unlock()
	switch {
	case n == 0:
		b.next = 1
	case n == 1:
		b.next = 1 + after/2
	case n == 2 && after > 1:
		b.next, b.last = 1, after-1
	case n <= 4 && after < streamEvents-1:
		b.next++
	}
	x.note("%s goes on at %d and ends at %d", b.exchange.engine, b.next, b.last)
}

// Read implements io.Reader.
func (b *explorerBody) Read(p []byte) (int, error) {
	if b.rest == "" {
		err := b.prepare()
		if err != nil {
			b.finish(b.exchange)
			return 0, err
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// prepare waits for the next event, or for the end of the stream.
func (b *explorerBody) prepare() error {
	if b.next > b.last {
		return io.EOF
	}
	d := eventInterval
	switch {
	case b.chance(0.08):
		d = b.duration(longestSilence)
		b.note("%s silent for %v", b.exchange.engine, d)
	case !b.calm && b.chance(0.04):
		b.note("%s hangs", b.exchange.engine)
		d = time.Hour
	}
	if err := pause(b.ctx, d); err != nil {
		return err
	}
	if !b.calm && b.chance(0.05) {
		b.note("%s breaks off", b.exchange.engine)
		return errReset
	}
	b.rest = fmt.Sprintf("id: %d\ndata: %s %d\n\n", b.next, versionOf(b.exchange.engine), b.next)
	b.next++
	if !b.calm && b.chance(0.02) {
		b.note("%s ends in the middle of an event", b.exchange.engine)
		b.rest, b.next = b.rest[:len(b.rest)/2], streamEvents+1
	}
	return nil
}

func (b *explorerBody) Close() error {
	b.finish(b.exchange)
	return nil
}

// SendHeader implements sardineknot.AnswerWriter.
func (x *explorer) SendHeader(int, http.Header) { x.headers++ }

// Write implements sardineknot.AnswerWriter. Now and then the caller is slow.
func (x *explorer) Write(b []byte) error {
	if x.chance(0.02) {
		d := x.duration(longestSilence)
		x.note("caller slow for %v", d)
		time.Sleep(d)
	}
	x.received++
	v := string(b[strings.Index(string(b), "data: ")+len("data: "):][:2])
	if x.received == 1 {
		x.version = v
	}
	if string(b) != fmt.Sprintf("id: %d\ndata: %s %d\n\n", x.received, x.version, x.received) {
		x.violate("event %d of a stream at %s is %q", x.received, x.version, b)
	}
	return nil
}

// explorerEngines holds the decode engines of an explorer.
var explorerEngines = []sardineknot.BackendServerName{"a-v1", "b-v1", "c-v2", "d-v2"}

// explore runs one stream and returns what happened.
func explore(t *testing.T, seed uint64, calm bool) *explorer {
	x := newExplorer(seed, calm)
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(nil, x)
		r.Forwarder, r.Versions = x, versions{}
		s, _ := r.Source.(*source)
		for _, n := range explorerEngines {
			s.BackendServers = append(s.BackendServers, sardineknot.BackendServer{Name: n, State: sardineknot.BackendJoining, SoftwareVersion: sardineknot.SoftwareVersion(versionOf(n))})
		}
		c := newCall(true)
		c.Route.Attempts = 1 + int(seed%3)
		ctx, cancel := context.WithDeadline(t.Context(), c.Deadline)
		err := r.Run(ctx, c, x)
		x.note("ends with %v after %d events", err, x.received)
		cancel()
		synctest.Wait()
		x.check(c, err)
	})
	return x
}

// check records violations that show at the end of a stream that ended with err.
func (x *explorer) check(c *sardineknot.Call, err error) {
	var n *sardineknot.NotRunError
	runs := x.runs()
	switch {
	case err == nil && x.received != streamEvents:
		x.violate("the answer looks complete")
	case x.headers > 1:
		x.violate("%d headers", x.headers)
	case runs > c.Route.Attempts:
		x.violate("ran on %d engines, allowed %d", runs, c.Route.Attempts)
	case errors.As(err, &n) && runs > 0:
		x.violate("refused as not run, ran on %d engines", runs)
	case x.calm && err != nil && time.Now().Before(c.Deadline):
		x.violate("a silence ended the answer: %v", err)
	}
	if len(x.open) > 0 {
		x.violate("%d jobs did not end", len(x.open))
	}
	x.checkOverlaps()
}

// runs returns the number of engines that did not refuse the call.
func (x *explorer) runs() (n int) {
	for _, k := range x.exchanges {
		if k.ran {
			n++
		}
	}
	return n
}

// checkOverlaps records a violation if two engines worked on the stream at the
// same time for longer than maxOverlap.
func (x *explorer) checkOverlaps() {
	for i, a := range x.exchanges {
		for _, b := range x.exchanges[i+1:] {
			e := a.end
			if b.end.Before(e) {
				e = b.end
			}
			if a.ran && b.ran && e.Sub(b.began) > maxOverlap {
				x.violate("%s and %s worked for %v", a.engine, b.engine, e.Sub(b.began))
			}
		}
	}
}

// TestExplorer runs streams over engines, pools and callers of random behaviour
// in virtual time and checks the invariants of a stream: its events come once
// and in order and none is left out, from engines of one software version; it runs on no more engines
// than allowed, and on two at once only briefly; it is refused as not run only
// if it did not run; every granted job ends once; and if engines are only silent,
// it is answered whole. A failure shows the shortest trace.
func TestExplorer(t *testing.T) {
	n := explorerSeeds
	if v, err := strconv.Atoi(os.Getenv("EXPLORER_SEEDS")); err == nil {
		n = v
	}
	var l []uint64
	for s := range uint64(n) {
		l = append(l, s)
	}
	for _, calm := range []bool{false, true} {
		var worst *explorer
		for _, s := range append(l, explorerRegressions...) {
			x := explore(t, s, calm)
			if len(x.violations) > 0 && (worst == nil || len(x.trace) < len(worst.trace)) {
				worst = x
				worst.note("seed %d", s)
			}
		}
		if worst != nil {
			t.Errorf("calm %v: %s\n%s", calm, strings.Join(worst.violations, "; "), strings.Join(worst.trace, "\n"))
		}
	}
}
