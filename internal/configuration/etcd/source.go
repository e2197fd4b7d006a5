// Package etcd keeps the accepted configuration in one key of the platform's
// key-value service.
package etcd

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/codec"
)

// key holds the accepted configuration.
const key = "sardineknot/configuration"

// Source is a sardineknot.ConfigurationSource that reads the store. It is safe
// for concurrent use.
type Source struct {
	store sardineknot.Store
	log   zerolog.Logger

	mu sync.Mutex
	// current is not nil. Its revision only grows.
	current *sardineknot.Configuration
	// changed is closed and replaced at every change.
	changed chan struct{}
}

var _ sardineknot.ConfigurationSource = (*Source)(nil)

// NewSource returns a source with the empty configuration.
func NewSource(s sardineknot.Store, l zerolog.Logger) *Source {
	return &Source{store: s, log: l, current: &sardineknot.Configuration{}, changed: make(chan struct{})}
}

// Run reads the store every interval until ctx is done.
func (s *Source) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		err := s.read(ctx)
		if err != nil && ctx.Err() == nil {
			s.log.Warn().Str("event", "configuration_read_failed").Err(err).Send()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Current implements sardineknot.ConfigurationSource.
func (s *Source) Current() *sardineknot.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Changed implements sardineknot.ConfigurationSource.
func (s *Source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply writes c as the successor of the accepted configuration.
func Apply(ctx context.Context, t sardineknot.Store, c *sardineknot.Configuration) error {
	e, err := t.Get(ctx, key)
	if err != nil {
		return err
	}
	if e.Revision > 0 {
		o, err := codec.Decode(e.Value)
		if err != nil {
			return err
		}
		c.Revision = o.Revision
	}
	c.Revision++
	b, err := codec.Encode(c)
	if err != nil {
		return err
	}
	_, err = t.CompareAndSwap(ctx, key, e.Revision, b, 0)
	return err
}

func (s *Source) read(ctx context.Context) error {
	e, err := s.store.Get(ctx, key)
	if err != nil || e.Revision == 0 {
		return err
	}
	c, err := codec.Decode(e.Value)
	if err != nil {
		return err
	}
	s.accept(c)
	return nil
}

func (s *Source) accept(c *sardineknot.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Revision <= s.current.Revision {
		return
	}
	s.current = c
	close(s.changed)
	s.changed = make(chan struct{})
	s.log.Info().Str("event", "configuration_in_force").Int64("revision", int64(c.Revision)).Send()
}
