package gateway

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
)

// reloadInterval is the interval at which the settings are read again to detect
// changes that were not announced by a signal.
const reloadInterval = 2 * time.Second

// watchSettings reloads the settings on a signal and periodically until ctx is
// done. It always returns nil.
func (p *Process) watchSettings(ctx context.Context) error {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-p.ReloadSignals:
			p.Log.Info().Stringer("event", sardineknot.LogReloadAsked).Send()
			p.reload()
		case <-t.C:
			p.reload()
		case <-ctx.Done():
			return nil
		}
	}
}

// reload reads the settings again. Changes of the retry limits, of the stop limit
// and of the bounds of what is read take effect immediately. Changes of all other settings, such as the
// identity of the host and its addresses, are logged but require a restart.
func (p *Process) reload() {
	s, err := p.LoadSettings()
	if err != nil {
		p.Log.Error().Stringer("event", sardineknot.LogSettingsRefused).Err(err).Send()
		return
	}
	p.settingsLock.Lock()
	defer p.settingsLock.Unlock()
	if s == p.lastRead {
		return
	}
	p.lastRead = s
	r := needsRestart(p.Settings, s)
	p.Log.Info().Stringer("event", sardineknot.LogSettingsChanged).Float64("retry_ratio", s.RetryRatio).Float64("retry_slack", s.RetrySlack).
		Dur("stop_limit_ms", s.StopLimit).Dur("read_bound_ms", s.ReadBound()).Bool("needs_restart", r).Send()
	p.budgets.SetBounds(s.RetryRatio, s.RetrySlack)
	p.Settings.RetryRatio, p.Settings.RetrySlack = s.RetryRatio, s.RetrySlack
	p.Settings.StopLimit = s.StopLimit
	p.Settings.ConfigurationBound, p.Settings.LeavingBound = s.ConfigurationBound, s.LeavingBound
}

// readBound returns the result of ReadBound for the current settings.
func (p *Process) readBound() time.Duration {
	p.settingsLock.Lock()
	defer p.settingsLock.Unlock()
	return p.Settings.ReadBound()
}

// stopLimit returns the current setting StopLimit.
func (p *Process) stopLimit() time.Duration {
	p.settingsLock.Lock()
	defer p.settingsLock.Unlock()
	return p.Settings.StopLimit
}

// needsRestart reports whether old and updated differ in settings that take
// effect only after a restart.
func needsRestart(old, updated sardineknot.GatewaySettings) bool {
	updated.RetryRatio, updated.RetrySlack = old.RetryRatio, old.RetrySlack
	updated.StopLimit = old.StopLimit
	updated.ConfigurationBound, updated.LeavingBound = old.ConfigurationBound, old.LeavingBound
	return old != updated
}
