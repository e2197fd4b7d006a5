package evidence

import (
	"time"

	"sardineknot.example/sardineknot"
)

// maxSoundTraits bounds each of the two maps of soundTraits.
const maxSoundTraits = 8192

// soundTraits holds the latest time at which an answer to a request with each trait
// began without a crash. Traits that were not added again for a while are dropped. The zero
// value is empty.
type soundTraits struct {
	// recent holds the traits added since rotatedAt, and older those added before.
	recent, older map[sardineknot.Trait]time.Time
	rotatedAt     time.Time
}

// add records that an answer to a request with trait began at time at.
func (s *soundTraits) add(trait sardineknot.Trait, at time.Time) {
	if s.recent == nil || len(s.recent) >= maxSoundTraits || at.Sub(s.rotatedAt) > retention {
		s.older, s.recent, s.rotatedAt = s.recent, make(map[sardineknot.Trait]time.Time), at
	}
	if at.After(s.at(trait)) {
		s.recent[trait] = at
	}
}

// at returns the latest time recorded for trait, or the zero time.
func (s *soundTraits) at(trait sardineknot.Trait) time.Time {
	t, ok := s.recent[trait]
	if !ok {
		return s.older[trait]
	}
	return t
}

// known returns those of traits that are recorded.
func (s *soundTraits) known(traits sardineknot.TraitList) []sardineknot.SoundTrait {
	var l []sardineknot.SoundTrait
	for _, t := range traits {
		if n := s.at(t); !n.IsZero() {
			l = append(l, sardineknot.SoundTrait{Trait: t, At: n})
		}
	}
	return l
}
