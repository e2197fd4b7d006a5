// Package etcd reads the accepted configuration from the platform's key-value
// service.
package etcd

import (
	"context"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
)

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

func (s *Source) read(ctx context.Context) error {
	e, err := s.store.Get(ctx, sardineknot.ConfigurationHeadKey)
	if err != nil || e.Revision == 0 {
		return err
	}
	var h sardineknot.ConfigurationHead
	err = json.Unmarshal(e.Value, &h)
	if err != nil {
		return errors.WithStack(err)
	}
	if h.Revision <= s.Current().Revision {
		return nil
	}
	b, err := s.bundles(ctx, h)
	if err != nil {
		return err
	}
	c, err := b.Join(h)
	if err != nil {
		return err
	}
	s.accept(c)
	return nil
}

// bundles reads the bundles that h names.
func (s *Source) bundles(ctx context.Context, h sardineknot.ConfigurationHead) (bundle.Set, error) {
	b := make(bundle.Set, len(h.Bundles))
	for _, r := range h.Bundles {
		e, err := s.store.Get(ctx, sardineknot.ConfigurationBundlePrefix+r.Hash)
		if err != nil {
			return nil, err
		}
		b[r.Hash] = e.Value
	}
	return b, nil
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
