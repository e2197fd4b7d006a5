package service

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

func TestRepeatable(t *testing.T) {
	runVirtual(t, "unresponsive connection", func(t *testing.T, f *fixture) {
		f.backend.call = func(ctx context.Context, _ sardineknot.BackendServer, n int) error {
			if n > 1 {
				return nil
			}
			<-ctx.Done()
			return &sardineknot.UnavailableError{Peer: "a", Cause: ctx.Err()}
		}
		expectCall(t, f.x, newCall(false), "complete")
		expectRuns(t, f, 2)
	})
	runVirtual(t, "first caller disconnects", func(t *testing.T, f *fixture) {
		f.backend.call = takeSecond
		ctx, cancel := context.WithTimeout(context.Background(), time.Second/2)
		defer cancel()
		go f.x.Run(ctx, newCall(false))
		synctest.Wait()
		expectCall(t, f.x, newCall(false), "complete")
		expectRuns(t, f, 1)
	})
	runVirtual(t, "last caller disconnects", func(t *testing.T, f *fixture) {
		ended := false
		f.backend.call = func(ctx context.Context, _ sardineknot.BackendServer, _ int) error {
			<-ctx.Done()
			ended = errors.Is(ctx.Err(), context.Canceled)
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := f.x.Run(ctx, newCall(false))
		synctest.Wait()
		is.New(t).True(err != nil && ended)
	})
	runVirtual(t, "retry budget limits retries", func(t *testing.T, f *fixture) {
		f.backend.call = loseReply
		for range 200 {
			expectCall(t, f.x, newCall(false), "")
			time.Sleep(time.Minute)
		}
		f.backend.mu.Lock()
		defer f.backend.mu.Unlock()
		is.New(t).True(f.backend.runs <= 200+10+20) // first attempts, initial budget and earned retries
	})
}
