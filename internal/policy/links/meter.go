// Package links predicts how long KV cache takes to move between availability
// zones.
//
// The declared rate is corrected by a slowdown that is learned from transfers.
// The slowdown decays, so that a link that has recovered is used again.
package links

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// gain is the weight of a new observation.
	gain = 0.3
	// halfLife is the time in which a slowdown loses half of its excess.
	halfLife    = 4 * time.Second
	maxSlowdown = 100
	// shortest is the transfer time below which nothing is learned.
	shortest = 5 * time.Millisecond
	// headroom is the ratio of a transfer to its prediction that is not taken
	// for a slowdown.
	headroom = 1.5
)

// Meter holds the links of a deployment. It is not safe for concurrent use.
type Meter struct {
	// links has one entry for each unordered pair of zones that was used or
	// declared.
	links map[pair]*link
}

type pair struct{ a, b sardineknot.AvailabilityZone }

type link struct {
	delay time.Duration
	// rate is in bytes a second. Zero means unlimited.
	rate float64
	// moving is the number of bytes under way.
	moving float64
	// slowdown is at least 1.
	slowdown float64
	updated  time.Time
}

// NewMeter returns a meter of unlimited links without delay.
func NewMeter() *Meter { return &Meter{links: make(map[pair]*link)} }

// SetLinks replaces the declared rates and delays.
func (m *Meter) SetLinks(l []sardineknot.Link) {
	for _, k := range l {
		e := m.link(k.From, k.To)
		e.delay = k.Delay
		e.rate = float64(k.BytesPerSecond)
	}
}

// Predict returns the time that bytes take from one zone to another at now,
// with what is under way.
func (m *Meter) Predict(now time.Time, from, to sardineknot.AvailabilityZone, bytes float64) time.Duration {
	k := m.link(from, to)
	return time.Duration(float64(k.expected(bytes)) * k.slowed(now))
}

// Begin notes that bytes start to move.
func (m *Meter) Begin(from, to sardineknot.AvailabilityZone, bytes float64) {
	m.link(from, to).moving += bytes
}

// Abort notes that bytes no longer move.
func (m *Meter) Abort(from, to sardineknot.AvailabilityZone, bytes float64) {
	k := m.link(from, to)
	k.moving = max(0, k.moving-bytes)
}

// End notes that bytes took the time took, where predicted was expected when
// they began.
func (m *Meter) End(now time.Time, from, to sardineknot.AvailabilityZone, bytes float64, took, predicted time.Duration) {
	m.Abort(from, to, bytes)
	k := m.link(from, to)
	if took < shortest || predicted <= 0 {
		return
	}
	s := k.slowed(now)
	r := float64(took) / float64(predicted)
	if r < headroom {
		r = min(r, 1)
	}
	k.slowdown = min(maxSlowdown, max(1, s*(1-gain+gain*r)))
	k.updated = now
}

// Late raises the slowdown for a transfer that has taken the time took and
// goes on.
func (m *Meter) Late(now time.Time, from, to sardineknot.AvailabilityZone, took, predicted time.Duration) {
	if predicted <= 0 || took < shortest {
		return
	}
	k := m.link(from, to)
	k.slowdown = min(maxSlowdown, max(1, k.slowed(now), float64(took)/float64(predicted)))
	k.updated = now
}

func (m *Meter) link(from, to sardineknot.AvailabilityZone) *link {
	p := pair{min(from, to), max(from, to)}
	k := m.links[p]
	if k == nil {
		k = &link{slowdown: 1}
		m.links[p] = k
	}
	return k
}

func (k *link) expected(bytes float64) time.Duration {
	if k.rate <= 0 {
		return k.delay
	}
	return k.delay + time.Duration((bytes+k.moving)/k.rate*float64(time.Second))
}

func (k *link) slowed(now time.Time) float64 {
	if k.slowdown <= 1 {
		return 1
	}
	a := now.Sub(k.updated).Seconds() / halfLife.Seconds()
	return 1 + (k.slowdown-1)*math.Exp2(-max(0, a))
}
