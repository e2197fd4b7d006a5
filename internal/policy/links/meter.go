// Package links predicts how long KV cache takes to move between availability
// zones.
//
// The transfers of a link are taken to share it evenly. The declared rate is
// corrected by a slowdown that is learned from transfers. The slowdown decays,
// so that a link that has recovered is used again.
package links

import (
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
// beside what is under way. safe tells that no other transfer becomes late by
// it.
func (m *Meter) Predict(now time.Time, from, to sardineknot.AvailabilityZone, bytes float64) (d time.Duration, safe bool) {
	k := m.link(from, to)
	k.advance(now)
	return k.finish(now, bytes, nil), k.safe(now, bytes)
}

// Least returns the time that bytes take at the declared rate, with the link
// to themselves.
func (m *Meter) Least(from, to sardineknot.AvailabilityZone, bytes float64) time.Duration {
	k := m.link(from, to)
	if k.rate <= 0 {
		return k.delay
	}
	return k.delay + time.Duration(bytes/k.rate*float64(time.Second))
}

// Begin notes that the bytes of j start to move, and are lost at expiry.
func (m *Meter) Begin(now time.Time, j sardineknot.RequestKey, from, to sardineknot.AvailabilityZone, bytes float64, expiry time.Time) {
	k := m.link(from, to)
	k.advance(now)
	k.transfers = append(k.transfers, &transfer{key: j, bytes: bytes, expiry: expiry})
}

// Abort notes that the bytes of j no longer move.
func (m *Meter) Abort(now time.Time, j sardineknot.RequestKey, from, to sardineknot.AvailabilityZone) {
	k := m.link(from, to)
	k.advance(now)
	k.drop(j)
}

// End notes that the bytes of j took the time took, where predicted was
// expected when they began.
func (m *Meter) End(now time.Time, j sardineknot.RequestKey, from, to sardineknot.AvailabilityZone, took, predicted time.Duration) {
	m.Abort(now, j, from, to)
	k := m.link(from, to)
	if took < shortest || predicted <= 0 {
		return
	}
	r := float64(took) / float64(predicted)
	if r < headroom {
		r = min(r, 1)
	}
	k.learn(now, k.slowed(now)*(1-gain+gain*r))
}

// Late raises the slowdown for a transfer that has taken the time took and
// has failed.
func (m *Meter) Late(now time.Time, from, to sardineknot.AvailabilityZone, took, predicted time.Duration) {
	if predicted <= 0 || took < shortest {
		return
	}
	k := m.link(from, to)
	k.learn(now, max(k.slowed(now), float64(took)/float64(predicted)))
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
