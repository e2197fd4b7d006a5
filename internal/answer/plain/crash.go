package plain

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/quarantine/fingerprint"
)

// brokenOff reports whether the server may have ended while it ran the call. An
// exchange that this host has ended is no evidence of that.
func (o outcome) brokenOff(ctx context.Context) bool {
	var u *sardineknot.UnavailableError
	return ctx.Err() == nil && errors.As(o.err, &u) && u.ServerMayHaveEnded() && !errors.Is(o.err, errAnswerTooLong)
}

// reportCrash reports whether s may have ended while it ran c, which was sent at the
// time sent and had the outcome o.
func (r *Runner) reportCrash(ctx context.Context, s sardineknot.BackendServer, c *sardineknot.Call, o outcome, sent time.Time) {
	switch {
	case o.err == nil:
		r.Guard.ReportSound(s.Process(), c, sent)
	case o.brokenOff(ctx):
		r.Guard.ReportCrash(s.Process(), c, sent)
		r.Log.Warn().Stringer("event", sardineknot.LogCallBrokenOff).Str("request", string(c.ID)).Str("server", string(s.Name)).
			Stringer("traits", fingerprint.Of(c).All()).Dur("ran_ms", r.Clock.Now().Sub(sent)).Send()
	}
}
