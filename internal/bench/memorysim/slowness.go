package memorysim

import (
	"math/rand/v2"
	"time"
)

// slowness states how much longer than usual an engine takes for its work.
type slowness struct {
	// slowdown is the factor of a fault. Zero means none.
	slowdown float64
	// speed is the lasting speed of the engine relative to the pattern, noisy
	// whether it is disturbed, and noise the factor that applies then.
	lasting float64
	noisy   *bool
	noise   float64
}

// newSlowness returns the slowness of the engine with that index, and starts its
// disturbances.
func (s *Simulation) newSlowness(index int) slowness {
	n := slowness{lasting: 1, noisy: new(bool), noise: s.pattern.NoiseFactor}
	if s.ideal {
		return n
	}
	if v := s.pattern.Speeds; len(v) > 0 {
		n.lasting = v[index%len(v)]
	}
	if s.pattern.NoiseShare > 0 {
		*n.noisy = true
		s.disturb(n.noisy, rand.New(rand.NewPCG(uint64(index), 5)))
	}
	return n
}

// disturb begins or ends a disturbance, and schedules the next change. The time
// between two disturbances is distributed exponentially.
func (s *Simulation) disturb(noisy *bool, random *rand.Rand) {
	p := s.pattern
	d := p.NoiseLength
	if *noisy = !*noisy; !*noisy {
		d = time.Duration(random.ExpFloat64() * float64(p.NoiseLength) * (1 - p.NoiseShare) / p.NoiseShare)
	}
	s.After(d, func() { s.disturb(noisy, random) })
}

// scaled returns the time that work of the given usual duration takes.
func (n *slowness) scaled(usual time.Duration) time.Duration {
	d := float64(usual)
	if n.slowdown != 0 {
		d *= n.slowdown
	}
	if *n.noisy {
		d *= n.noise
	}
	return time.Duration(d / n.lasting)
}
