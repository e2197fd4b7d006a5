// Package engines finds the software versions of streams in the load reports of engines.
//
// When all entry hosts lose power, the engines go on with the streams of these hosts for
// some seconds, since nothing closes the connections. The report of an engine lists the
// calls that it runs by the identifiers of the callers' attempts, so that the engine's own
// version is that of each stream which began there. An engine that has sent no event may
// have been replaced by another before the stream began, and does not count.
//
// The reports of all decode engines of a service are read together, only when a stream is
// looked up that nothing else lists, and shared by all lookups.
package engines

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/backoff"
)

const (
	// maxEngines is the number of decode engines up to which a service is queried, and
	// maxQueries the number of concurrent queries.
	maxEngines = 256
	maxQueries = 32
	// readTimeout bounds a read of all reports, and so the time for which a lookup waits.
	readTimeout = 400 * time.Millisecond
	// minInterval is the least time between the begins of two reads of a service. It is
	// longer if queryInterval for each engine takes longer.
	minInterval   = 500 * time.Millisecond
	queryInterval = 10 * time.Millisecond
	// retention is the time for which a reported call is remembered. Its caller may return
	// after the engine has ended it.
	retention = 15 * time.Second
)

// Finder is a sardineknot.RunningStreams. All exported fields must be set before use.
type Finder struct {
	// Source provides the engines.
	Source sardineknot.ConfigurationSource
	// Forwarder requests the reports.
	Forwarder sardineknot.Forwarder
	// Backoffs records which engines want no requests from this host.
	Backoffs *backoff.Set
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Log receives an event for each read.
	Log zerolog.Logger
	// Metrics receives the numbers of queries.
	Metrics metrics.Registry

	mu sync.Mutex
	// services holds what was read of each service.
	services map[sardineknot.ServiceName]*serviceRuns
}

var _ sardineknot.RunningStreams = (*Finder)(nil)

// serviceRuns holds the calls that the engines of a service have reported. Its fields are
// guarded by the mutex of the finder.
type serviceRuns struct {
	runs map[sardineknot.RequestID]run
	// nextAt is the time before which no other read begins, and reading is closed at the
	// end of the last read. Both are zero before the first one.
	nextAt  time.Time
	reading chan struct{}
}

// run is a call that engines have reported.
type run struct {
	// version is the version of all these engines. It is empty if they differ.
	version sardineknot.SoftwareVersion
	// confirmed is set once the reports of all engines of other versions were read
	// together with one that lists the call.
	confirmed bool
	// reportedAt is the time of the last report that lists the call.
	reportedAt time.Time
}

// Version implements sardineknot.RunningStreams.
func (f *Finder) Version(ctx context.Context, stream sardineknot.RequestID, service sardineknot.ServiceName) (sardineknot.SoftwareVersion, bool) {
	v, ok := f.known(stream, service)
	if ok {
		return v, true
	}
	select {
	case <-f.read(service):
	case <-ctx.Done():
	}
	return f.known(stream, service)
}

// known returns the version of stream as far as the reports were read.
func (f *Finder) known(stream sardineknot.RequestID, service sardineknot.ServiceName) (sardineknot.SoftwareVersion, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil {
		return "", false
	}
	r := s.runs[stream]
	ok := r.version != "" && r.confirmed && f.Clock.Now().Sub(r.reportedAt) < retention
	if !ok {
		return "", false
	}
	return r.version, true
}

// read begins to read the reports of the engines of service, unless they are being read or
// were read just now. The channel that it returns is closed at the end of the read.
func (f *Finder) read(service sardineknot.ServiceName) <-chan struct{} {
	l := f.decodeEngines(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services == nil {
		f.services = make(map[sardineknot.ServiceName]*serviceRuns)
	}
	s := f.services[service]
	if s == nil {
		s = &serviceRuns{runs: make(map[sardineknot.RequestID]run)}
		f.services[service] = s
	}
	n := f.Clock.Now()
	if s.reading != nil && n.Before(s.nextAt) {
		return s.reading
	}
	c := make(chan struct{})
	s.reading, s.nextAt = c, n.Add(max(minInterval, queryInterval*time.Duration(len(l))))
	go func() {
		defer close(c)
		f.readReports(service, l)
	}()
	return c
}

// decodeEngines returns the decode engines of service, also those that are leaving.
func (f *Finder) decodeEngines(service sardineknot.ServiceName) []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for _, b := range f.Source.Current().BackendServers {
		if b.Role == sardineknot.RoleDecode && sardineknot.ServiceName(b.Service) == service {
			l = append(l, b)
		}
	}
	return l
}

