package gateway

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
)

// reloadInterval is the time between two looks at the settings for changes
// that no signal tells of.
const reloadInterval = 2 * time.Second

// follow takes in changes of the settings until ctx is done.
func (p *Process) follow(ctx context.Context) error {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-p.Reload:
			p.Log.Info().Stringer("event", sardineknot.LogReloadAsked).Send()
			p.reload()
		case <-t.C:
			p.reload()
		case <-ctx.Done():
			return nil
		}
	}
}

// reload reads the settings again. Bounds of retries and the time to stop
// change at once; what the process listens on and its identity do not.
func (p *Process) reload() {
	s, err := p.Load()
	if err != nil {
		p.Log.Error().Stringer("event", sardineknot.LogSettingsRefused).Err(err).Send()
		return
	}
	p.settingsLock.Lock()
	defer p.settingsLock.Unlock()
	if s == p.Settings {
		return
	}
	r := restarts(p.Settings, s)
	p.Log.Info().Stringer("event", sardineknot.LogSettingsChanged).Float64("retry_ratio", s.RetryRatio).Float64("retry_slack", s.RetrySlack).
		Dur("stop_limit_ms", s.StopLimit).Bool("needs_restart", r).Send()
	p.budgets.SetBounds(s.RetryRatio, s.RetrySlack)
	p.Settings.RetryRatio, p.Settings.RetrySlack, p.Settings.StopLimit = s.RetryRatio, s.RetrySlack, s.StopLimit
}

// stopLimit returns the time that the process has to stop.
func (p *Process) stopLimit() time.Duration {
	p.settingsLock.Lock()
	defer p.settingsLock.Unlock()
	return p.Settings.StopLimit
}

// restarts reports whether a and b differ in what only a restart changes.
func restarts(a, b sardineknot.GatewaySettings) bool {
	b.RetryRatio, b.RetrySlack, b.StopLimit = a.RetryRatio, a.RetrySlack, a.StopLimit
	return a != b
}
