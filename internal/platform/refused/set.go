// Package refused records which entries of the platform's key-value service cannot be
// used, so that each of them is reported once.
package refused

// maxKeys bounds the recorded keys. Entries beyond it are not reported.
const maxKeys = 4096

// Set is a set of keys. The zero value is empty. It is not safe for concurrent use.
type Set struct {
	keys map[string]struct{}
}

// Add adds key and reports whether it was not in the set. It also returns false if the
// set is full.
func (s *Set) Add(key string) bool {
	if _, ok := s.keys[key]; ok || len(s.keys) >= maxKeys {
		return false
	}
	if s.keys == nil {
		s.keys = make(map[string]struct{})
	}
	s.keys[key] = struct{}{}
	return true
}

// Remove removes key and reports whether it was in the set.
func (s *Set) Remove(key string) bool {
	_, ok := s.keys[key]
	delete(s.keys, key)
	return ok
}
