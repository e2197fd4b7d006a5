// Package links predicts the transfer times of KV caches between availability
// zones.
//
// The transfers on a link are assumed to share its rate equally. The declared
// rate is divided by the slowdown of the link, a factor of at least 1 that is
// learned from the ratio of actual to predicted transfer times. The slowdown
// decays towards 1, so that a link is used again after it has recovered.
package links

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// observationWeight is the weight of a new observation in the moving
	// average of a slowdown.
	observationWeight = 0.3
	// slowdownHalfLife is the time in which the part of a slowdown above 1
	// halves. maxSlowdown is the upper bound of a slowdown.
	slowdownHalfLife = 4 * time.Second
	maxSlowdown      = 100
	// minObservedTransfer is the duration below which a transfer does not
	// change the slowdown.
	minObservedTransfer = 5 * time.Millisecond
	// tolerance is the least ratio of actual to predicted transfer time at
	// which a transfer raises the slowdown.
	tolerance = 1.5
)

// Meter predicts transfer times on the links of a deployment. It is not safe
// for concurrent use.
type Meter struct {
	// links has one entry for each unordered pair of zones that was used or
	// declared.
	links map[zonePair]*link
}

type zonePair struct{ a, b sardineknot.AvailabilityZone }

// NewMeter returns a meter. Links have an unlimited rate and no delay until
// SetLinks sets them.
func NewMeter() *Meter { return &Meter{links: make(map[zonePair]*link)} }

// SetLinks sets the declared rates and delays of links.
func (m *Meter) SetLinks(links []sardineknot.Link) {
	for _, d := range links {
		l := m.link(d.From, d.To)
		l.delay = d.Delay
		l.rate = float64(d.BytesPerSecond)
	}
}

// Predict returns the time that a transfer of the given number of bytes between
// two zones takes if it starts at time now and shares the link with the
// transfers in progress. safe is false if the new transfer would make one of
// the others miss its expiry.
func (m *Meter) Predict(now time.Time, from, to sardineknot.AvailabilityZone, bytes float64) (duration time.Duration, safe bool) {
	l := m.link(from, to)
	l.advance(now)
	return l.transferTime(now, bytes, nil), l.safe(now, bytes)
}

// MinTime returns the time that a transfer of the given number of bytes takes
// at the declared rate on an idle link.
func (m *Meter) MinTime(from, to sardineknot.AvailabilityZone, bytes float64) time.Duration {
	l := m.link(from, to)
	if l.rate <= 0 {
		return l.delay
	}
	return l.delay + time.Duration(bytes/l.rate*float64(time.Second))
}

// Begin records the start of the transfer of job. Its data is lost at expiry.
func (m *Meter) Begin(now time.Time, job sardineknot.RequestKey, from, to sardineknot.AvailabilityZone, bytes float64, expiry time.Time) {
	l := m.link(from, to)
	l.advance(now)
	l.transfers = append(l.transfers, &transfer{key: job, remaining: bytes, expiry: expiry})
}

// Abort records that the transfer of job has stopped.
func (m *Meter) Abort(now time.Time, job sardineknot.RequestKey, from, to sardineknot.AvailabilityZone) {
	l := m.link(from, to)
	l.advance(now)
	l.remove(job)
}

// End records the end of the transfer of job and updates the slowdown. actual
// is the time that the transfer took, and predicted the time that was expected
// at its start.
func (m *Meter) End(now time.Time, job sardineknot.RequestKey, from, to sardineknot.AvailabilityZone, actual, predicted time.Duration) {
	m.Abort(now, job, from, to)
	l := m.link(from, to)
	if actual < minObservedTransfer || predicted <= 0 {
		return
	}
	r := float64(actual) / float64(predicted)
	if r < tolerance {
		r = min(r, 1)
	}
	l.setSlowdown(now, l.currentSlowdown(now)*(1-observationWeight+observationWeight*r))
}

// RecordFailure raises the slowdown because a transfer has failed. actual is
// the time from the start of the transfer to its failure, and predicted is the
// duration that was predicted at its start.
func (m *Meter) RecordFailure(now time.Time, from, to sardineknot.AvailabilityZone, actual, predicted time.Duration) {
	if predicted <= 0 || actual < minObservedTransfer {
		return
	}
	l := m.link(from, to)
	l.setSlowdown(now, max(l.currentSlowdown(now), float64(actual)/float64(predicted)))
}

func (m *Meter) link(from, to sardineknot.AvailabilityZone) *link {
	p := zonePair{min(from, to), max(from, to)}
	l := m.links[p]
	if l == nil {
		l = &link{slowdown: 1}
		m.links[p] = l
	}
	return l
}
