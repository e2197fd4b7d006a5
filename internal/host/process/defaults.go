package process

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	defaultPlacementValidity = 30 * time.Second
	defaultReconnectGrace    = 500 * time.Millisecond
	defaultAnswerRetention   = time.Minute
	defaultHeartbeat         = time.Second
	defaultDrainLimit        = 10 * time.Minute
)

// withDefaults returns s with each duration that is zero and has a default
// above set to that default.
func withDefaults(s sardineknot.Settings) sardineknot.Settings {
	s.PlacementValidity = orDefault(s.PlacementValidity, defaultPlacementValidity)
	s.ReconnectGrace = orDefault(s.ReconnectGrace, defaultReconnectGrace)
	s.AnswerRetention = orDefault(s.AnswerRetention, defaultAnswerRetention)
	s.Heartbeat = orDefault(s.Heartbeat, defaultHeartbeat)
	s.DrainLimit = orDefault(s.DrainLimit, defaultDrainLimit)
	return s
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