// readReports queries engines and records the calls that they report. It has no effect if
// there are too many engines.
func (f *Finder) readReports(service sardineknot.ServiceName, engines []sardineknot.BackendServer) {
	n := f.Clock.Now()
	l := make([]report, len(engines))
	if len(engines) <= maxEngines {
		f.query(engines, l)
	}
	u, k := f.record(service, engines, l)
	f.Log.Info().Stringer("event", sardineknot.LogRunningStreamsRead).Str("service", string(service)).Int("engines", len(engines)).
		Int("unread", u).Int("running", k).Dur("took_ms", f.Clock.Now().Sub(n)).Send()
}

// report is the result of a query of one engine. ok is false if it is not known which calls
// the engine runs.
type report struct {
	sardineknot.LoadReport
	ok bool
}

// query requests the reports of engines. It sets the elements of reports for those that
// answer within readTimeout.
func (f *Finder) query(engines []sardineknot.BackendServer, reports []report) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxQueries)
	for i, b := range engines {
		g.Go(func() error {
			reports[i] = f.queryEngine(ctx, b)
			return nil
		})
	}
	// The queries log their errors and return nil.
	_ = g.Wait()
}

// queryEngine requests the report of engine, unless it has asked for no requests.
func (f *Finder) queryEngine(ctx context.Context, engine sardineknot.BackendServer) report {
	if ctx.Err() != nil || f.Backoffs.Left(f.Clock.Now(), engine) > 0 {
		return report{}
	}
	metrics.GetOrRegisterCounter("version_engine_queries", f.Metrics).Inc(1)
	r, err := f.Forwarder.Load(ctx, engine)
	if err != nil {
		f.Log.Debug().Stringer("event", sardineknot.LogLoadUnknown).Str("server", string(engine.Name)).Err(err).Send()
	}
	return report{LoadReport: r, ok: err == nil || isGone(err)}
}

// isGone reports whether err shows that the process of an engine has ended: its address
// accepts no connections, or belongs to another process. It runs no calls then.
func isGone(err error) bool {
	var u *sardineknot.UnsentError
	var r *sardineknot.RefusedError
	return errors.As(err, &u) && errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &r) && r.Status == http.StatusMisdirectedRequest
}

// record records the calls in reports, which are those of engines, and drops old ones. It
// returns the numbers of engines without a report and of calls in all reports.
func (f *Finder) record(service sardineknot.ServiceName, engines []sardineknot.BackendServer, reports []report) (unread, running int) {
	m := make(map[sardineknot.SoftwareVersion]bool)
	for i, b := range engines {
		if !reports[i].ok {
			m[b.SoftwareVersion] = true
			unread++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s, n := f.services[service], f.Clock.Now()
	for c, r := range s.runs {
		if n.Sub(r.reportedAt) >= retention {
			delete(s.runs, c)
		}
	}
	for i, b := range engines {
		v := b.SoftwareVersion
		k := len(m) == 0 || len(m) == 1 && m[v]
		for _, u := range reports[i].RunningRequests {
			running++
			if u.Events > 0 {
				s.add(u.ID, run{version: v, confirmed: k, reportedAt: n})
			}
		}
	}
	return unread, running
}

// add records that an engine has reported the call id.
func (s *serviceRuns) add(id sardineknot.RequestID, reported run) {
	o, ok := s.runs[id]
	if ok && o.version != reported.version {
		reported.version = ""
	}
	reported.confirmed = reported.confirmed || o.confirmed
	s.runs[id] = reported
}
